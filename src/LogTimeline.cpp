#include "LogTimeline.h"

#include "LogEvents.h"

#include <algorithm>
#include <charconv>
#include <ranges>
#include <utility>

namespace Camphor {

namespace {

/// Gap inserted between two lines whose order is known when their clocks contradict it.
constexpr double MinOrderingGapSeconds = 1e-6;

/// Removes and returns the text before a separator. The separator is removed, too.
std::string_view consumeUntil(std::string_view &text, char separator)
{
    const auto end = text.find(separator);
    const auto prefix = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return prefix;
}

/// Removes and returns a value at the front: either plain, or quoted with escapes.
std::string consumeValue(std::string_view &text)
{
    if (!text.starts_with('"'))
        return std::string(consumeUntil(text, ' '));
    std::string value;
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\' && text.size() > 1)
            text.remove_prefix(1);
        value.push_back(text.front());
        text.remove_prefix(1);
    }
    text.remove_prefix(std::min<std::size_t>(text.size(), 2)); // The quote and the space.
    return value;
}

struct Line
{
    ParsedLogLine parsed;
    std::string text;
};

/// The lines of one process about the request.
struct ProcessLines
{
    std::string source;
    std::vector<Line> lines;

    [[nodiscard]] const Line *first(LogEvent event) const
    {
        const auto it = std::ranges::find(lines, logEventName(event),
                                          [](const Line &it) { return it.parsed.event; });
        return it == lines.end() ? nullptr : &*it;
    }
};

bool isAbout(const ParsedLogLine &line, const std::string &requestId)
{
    return line.field("request") == requestId || line.field("task").starts_with(requestId + '.');
}

ProcessLines findLines(const LogSource &source, const std::string &requestId)
{
    ProcessLines process{source.name, {}};
    std::string_view rest = source.text;
    while (!rest.empty()) {
        const auto text = consumeUntil(rest, '\n');
        // Most lines are about other requests, and searching is cheaper than parsing.
        if (text.find(requestId) == std::string_view::npos)
            continue;
        auto parsed = parseLogLine(text);
        if (parsed && isAbout(*parsed, requestId))
            process.lines.push_back({std::move(*parsed), std::string(text)});
    }
    return process;
}

/// Returns the offset to add to the times of a process to fit the clock of the process that
/// received the request.
double clockOffset(const ProcessLines &process, const ProcessLines &receiver)
{
    const auto *routedLine = receiver.first(LogEvent::JobRouted);
    const auto *responseLine = receiver.first(LogEvent::JobAnswered);
    const double begin = process.lines.front().parsed.timeSeconds;
    if (routedLine != nullptr && begin <= routedLine->parsed.timeSeconds)
        return routedLine->parsed.timeSeconds + MinOrderingGapSeconds - begin;
    // Actions of a holder after its reply, such as stopping runs, legitimately come later.
    const auto *lastRunLine = process.first(LogEvent::JobDropped);
    for (const auto &line : process.lines) {
        if (line.parsed.event == logEventName(LogEvent::RunEnded)
            && line.parsed.field("reason") == "done")
            lastRunLine = &line;
    }
    const bool endsAfterResponse = responseLine != nullptr && lastRunLine != nullptr
        && lastRunLine->parsed.timeSeconds >= responseLine->parsed.timeSeconds;
    return endsAfterResponse
        ? responseLine->parsed.timeSeconds - MinOrderingGapSeconds - lastRunLine->parsed.timeSeconds
        : 0.0;
}

} // namespace

std::string ParsedLogLine::field(const std::string &name) const
{
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
}

std::optional<ParsedLogLine> parseLogLine(std::string_view text)
{
    ParsedLogLine line;
    while (!text.empty()) {
        const auto equals = text.find('=');
        const auto space = text.find(' ');
        if (equals == std::string_view::npos || space < equals)
            return std::nullopt;
        const auto name = std::string(consumeUntil(text, '='));
        line.fields[name] = consumeValue(text);
    }
    const auto time = line.field("time");
    const auto [end, ec] =
        std::from_chars(time.data(), time.data() + time.size(), line.timeSeconds);
    line.event = line.field("event");
    if (ec != std::errc{} || line.event.empty())
        return std::nullopt;
    line.fields.erase("time");
    line.fields.erase("event");
    return line;
}

std::vector<TimelineEntry> requestTimeline(const std::vector<LogSource> &sources,
                                           const std::string &requestId)
{
    std::vector<ProcessLines> processes;
    for (const auto &source : sources) {
        auto process = findLines(source, requestId);
        if (!process.lines.empty())
            processes.push_back(std::move(process));
    }
    // A request that was resent was received by several entries; the first one provides the
    // reference clock.
    const auto hasReceivedRequest = [](const ProcessLines &it) {
        return it.first(LogEvent::JobRouted) != nullptr;
    };
    const auto receiver = std::ranges::min_element(processes, {}, [&](const ProcessLines &it) {
        return std::pair(!hasReceivedRequest(it), it.lines.front().parsed.timeSeconds);
    });
    std::vector<TimelineEntry> entries;
    for (const auto &process : processes) {
        const double offset = &process == &*receiver || hasReceivedRequest(process)
            ? 0.0
            : clockOffset(process, *receiver);
        for (const auto &line : process.lines)
            entries.push_back({process.source, line.parsed.timeSeconds + offset, line.text});
    }
    std::ranges::stable_sort(entries, {}, &TimelineEntry::timeSeconds);
    return entries;
}

} // namespace Camphor
