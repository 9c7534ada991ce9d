/// @file Parsing log lines, and the timeline of one request over several processes.
#include "LogTimeline.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>

using namespace Camphor;

namespace {

constexpr const char *Request = "00000000000000a1";

std::string makeLine(double time, const std::string &event, const std::string &rest = {})
{
    return "time=" + std::to_string(time) + " level=decision event=" + event
        + " request=00000000000000a1" + rest + "\n";
}

std::vector<std::string> eventsOf(const std::vector<TimelineEntry> &entries)
{
    std::vector<std::string> events;
    std::ranges::transform(entries, std::back_inserter(events),
                           [](const TimelineEntry &it) { return parseLogLine(it.text)->event; });
    return events;
}

} // namespace

// Guards against values with quotes or escapes that are cut off or merged with the next field.
TEST_CASE("a line is parsed to the fields that were written", "[log][timeline]")
{
    const auto line = parseLogLine(
        R"(time=12.500 level=warning event=holder-lost address=10.0.0.1:1 reason="no \"reply\"" n="")");
    REQUIRE(line);
    CHECK(line->timeSeconds == 12.5);
    CHECK(line->event == "holder-lost");
    CHECK(line->field("address") == "10.0.0.1:1");
    CHECK(line->field("reason") == R"(no "reply")");
    CHECK(line->field("n").empty());
    CHECK(line->field("missing").empty());
}

TEST_CASE("lines in another format are ignored", "[log][timeline]")
{
    // Guards against a crash on lines of other programs and on truncated lines.
    for (const auto *text : {"", "word", "terminate called", "time=1.0 level=info",
                             "time=x event=started", "event=started", "= =", "time=1.0 event=\"a"})
        CHECK_FALSE((parseLogLine(text) && parseLogLine(text)->event == "started"));
}

TEST_CASE("lines of several processes are in causal order although their clocks differ",
          "[log][timeline]")
{
    // Guards against a holder with a wrong clock that appears to act before the request was
    // forwarded to it.
    const auto offset = GENERATE(-3.0, -0.004, 0.0, 0.004, 3.0);
    CAPTURE(offset);
    const std::vector<LogSource> sources{
        {"holder",
         makeLine(10.002 + offset, "run-started", " task=00000000000000a1.0.0.0")
             + "time=10.003 level=decision event=run-started request=00000000000000b2\n"
             + makeLine(10.062 + offset, "run-ended", " reason=done")},
        {"entry",
         makeLine(10.000, "job-routed", " holder=holder")
             + makeLine(10.065, "job-answered", " verdict=completed")}};
    const auto entries = requestTimeline(sources, Request);
    CHECK(eventsOf(entries)
          == std::vector<std::string>{"job-routed", "run-started", "run-ended", "job-answered"});
}

// Guards against a clock correction of a process whose lines rightly follow the response.
TEST_CASE("stops that follow the response stay after it", "[log][timeline]")
{
    const std::vector<LogSource> sources{
        {"entry", makeLine(10.000, "job-routed") + makeLine(10.600, "job-answered")},
        {"holder",
         makeLine(10.002, "run-started") + makeLine(10.700, "run-ended", " reason=stopped")}};
    CHECK(eventsOf(requestTimeline(sources, Request))
          == std::vector<std::string>{"job-routed", "run-started", "job-answered", "run-ended"});
}

// Guards against a crash or foreign lines for a request id that was mistyped.
TEST_CASE("a request that no log mentions has an empty timeline", "[log][timeline]")
{
    CHECK(requestTimeline({}, Request).empty());
    CHECK(requestTimeline({{"entry", "time=1.0 event=started instance=a\n"}}, Request).empty());
}
