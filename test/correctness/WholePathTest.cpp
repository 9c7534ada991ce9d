#include "EntryFixture.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

// Guards against a break anywhere in the path between caller, entry and target.
TEST_CASE("a request goes from the caller through an entry to a target and back", "[process]")
{
    const EntryCluster entry(1);
    const TemporaryFolder folder;
    const TestProcess targetProcess(
        "camphortarget",
        {"--entries", entry.address().toString(), "--services", "echo", "--domain", "a"},
        (folder.path() / "target.log").string());
    REQUIRE(waitUntil([&] {
        const auto response =
            responseOf(entry.address(), makeRequest("POST", "/v1/requests/echo", "leaf quote"));
        return response.status == 200 && response.body == "leaf quote";
    }));
}
