/// @file Merges the log lines of several processes about one request in causal order.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Camphor {

/// A parsed log line.
struct ParsedLogLine
{
    double timeSeconds = 0; ///< Wall-clock time of the process that wrote the line.
    std::string event;
    std::map<std::string, std::string> fields; ///< All other fields, by name.

    auto operator<=>(const ParsedLogLine &) const = default;

    /// Returns the value of a field; empty if the line has none.
    [[nodiscard]] std::string field(const std::string &name) const;
};

/// Parses one line of key=value pairs; returns nothing if the line does not have the format of our
/// log.
[[nodiscard]] std::optional<ParsedLogLine> parseLogLine(std::string_view text);

/// The log of one process.
struct LogSource
{
    std::string name; ///< Usually the file name.
    std::string text; ///< Complete lines.

    auto operator<=>(const LogSource &) const = default;
};

/// One line in the timeline of a request.
struct TimelineEntry
{
    std::string source;
    double timeSeconds = 0; ///< On the clock of the process that received the request.
    std::string text; ///< The line as it was written.

    auto operator<=>(const TimelineEntry &) const = default;
};

/// Returns the lines that name a request, or a task of it, in the order in which they happened.
///
/// The clocks of the processes differ. What a process does for a request happens between the moment
/// when another process forwarded the request to it and the moment when that process responded, so
/// a process whose lines lie outside this interval is shifted by the smallest offset that moves
/// them inside.
[[nodiscard]] std::vector<TimelineEntry> requestTimeline(const std::vector<LogSource> &sources,
                                                         const std::string &requestId);

} // namespace Camphor
