/// @file Draws all arrivals of a scenario in advance, so that no answer can delay one.
#pragma once

#include "Scenario.h"
#include "StandInTask.h"

#include <random>
#include <string>
#include <vector>

namespace Camphor {

/// One planned submission.
struct PlannedRequest
{
    Milliseconds at; ///< Intended start, from the start of the run.
    std::size_t flow = 0; ///< Index in Scenario::flows.
    std::size_t phase = 0; ///< Index in Scenario::phases.
    std::size_t submission = 0; ///< Numbers the logical requests; a resubmission has the same.
    bool isResubmission = false;
    Urgency urgency = Urgency::Normal;
    std::string key; ///< Empty without a key.
    std::vector<StandInTask> tasks;

    auto operator<=>(const PlannedRequest &) const = default;
};

/// Draws one true run time.
[[nodiscard]] Milliseconds drawRunTime(const RunTimeDistribution &distribution,
                                       std::mt19937_64 &engine);

/// The number of tasks at a quantile of the log-uniform distribution between the flow's bounds.
[[nodiscard]] long taskCountAt(const FlowScenario &flow, double quantile);

/// Mean slot-milliseconds of one request of a flow, measured on draws with a fixed seed.
[[nodiscard]] double meanWork(const FlowScenario &flow);

/// Mean arrivals a second of a flow in a phase, without the flood's added arrivals.
[[nodiscard]] double arrivalRate(const Scenario &scenario, const PhaseScenario &phase,
                                 std::size_t flow);

/// All arrivals by time: Poisson processes with one seed for each phase and flow. The ids of tasks
/// and the keys start with the prefix, so that two runs on one cluster don't collide.
[[nodiscard]] std::vector<PlannedRequest> planArrivals(const Scenario &scenario,
                                                       const std::string &idPrefix);

/// The shortest time in which the tasks can run on a number of slots, by longest task first.
[[nodiscard]] Milliseconds idealMakespan(const std::vector<StandInTask> &tasks, long slots);

} // namespace Camphor
