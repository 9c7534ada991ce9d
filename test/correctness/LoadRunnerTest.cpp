#include "LoadRunner.h"
#include "HttpServer.h"
#include "LoadReport.h"
#include "TestProcess.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

const Scenario TestScenario = Scenario::parse("s.yaml", R"(
name: s
slots: 10
graceMs: 1
flows:
  - {name: quote, ratePerSecond: 100, repeatable: true, runTime: {minMs: 1, maxMs: 1}}
  - {name: batch, kind: job, minTasks: 3, ratePerSecond: 50, runTime: {minMs: 1, maxMs: 1}}
phases: [{name: p, durationMs: 1000}]
)")
                                  .value();

/// Responds like an entry whose targets need no time.
HttpResponse respondAsEntry(const HttpRequest &request)
{
    if (request.path() == "/metrics") {
        return makeResponse(200, "text/plain",
                            "# TYPE a_messages_total counter\na_messages_total 2\n");
    }
    if (request.path() != "/v1/jobs") {
        const auto task = decodeTask(request.body);
        return makeResponse(200, "application/json", makeResponseBody(task, request.body));
    }
    const auto json = nlohmann::json::parse(request.body);
    nlohmann::json results = nlohmann::json::array();
    for (const auto &task : json["tasks"]) {
        const auto input = task["input"].dump();
        results.push_back(nlohmann::json::parse(makeResponseBody(decodeTask(input), input)));
    }
    const nlohmann::json body{{"key", json["key"]}, {"outcome", "completed"}, {"results", results}};
    return makeResponse(200, "application/json", body.dump());
}

} // namespace

// Guards against a load that waits for responses, that keeps sending to an entry which refuses
// connections, or whose report omits requests.
TEST_CASE("a run sends every planned request and reports it", "[load]")
{
    boost::asio::io_context io;
    HttpServerSettings settings;
    settings.listen = {"127.0.0.1", 0};
    const auto server =
        HttpServer::make(io, settings, [](const HttpRequest &request, const HttpRespond &respond) {
            respond(respondAsEntry(request));
        }).value();
    const std::jthread entry([&] { io.run(); });
    const auto plan = planArrivals(TestScenario, "r");
    const auto observation = runLoad(
        TestScenario, plan, {{{"127.0.0.1", server->port()}, {"127.0.0.1", freePort()}}, {}});
    const auto invariants = checkInvariants(TestScenario, plan, observation.calls, {});
    const auto report = makeReport({TestScenario, plan, observation, {}, invariants});
    io.stop();
    CHECK(invariants.total() == 0);
    std::size_t offered = 0;
    for (const auto &[name, flow] : report["flows"].items()) {
        CHECK(flow["offered"] == flow["completed"]);
        CHECK(flow["stretch"]["p50"] > 0.0);
        offered += flow["offered"].get<std::size_t>();
    }
    CHECK(offered == plan.size());
    CHECK(report["phases"]["p"]["flows"].size() == 2);
    CHECK_THAT(makeTable(report), Catch::Contains("batch"));
}

// Guards against incomplete responses that count as complete, and rejections that count as
// failures.
TEST_CASE("responses are parsed and verified", "[load]")
{
    const auto plan = planArrivals(TestScenario, "r");
    const auto &job = *std::ranges::find(plan, 1U, &PlannedRequest::flow);
    const auto &flow = TestScenario.flows[1];
    const auto completeResponse = respondAsEntry(makeCall(flow, job));
    const auto check = [&](const HttpResponse &response) {
        CallRecord call;
        readResponse(flow, job, response, call);
        return call;
    };
    CHECK(check(completeResponse).responseCheck == ResponseCheck::Complete);
    auto json = nlohmann::json::parse(completeResponse.body);
    std::swap(json["results"][0], json["results"][1]);
    CHECK(check(makeResponse(200, "application/json", json.dump())).responseCheck
          == ResponseCheck::Wrong);
    json["results"].erase(0);
    CHECK(check(makeResponse(200, "application/json", json.dump())).responseCheck
          == ResponseCheck::Partial);
    const auto rejected =
        check(makeResponse(429, ProblemContentType, R"({"outcome":"not-run","reason":"full"})"));
    CHECK(rejected.outcome == CallOutcome::NotRun);
    CHECK(rejected.reason == "full");
    CHECK(check(makeResponse(504, ProblemContentType, "")).outcome == CallOutcome::Unknown);
}

// Guards against counters of other kinds in the sum, and wasted messages that are not recognized.
TEST_CASE("message counters are summed", "[load]")
{
    const auto counts = readMessageCounts("# HELP x_messages_total text\n"
                                          "x_messages_total{kind=\"a\"} 5\n"
                                          "x_messages_total{kind=\"b\",wasted=\"true\"} 2\n"
                                          "camphorspindle_attempts_total{end=\"not-started\"} 1\n"
                                          "camphorspindle_attempts_total{end=\"completed\"} 4\n"
                                          "camphorspindle_late_answers_total 3\n"
                                          "x_bytes_total 9\n");
    CHECK(counts == MessageCounts{12, 6});
}

// Guards against interpolated quantiles, which are not measured values.
TEST_CASE("quantiles use the nearest rank", "[load]")
{
    CHECK(quantileOfSorted({}, 0.5) == 0);
    CHECK(quantileOfSorted({1, 2, 3, 4}, 0.5) == 2);
    CHECK(quantileOfSorted({1, 2, 3, 4}, 0.99) == 4);
}
