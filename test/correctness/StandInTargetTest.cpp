#include "StandInTarget.h"
#include "HttpServer.h"
#include "StandInTask.h"
#include "TestProcess.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// A fleet and a client on one thread.
class FleetFixture
{
public:
    explicit FleetFixture(const std::string &faults = {}, int slots = 2,
                          std::vector<Address> entries = {})
    {
        StandInFleetSettings settings;
        settings.listen = {"127.0.0.1", 0};
        settings.slots = slots;
        settings.services = {"quote"};
        settings.entries = std::move(entries);
        settings.startLogPath = (m_folder.path() / "starts.jsonl").string();
        settings.faults = faults;
        settings.lateResponseDelay = Milliseconds{300};
        m_fleet = StandInFleet::make(io, settings).value();
    }

    void send(const std::string &method, const std::string &attempt, const std::string &body,
              HttpCallback callback, Milliseconds timeout = Milliseconds{10'000})
    {
        HttpRequest request;
        request.method = method;
        request.target = method == "POST" ? "/v1/run" : "/v1/run/" + attempt;
        request.headers["Camphorspindle-Attempt"] = attempt;
        request.headers["Camphorspindle-Service"] = "quote";
        request.body = body;
        m_client->send(m_fleet->addresses().front(), request, timeout, std::move(callback));
    }

    /// Runs one task and waits for its end.
    HttpResult call(const StandInTask &task, Milliseconds timeout = Milliseconds{10'000})
    {
        std::optional<HttpResult> result;
        send(
            "POST", "a-" + task.id, encodeTask(task),
            [&](HttpResult it) { result = std::move(it); }, timeout);
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    void runUntil(const std::function<bool()> &condition)
    {
        io.restart();
        while (!condition() && io.run_one_for(std::chrono::seconds(30)) > 0) { }
    }

    [[nodiscard]] std::vector<StartRecord> starts() const
    {
        return readStartLog((m_folder.path() / "starts.jsonl").string()).value();
    }
    [[nodiscard]] StandInFleet &fleet() const { return *m_fleet; }
    [[nodiscard]] const HttpClient &client() const { return *m_client; }

    boost::asio::io_context io;

private:
    TemporaryFolder m_folder;
    std::shared_ptr<StandInFleet> m_fleet;
    std::shared_ptr<HttpClient> m_client = HttpClient::make(io, {});
};

const StandInTask Task{"t-1", Milliseconds{5}, 2'000};

} // namespace

// Guards against a target whose responses the caller can't verify, and against unlogged starts.
TEST_CASE("a stand-in target returns a verifiable response and logs the start", "[target]")
{
    FleetFixture fixture;
    const auto result = fixture.call(Task);
    REQUIRE(statusOf(result) == 200);
    const auto &body = std::get<HttpResponse>(result).body;
    CHECK(checkResponse(Task, body) == ResponseCheck::Complete);
    CHECK(checkResponse({"t-2", {}, 2'000}, body) == ResponseCheck::Wrong);
    CHECK(checkResponse(Task, body.substr(0, 100)) == ResponseCheck::Partial);
    REQUIRE(fixture.starts().size() == 1);
    CHECK(fixture.starts().front().attempt == "a-t-1");
    CHECK(fixture.starts().front().id == "t-1");
}

// Guards against queueing at the target, and against a slot that stays occupied after a stop.
TEST_CASE("a stand-in target rejects work beyond its slots until a task is stopped", "[target]")
{
    FleetFixture fixture({}, 1);
    const auto input = encodeTask({"long", Milliseconds{60'000}, 0});
    int stoppedStatus = 0;
    fixture.send(
        "POST", "long", input, [&](const HttpResult &it) { stoppedStatus = statusOf(it); },
        Milliseconds{60'000});
    fixture.runUntil([&] { return fixture.fleet().running() == 1; });

    const auto refused = fixture.call(Task);
    REQUIRE(statusOf(refused) == 503);
    CHECK(std::get<HttpResponse>(refused).header("camphorspindle-started") == "false");
    CHECK(fixture.fleet().counters().refused == 1);
    CHECK(fixture.starts().size() == 1);

    fixture.send("DELETE", "long", "", [](const HttpResult &) { });
    fixture.runUntil([&] { return stoppedStatus != 0; });
    CHECK(stoppedStatus == 500);
    CHECK(statusOf(fixture.call(Task)) == 200);
}

// Guards against faults that have no effect, so that a test run with faults would prove nothing.
TEST_CASE("faults of stand-in targets are visible to the caller", "[target]")
{
    const auto [fault, status] = GENERATE(table<std::string, int>(
        {{"fail=1", 500}, {"truncate=1", 0}, {"reset=1", 0}, {"stall=1", 0}, {"straggle=1", 200}}));
    CAPTURE(fault);
    FleetFixture fixture(fault);
    const SteadyClock clock;
    const auto start = clock.now();
    CHECK(statusOf(fixture.call(Task, Milliseconds{1'000})) == status);
    if (fault == "straggle=1")
        CHECK((clock.now() - start).count() >= 50.0);
    CHECK(fixture.fleet().counters().faults == 1);
    CHECK(fixture.starts().size() == 1);
}

// Guards against a second or late response that goes unnoticed or reaches another call.
TEST_CASE("a second response is unsolicited input, and a late response does not reach a call",
          "[target]")
{
    FleetFixture twice("answer-twice=1");
    CHECK(statusOf(twice.call(Task)) == 200);
    twice.runUntil([&] { return twice.client().unsolicitedResponses() > 0; });
    CHECK(checkResponse({"t-3", {}, 7}, std::get<HttpResponse>(twice.call({"t-3", {}, 7})).body)
          == ResponseCheck::Complete);

    FleetFixture late("answer-late=1");
    CHECK(statusOf(late.call(Task, Milliseconds{100})) == 0);
    CHECK(statusOf(late.call(Task)) == 200);
}

// Guards against targets that stay with an entry that is not their owner or does not respond, and
// against a drain that interrupts a running task.
TEST_CASE("a target switches to its owner and announces that it is leaving", "[target]")
{
    boost::asio::io_context io;
    std::vector<std::string> receivedByFirst;
    std::vector<std::string> receivedByOwner;
    HttpServerSettings settings;
    settings.listen = {"127.0.0.1", 0};
    const auto recordState = [](std::vector<std::string> &states, const std::string &body) {
        return [&states, body](const HttpRequest &request, const HttpRespond &respond) {
            states.push_back(request.method == "PUT"
                                 ? nlohmann::json::parse(request.body).value("state", "")
                                 : request.method);
            respond(makeResponse(200, "application/json", body));
        };
    };
    const auto owner =
        HttpServer::make(io, settings, recordState(receivedByOwner, R"({"heartbeatMs":50})"))
            .value();
    const auto ownerAddress = Address{"127.0.0.1", owner->port()};
    const auto first = HttpServer::make(io, settings,
                                        recordState(receivedByFirst,
                                                    R"({"heartbeatMs":50,"owner":")"
                                                        + ownerAddress.toString() + "\"}"))
                           .value();
    std::jthread entries([&] { io.run(); });
    {
        FleetFixture fixture({}, 2, {{"127.0.0.1", freePort()}, {"127.0.0.1", first->port()}});
        int status = 0;
        fixture.send("POST", "a", encodeTask({"last", Milliseconds{400}, 0}),
                     [&](const HttpResult &it) { status = statusOf(it); });
        fixture.runUntil([&] { return fixture.fleet().running() == 1; });
        fixture.fleet().startDrain();
        fixture.runUntil([] { return false; });
        CHECK(status == 200);
    }
    io.stop();
    entries.join();
    CHECK(std::ranges::count(receivedByFirst, "serving") == 1);
    CHECK(std::ranges::count(receivedByOwner, "leaving") > 1);
    CHECK(receivedByOwner.back() == "DELETE");
}

// Guards against a fault plan that selects other targets in each run or misinterprets a rule.
TEST_CASE("a fault plan is determined by its seed", "[target]")
{
    const auto plan = FaultPlan::parse("fail=0.1,truncate=0.5:0.3", 50, 7).value();
    const auto samePlan = FaultPlan::parse("fail=0.1,truncate=0.5:0.3", 50, 7).value();
    int failing = 0;
    for (std::size_t n = 0; n < 50; ++n) {
        failing += plan.affects(TargetFault::Fail, n) ? 1 : 0;
        CHECK(plan.affects(TargetFault::Truncate, n) == samePlan.affects(TargetFault::Truncate, n));
    }
    CHECK(failing == 5);
    CHECK_FALSE(FaultPlan::parse("fail=2", 50, 7).isOk());
    CHECK_FALSE(FaultPlan::parse("explode=1", 50, 7).isOk());
    CHECK_FALSE(FaultPlan::parse("fail", 50, 7).isOk());
}
