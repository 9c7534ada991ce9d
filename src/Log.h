/// @file Structured log lines over Boost.Log, one line an event, as key=value pairs or as JSON.
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

/// How log lines are written.
struct LogSettings
{
    LogLevel minimum = LogLevel::Decision;
    bool json = false;
    /// Most decision lines a second; 0 means no limit. Lines left out are counted and said.
    std::uint32_t decisionsPerSecond = 0;
    /// Tools whose standard output is their result write their log to standard error.
    bool toStandardError = false;

    auto operator<=>(const LogSettings &) const = default;
};

/// Parses "debug", "decision", "info", "warning" or "error"; false if it is none of them.
[[nodiscard]] bool parseLogLevel(std::string_view text, LogLevel &level);

/// Starts writing to standard output. Call once, before the first line. A line never waits for a
/// reader: what does not fit into the buffer is left out and counted.
void startLog(const LogSettings &settings);

/// Writes out the lines that are still buffered, unless nobody reads them, and ends the log.
void stopLog();

/// Lines that were left out since the start.
[[nodiscard]] std::uint64_t omittedLogLines();

/// One log line. It is written when the object ends.
class LogLine
{
public:
    LogLine(LogLevel level, LogEvent event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    /// Adds a field. The value is anything that can be written to a stream.
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
/// A line for one routing or placement decision.
inline LogLine decision(LogEvent event) { return {LogLevel::Decision, event}; }
inline LogLine info(LogEvent event) { return {LogLevel::Info, event}; }
inline LogLine warning(LogEvent event) { return {LogLevel::Warning, event}; }
inline LogLine error(LogEvent event) { return {LogLevel::Error, event}; }
} // namespace Log

} // namespace Camphor
