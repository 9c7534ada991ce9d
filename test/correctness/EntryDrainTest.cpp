#include "EntryFixture.h"

#include <catch2/catch.hpp>

#include <future>

using namespace Camphor;
using namespace Camphor::Testing;

// Guards against a graceful stop that breaks the connection of a request in flight.
TEST_CASE("SIGTERM under load breaks no request in flight", "[process]")
{
    EntryCluster cluster(2, "drain: {readinessMs: 200, limitMs: 20000}\n");
    FakeTarget first("t1", cluster.addresses());
    FakeTarget second("t2", cluster.addresses());
    REQUIRE(cluster.waitForTargets(2));
    std::atomic<int> completedCalls{0};
    std::atomic<int> brokenCalls{0};
    std::atomic<bool> isStopping{false};
    std::vector<std::jthread> callers;
    callers.reserve(4);
    for (int n = 0; n < 4; ++n) {
        callers.emplace_back([&] {
            while (!isStopping) {
                auto result =
                    callHttp(cluster.address(0), makeRequest("POST", "/v1/requests/book", "crew"));
                const auto *response = std::get_if<HttpResponse>(&result);
                if (response == nullptr) {
                    // A connection that was never established carried no request.
                    brokenCalls += std::get<HttpFailure>(result).maybeSent ? 1 : 0;
                    return;
                }
                completedCalls += response->status == 200 && response->body == "crew" ? 1 : 0;
            }
        });
    }
    CHECK(waitUntil([&] { return completedCalls > 50; }));
    const int completedBeforeDrain = completedCalls;
    cluster.process(0).signal(SIGTERM);
    CHECK(waitUntil([&] { return cluster.get(0, "/readyz").status != 200; }));
    CHECK(cluster.process(0).wait() == 0);
    isStopping = true;
    callers.clear();
    CHECK(brokenCalls == 0);
    CHECK(completedCalls > completedBeforeDrain);
    CHECK(waitUntil([&] { return cluster.status(1).value("ownedTargets", 0) == 2; }));
}

// Guards against a drain that abandons work without a response, and against false outcomes at the
// drain limit.
TEST_CASE("a drain that reaches its limit responds to the remaining requests with true outcomes",
          "[process]")
{
    EntryCluster cluster(1, "drain: {readinessMs: 50, limitMs: 300}\n");
    FakeTarget target("t1", cluster.addresses(), 1);
    REQUIRE(cluster.waitForTargets(1));
    target.setFault(Fault::Stall);
    const auto post = [&](const std::string &key) {
        return std::async(std::launch::async, [&cluster, key] {
            return responseOf(
                cluster.address(0),
                makeRequest("POST", "/v1/requests/book", "crew", {{"idempotency-key", key}}));
        });
    };
    auto running = post("running");
    REQUIRE(waitUntil([&] { return target.totalStarts() == 1; }));
    auto waiting = post("waiting");
    REQUIRE(waitUntil(
        [&] { return cluster.status(0)["pools"]["default"].value("queuedTasks", 0) == 1; }));
    cluster.process(0).signal(SIGTERM);
    CHECK(outcomeOf(waiting.get()) == "not-run");
    const auto abandoned = running.get();
    CHECK(outcomeOf(abandoned) == "unknown");
    CHECK(nlohmann::json::parse(abandoned.body)["reason"] == "drain-limit");
    CHECK(cluster.process(0).wait() == 0);
    CHECK(target.totalStarts() == 1);
}

// Guards against a drain that ends before work which takes longer than the readiness time.
TEST_CASE("a drain waits for running work", "[process]")
{
    EntryCluster cluster(1, "drain: {readinessMs: 50, limitMs: 20000}\n");
    FakeTarget target("t1", cluster.addresses(), 1);
    REQUIRE(cluster.waitForTargets(1));
    target.hold();
    auto job = std::async(std::launch::async, [&] {
        return responseOf(cluster.address(0),
                          makeRequest("POST", "/v1/jobs",
                                      R"({"service":"echo","tasks":[{"input":1},{"input":2}]})"));
    });
    REQUIRE(waitUntil([&] { return target.totalStarts() == 1; }));
    cluster.process(0).signal(SIGTERM);
    REQUIRE(
        waitUntil([&] { return cluster.log(0).find("drain-stops-intake") != std::string::npos; }));
    target.release();
    CHECK(job.get().status == 200);
    CHECK(cluster.process(0).wait() == 0);
}
