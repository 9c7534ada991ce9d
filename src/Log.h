/// @file Structured logging on Boost.Log: one line per event, as key=value pairs or as JSON.
#pragma once

#include "LogEvents.h"

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Camphor {

/// Severity of a log line.
enum class LogLevel { Debug, Decision, Info, Warning, Error };

/// Format and destination of log lines.
struct LogSettings
{
    LogLevel minimum = LogLevel::Decision;
    bool json = false;
    /// Limit for decision lines per second; 0 means no limit. Omitted lines are counted and
    /// reported in the log.
    std::uint32_t decisionsPerSecond = 0;
    /// For tools whose standard output carries their result: write the log to standard error.
    bool toStandardError = false;

    auto operator<=>(const LogSettings &) const = default;
};

/// Parses "debug", "decision", "info", "warning" or "error"; returns false for any other text.
[[nodiscard]] bool parseLogLevel(std::string_view text, LogLevel &level);

/// Starts logging to standard output. Call once, before the first line. Writing a line never
/// blocks: lines that do not fit into the buffer are omitted and counted.
void startLog(const LogSettings &settings);

/// Writes the buffered lines and stops logging. Lines that a blocked output does not accept within
/// a time limit are lost.
void stopLog();

/// Returns the number of lines omitted since the start.
[[nodiscard]] std::uint64_t omittedLogLines();

/// One log line. It is written when the object is destroyed.
class LogLine
{
public:
    LogLine(LogLevel level, LogEvent event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    /// Adds a field. The value may be anything that can be written to a stream.
    template <typename T>
    LogLine &kv(std::string_view key, const T &value)
    {
        if (!m_enabled)
            return *this;
        std::ostringstream text;
        text << value;
        m_fields.emplace_back(key, std::move(text).str());
        return *this;
    }
    LogLine &kv(std::string_view key, const std::string &value);
    LogLine &kv(std::string_view key, const char *value);

private:
    LogLevel m_level;
    bool m_enabled;
    LogEvent m_event;
    std::vector<std::pair<std::string, std::string>> m_fields;
};

namespace Log {
inline LogLine debug(LogEvent event) { return {LogLevel::Debug, event}; }
/// Starts a line for one routing or placement decision.
inline LogLine decision(LogEvent event) { return {LogLevel::Decision, event}; }
inline LogLine info(LogEvent event) { return {LogLevel::Info, event}; }
inline LogLine warning(LogEvent event) { return {LogLevel::Warning, event}; }
inline LogLine error(LogEvent event) { return {LogLevel::Error, event}; }
} // namespace Log

} // namespace Camphor
