/// @file Puts the log lines of several processes that speak of one request in order.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Camphor {

/// A log line that was read back.
struct ParsedLogLine
{
    double timeSeconds = 0; ///< Of the writer's time of day.
    std::string event;
    std::map<std::string, std::string> fields; ///< All others, by name.

    auto operator<=>(const ParsedLogLine &) const = default;

    /// The value of a field; empty if the line has none.
    [[nodiscard]] std::string field(const std::string &name) const;
};

/// Reads one line of key=value pairs; nothing if it is no line of ours.
[[nodiscard]] std::optional<ParsedLogLine> parseLogLine(std::string_view text);

/// What one process wrote.
struct LogSource
{
    std::string name; ///< Usually the file's.
    std::string text; ///< Whole lines.

    auto operator<=>(const LogSource &) const = default;
};

/// One line of the story of a request.
struct TimelineEntry
{
    std::string source;
    double timeSeconds = 0; ///< On the clock of the process that took the request.
    std::string text; ///< The line as it was written.

    auto operator<=>(const TimelineEntry &) const = default;
};

/// The lines that name a request, or a task of it, in the order in which they happened.
///
/// The processes' clocks differ. What one of them does for a request lies between the moment when
/// another handed the request over and the moment when that one answered, so a process whose lines
/// lie outside is shifted by the least time that puts them inside.
[[nodiscard]] std::vector<TimelineEntry> requestTimeline(const std::vector<LogSource> &sources,
                                                         const std::string &requestId);

} // namespace Camphor
