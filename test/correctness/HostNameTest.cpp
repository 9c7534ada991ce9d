/// @file Different spellings of one host name.
#include "HostName.h"
#include "FleetProcesses.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

TEST_CASE("all spellings of a host name have one canonical form", "[http]")
{
    struct Row
    {
        const char *authority;
        const char *host;
    };
    const auto row = GENERATE(Row{"h.example", "h.example"}, Row{"H.Example", "h.example"},
                              Row{"h.example:8161", "h.example"}, Row{"H.EXAMPLE.", "h.example"},
                              Row{"h.example.:80", "h.example"}, Row{"10.1.0.13:8161", "10.1.0.13"},
                              Row{"[2001:DB8::1]:8161", "[2001:db8::1]"}, Row{"[::1]", "[::1]"},
                              Row{"[::1", "[::1"}, Row{"", ""}, Row{":80", ""}, Row{".", ""});
    CAPTURE(row.authority);
    CHECK(canonicalHost(row.authority) == row.host);
}

// Guards against a route that is acknowledged and never found, because its host is spelled with
// capital letters, or otherwise than in the request.
TEST_CASE("a route is found by every spelling of its host", "[fleet][process]")
{
    Fleet fleet(1);
    SimulatedInstances instances(1);
    REQUIRE(fleet.awaitReady(instances));
    auto changed = std::string(Configuration);
    changed.replace(changed.find("h.example"), 9, "H.Example.");
    changed.replace(changed.find("\"version\":3"), 11, "\"version\":4");
    REQUIRE(fleet.callAnyControl("PUT", changed).status == 200);
    CHECK(fleet.callAnyControl("GET").body == changed);
    REQUIRE(waitUntil(
        [&] { return fleet.hasLogLine("entry-0", {"configuration-in-force", "version=4"}); }));
    std::string jobId = "00000000000000b0";
    for (const auto *host : {"H.Example.", "H.Example", "h.example", "H.EXAMPLE:8161"}) {
        CAPTURE(host);
        ++jobId.back();
        CHECK(waitUntil(
            [&] { return fleet.submitTo("/q/", 0, jobId, Milliseconds{10'000}, 3, host) == 200; }));
    }
    CHECK(fleet.submitTo("/q/", 0, "00000000000000bf", Milliseconds{10'000}, 3, "x.example")
          == 404);
}
