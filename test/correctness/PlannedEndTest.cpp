/// @file Planned ends of control instances, as real processes, beside the loss of a disk.
#include "FleetProcesses.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <ranges>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

const std::vector<std::string> Founders{"control-0", "control-1", "control-2"};

/// Starts one more control instance, and waits until all founders know it.
void addCandidate(Fleet &fleet)
{
    (void)fleet.addControl();
    for (const auto &founder : Founders)
        REQUIRE(waitUntil([&] { return fleet.hasLogLine(founder, {"candidate-heard"}); }));
}

void endProcess(Fleet &fleet, const std::string &name)
{
    fleet.process(name).signal(SIGTERM);
    REQUIRE(fleet.process(name).wait() == 0);
}

void loseDisk(Fleet &fleet, const std::string &name)
{
    fleet.kill(name);
    fleet.eraseDisk(name);
    fleet.start(name);
}

} // namespace

// Guards against a member that ends as planned and counts as a voter until its silence is noticed:
// one lost disk then leaves no majority, for good. Any member, and so the leader, is the one that
// ends.
TEST_CASE("a control instance that ends as planned is replaced before a disk is lost",
          "[fleet][process]")
{
    const auto ending = GENERATE(std::size_t{0}, std::size_t{1}, std::size_t{2});
    CAPTURE(ending);
    Fleet fleet(0);
    REQUIRE(fleet.callAnyControl("PUT", Configuration).status == 200);
    addCandidate(fleet);
    endProcess(fleet, Founders[ending]);
    loseDisk(fleet, Founders[(ending + 1) % Founders.size()]);
    CHECK(fleet.callAnyControl("GET").body == Configuration);
}

// Guards against a member that starts again with its disk after it was replaced, and neither takes
// part under its former name nor asks under another one.
TEST_CASE("a replaced control instance that starts again with its disk is a candidate",
          "[fleet][process]")
{
    Fleet fleet(0);
    REQUIRE(fleet.callAnyControl("PUT", Configuration).status == 200);
    addCandidate(fleet);
    endProcess(fleet, "control-0");
    fleet.start("control-0");
    REQUIRE(waitUntil([&] { return fleet.hasLogLine("control-0", {"member-removed"}); }));
    loseDisk(fleet, "control-1");
    CHECK(fleet.callAnyControl("GET").body == Configuration);
    // One of the two that ask under another name gets the vote of the lost disk.
    REQUIRE(waitUntil([&] {
        return std::ranges::any_of(std::views::take(fleet.controls(), 2), [&](const Address &it) {
            return fleet.hasLogLine("control-2",
                                    {"membership-in-force", it.toString() + "#", "learners=\"\""});
        });
    }));
    loseDisk(fleet, "control-2");
    CHECK(fleet.callAnyControl("GET").body == Configuration);
}
