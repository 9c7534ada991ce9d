#include "ArrivalProcess.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <numeric>

using namespace Camphor;

namespace {

Scenario makeScenario()
{
    return Scenario::parse("s.yaml", R"(
name: s
seed: 5
slots: 100
flows:
  - {name: single, share: 1, keyed: true, resubmit: 0.2, runTime: {minMs: 50, maxMs: 250}}
  - {name: batch, share: 3, kind: job, maxTasks: 50, runTime: {minMs: 100, tailShare: 0.1}}
phases:
  - {name: calm, durationMs: 60000, load: 0.7}
  - {name: flood, durationMs: 60000, load: 0.7, flood: {flow: single, factor: 10, urgency: low}}
)")
        .value();
}

double totalRunTime(const std::vector<PlannedRequest> &plan, std::size_t flow, std::size_t phase)
{
    return std::accumulate(plan.begin(), plan.end(), 0.0, [&](double sum, const auto &request) {
        if (request.flow != flow || request.phase != phase || request.isResubmission)
            return sum;
        return std::accumulate(
            request.tasks.begin(), request.tasks.end(), sum,
            [](double it, const StandInTask &task) { return it + task.runTime.count(); });
    });
}

} // namespace

// Guards against a load that differs from the configured fraction of the fleet, which would
// invalidate every figure of a phase.
TEST_CASE("planned work matches the load, the shares and the flood", "[load]")
{
    const auto scenario = makeScenario();
    const auto plan = planArrivals(scenario, "r");
    CHECK(std::ranges::is_sorted(plan, {}, &PlannedRequest::at));
    const double fleetSlotMs = 100 * 60'000.0;
    CHECK(totalRunTime(plan, 0, 0) / fleetSlotMs == Approx(0.7 * 0.25).epsilon(0.1));
    CHECK(totalRunTime(plan, 1, 0) / fleetSlotMs == Approx(0.7 * 0.75).epsilon(0.1));
    CHECK(totalRunTime(plan, 0, 1) / totalRunTime(plan, 0, 0) == Approx(10).epsilon(0.1));
    CHECK(std::ranges::count(plan, Urgency::Low, &PlannedRequest::urgency)
          > std::ranges::count(plan, Urgency::Normal, &PlannedRequest::urgency));
    const auto tasks = std::ranges::max(plan, {}, [](const auto &it) { return it.tasks.size(); });
    CHECK(tasks.tasks.size() <= 50);
    CHECK(tasks.tasks.size() > 40);
}

// Guards against baselines measured with other arrivals than the run they are compared to.
TEST_CASE("a seed fixes the arrivals of a phase, whichever phases are selected", "[load]")
{
    const auto scenario = makeScenario();
    const auto all = planArrivals(scenario, "r");
    CHECK(all == planArrivals(scenario, "r"));
    const auto floodScenario = scenario.select({"flood"}, 1).value();
    const auto plan = planArrivals(floodScenario, "r");
    const auto first = std::ranges::find(all, 1U, &PlannedRequest::phase);
    REQUIRE(first != all.end());
    CHECK((first->at - Milliseconds{60'000}).count() == Approx(plan.front().at.count()));
    CHECK(first->tasks.front().runTime == plan.front().tasks.front().runTime);
    CHECK(scenario.select({"calm"}, 0.5).value().duration() == Milliseconds{30'000});
    CHECK_FALSE(scenario.select({"storm"}, 1).isOk());
}

// Guards against resubmissions that the system sees as new requests.
TEST_CASE("only a resubmission repeats key and tasks", "[load]")
{
    std::map<std::string, std::vector<PlannedRequest>> byKey;
    for (const auto &request : planArrivals(makeScenario(), "r"))
        byKey[request.key].push_back(request);
    std::size_t resubmitted = 0;
    for (const auto &[key, requests] : byKey) {
        REQUIRE(requests.size() <= 2);
        if (requests.size() < 2)
            continue;
        ++resubmitted;
        CHECK(requests[0].tasks == requests[1].tasks);
        CHECK(requests[0].submission == requests[1].submission);
        CHECK((!requests[0].isResubmission && requests[1].isResubmission));
    }
    CHECK(resubmitted > 0);
}

// Guards against stretch figures computed from an ideal time that is too long.
TEST_CASE("the ideal makespan schedules the longest tasks first", "[load]")
{
    const std::vector<StandInTask> tasks{
        {"a", Milliseconds{100}, 0}, {"b", Milliseconds{300}, 0}, {"c", Milliseconds{200}, 0}};
    CHECK(idealMakespan(tasks, 1) == Milliseconds{600});
    CHECK(idealMakespan(tasks, 2) == Milliseconds{300});
    CHECK(idealMakespan(tasks, 9) == Milliseconds{300});
}
