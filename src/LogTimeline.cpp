#include "LogTimeline.h"

#include "LogEvents.h"

#include <algorithm>
#include <charconv>
#include <ranges>
#include <utility>

namespace Camphor {

namespace {

/// What is known to lie before or after another line is put this far away from it.
constexpr double LeastStepSeconds = 1e-6;

/// Takes the text up to a separator off the front.
std::string_view takeUntil(std::string_view &text, char separator)
{
    const auto end = text.find(separator);
    const auto part = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return part;
}

/// Takes a value off the front: plain, or in quotes with escapes.
std::string takeValue(std::string_view &text)
{
    if (!text.starts_with('"'))
        return std::string(takeUntil(text, ' '));
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
struct Part
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

Part partOf(const LogSource &source, const std::string &requestId)
{
    Part part{source.name, {}};
    std::string_view rest = source.text;
    while (!rest.empty()) {
        const auto text = takeUntil(rest, '\n');
        // Most lines are about other requests, and looking costs less than reading.
        if (text.find(requestId) == std::string_view::npos)
            continue;
        auto parsed = parseLogLine(text);
        if (parsed && isAbout(*parsed, requestId))
            part.lines.push_back({std::move(*parsed), std::string(text)});
    }
    return part;
}

/// How much later the clock of the process that took the request is than that of another one.
double shiftFor(const Part &part, const Part &home)
{
    const auto *routed = home.first(LogEvent::JobRouted);
    const auto *answered = home.first(LogEvent::JobAnswered);
    const double begin = part.lines.front().parsed.timeSeconds;
    if (routed != nullptr && begin <= routed->parsed.timeSeconds)
        return routed->parsed.timeSeconds + LeastStepSeconds - begin;
    // What a holder does after its answer, such as stopping runs, comes later by right.
    const auto *ended = part.first(LogEvent::JobDropped);
    for (const auto &line : part.lines) {
        if (line.parsed.event == logEventName(LogEvent::RunEnded)
            && line.parsed.field("reason") == "done")
            ended = &line;
    }
    const bool isLate = answered != nullptr && ended != nullptr
        && ended->parsed.timeSeconds >= answered->parsed.timeSeconds;
    return isLate ? answered->parsed.timeSeconds - LeastStepSeconds - ended->parsed.timeSeconds
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
        const auto name = std::string(takeUntil(text, '='));
        line.fields[name] = takeValue(text);
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
    std::vector<Part> parts;
    for (const auto &source : sources) {
        auto part = partOf(source, requestId);
        if (!part.lines.empty())
            parts.push_back(std::move(part));
    }
    // A request that was sent again was taken by several entries; the first one gives the clock.
    const auto taken = [](const Part &it) { return it.first(LogEvent::JobRouted) != nullptr; };
    const auto home = std::ranges::min_element(parts, {}, [&](const Part &it) {
        return std::pair(!taken(it), it.lines.front().parsed.timeSeconds);
    });
    std::vector<TimelineEntry> entries;
    for (const auto &part : parts) {
        const double shift = &part == &*home || taken(part) ? 0.0 : shiftFor(part, *home);
        for (const auto &line : part.lines)
            entries.push_back({part.source, line.parsed.timeSeconds + shift, line.text});
    }
    std::ranges::stable_sort(entries, {}, &TimelineEntry::timeSeconds);
    return entries;
}

} // namespace Camphor
