#include "TestProcess.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

// Guards against a break anywhere between caller, entry and target.
TEST_CASE("a request goes from the caller through an entry to a target and back", "[process]")
{
    const TemporaryFolder folder;
    const Address entry{"127.0.0.1", freePort()};
    const TestProcess entryProcess("camphorspindle-entry", {"--listen", entry.toString()},
                                   (folder.path() / "entry.log").string());
    const TestProcess targetProcess("camphortarget",
                                    {"--entries", entry.toString(), "--services", "echo"},
                                    (folder.path() / "target.log").string());
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/requests/echo";
    request.body = "leaf quote";
    REQUIRE(waitUntil([&] {
        const auto result = callHttp(entry, request);
        const auto *response = std::get_if<HttpResponse>(&result);
        return response != nullptr && response->status == 200 && response->body == "leaf quote";
    }));
}
