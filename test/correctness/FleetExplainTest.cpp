/// @file The procedures of docs/OPERATIONS.md that lead from the id of a failed request to its
/// cause, checked on the logs of real processes.
#include "FleetProcesses.h"
#include "LogEvents.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// All log lines of a request that are on disk by now, in order.
std::vector<ParsedLogLine> requestLines(const Fleet &fleet, const std::string &request)
{
    std::vector<ParsedLogLine> lines;
    for (const auto &entry : requestTimeline(fleet.logs(), request))
        lines.push_back(*parseLogLine(entry.text));
    return lines;
}

const ParsedLogLine *findLine(const std::vector<ParsedLogLine> &lines, LogEvent event)
{
    const auto it = std::ranges::find(lines, logEventName(event), &ParsedLogLine::event);
    return it == lines.end() ? nullptr : &*it;
}

/// The log line of an event for the request; processes write their lines with a delay.
std::optional<ParsedLogLine> awaitLine(const Fleet &fleet, const std::string &request,
                                       LogEvent event)
{
    std::optional<ParsedLogLine> found;
    (void)waitUntil([&] {
        const auto lines = requestLines(fleet, request);
        if (const auto *line = findLine(lines, event))
            found = *line;
        return found.has_value();
    });
    return found;
}

/// Every log line must match docs/EVENTS.md.
void checkLines(const Fleet &fleet)
{
    for (const auto &source : fleet.logs()) {
        std::istringstream text(source.text);
        for (std::string row; std::getline(text, row);) {
            CAPTURE(source.name, row);
            const auto line = parseLogLine(row);
            REQUIRE(line);
            const auto *spec = findLogEvent(line->event);
            REQUIRE(spec != nullptr);
            for (const auto &[field, value] : line->fields) {
                CAPTURE(field);
                CHECK((field == "level" || spec->hasField(field)));
            }
        }
    }
}

} // namespace

TEST_CASE("the logs lead from the id of a failed request to its cause", "[fleet][process][explain]")
{
    Fleet fleet;
    SimulatedInstances instances(2);
    REQUIRE(fleet.awaitReady(instances));
    REQUIRE(fleet.completeJob(0, "00000000000000b0"));

    SECTION("refused under a flood: the response gives the reason, and the holder's starts show "
            "the flood")
    {
        instances.runMs = 60'000;
        // Two instances have room for four tasks. The first job takes three, and the second one
        // accumulates room with the fourth.
        std::vector<std::thread> flood;
        for (const auto *id : {"00000000000000b1", "00000000000000c1"}) {
            flood.emplace_back([&fleet, id] { (void)fleet.submit(0, id, Milliseconds{4'000}); });
            CHECK(waitUntil([&] { return instances.running() >= 3; }));
        }
        CHECK(waitUntil([&] { return instances.running() == 4; }));
        CHECK(fleet.submit(0, "00000000000000b2") == 429);
        std::ranges::for_each(flood, &std::thread::join);
        const auto response = awaitLine(fleet, "00000000000000b2", LogEvent::JobAnswered);
        REQUIRE(response);
        CHECK(response->field("verdict") == "not-run");
        CHECK(response->field("reason") == "no-room-in-time");
        CHECK(awaitLine(fleet, "00000000000000b2", LogEvent::JobDropped));
        CHECK(awaitLine(fleet, "00000000000000b2", LogEvent::JobRouted));
        // No task of the refused request has run; another request has the room.
        CHECK_FALSE(findLine(requestLines(fleet, "00000000000000b2"), LogEvent::RunStarted));
        CHECK(awaitLine(fleet, "00000000000000b1", LogEvent::RunStarted));
    }
    SECTION("ended unknown: the route names a holder, and the requester logs its loss")
    {
        instances.runMs = 60'000;
        const auto held = awaitLine(fleet, "00000000000000b0", LogEvent::JobRouted);
        REQUIRE(held);
        const auto holder = held->field("holder");
        const std::size_t other = holder == "entry-0" ? 1 : 0;
        int status = 0;
        std::thread caller([&] { status = fleet.submit(other, "00000000000000b3"); });
        CHECK(waitUntil([&] { return instances.running() == 3; }));
        fleet.kill(holder);
        caller.join();
        CHECK(status == 502);
        const auto routed = awaitLine(fleet, "00000000000000b3", LogEvent::JobRouted);
        REQUIRE(routed);
        CHECK(routed->field("holder") == holder);
        const auto response = awaitLine(fleet, "00000000000000b3", LogEvent::JobAnswered);
        REQUIRE(response);
        CHECK(response->field("verdict") == "unknown");
        CHECK(response->field("reason") == "holder-lost");
        const auto requester = "entry-" + std::to_string(other);
        CHECK(waitUntil([&] { return fleet.hasLogLine(requester, {"event=holder-lost"}); }));
        // The control group names the new holder of the cell.
        CHECK(waitUntil([&] {
            return fleet.hasLogLine(requester, {"event=cell-held", "holder=" + requester});
        }));
    }
    SECTION("after a change of the configuration, refusals and routes name the version in force")
    {
        auto next = std::string(Configuration);
        next.replace(next.find("\"version\":3"), 11, "\"version\":4");
        next.replace(next.find("/q/"), 3, "/z/");
        REQUIRE(fleet.callAnyControl("PUT", next).status == 200);
        CHECK(waitUntil([&] { return fleet.submit(0, "00000000000000b4") == 404; }));
        CHECK(fleet.submitTo("/z/", 0, "00000000000000b5") == 200);
        const auto before = awaitLine(fleet, "00000000000000b0", LogEvent::JobRouted);
        const auto after = awaitLine(fleet, "00000000000000b5", LogEvent::JobRouted);
        REQUIRE(before);
        REQUIRE(after);
        CHECK(before->field("configuration") == "3");
        CHECK(after->field("configuration") == "4");
        CHECK(waitUntil([&] {
            return fleet.hasLogLine("entry-0",
                                    {"event=request-refused", "path=/q/00000000000000b4",
                                     "reason=no-such-queue", "configuration=4"});
        }));
        CHECK(waitUntil([&] {
            return fleet.hasLogLine("entry-0", {"event=configuration-in-force", "version=4"});
        }));
    }
    SECTION("reports and starts of an instance carry its id, so that their times can be compared")
    {
        CHECK(waitUntil([&] {
            return fleet.hasLogLine("control-0",
                                    {"event=instance-changed", "instance=i-0", "state=ready"});
        }));
        const auto started = awaitLine(fleet, "00000000000000b0", LogEvent::RunStarted);
        REQUIRE(started);
        CHECK(started->field("instance").starts_with("i-"));
    }
    checkLines(fleet);
}
