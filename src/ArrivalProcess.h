/// @file Generates all arrivals of a scenario in advance, so that no response can delay an arrival
/// (open-loop load).
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
    Milliseconds at; ///< Intended send time, relative to the start of the run.
    std::size_t flow = 0; ///< Index in Scenario::flows.
    std::size_t phase = 0; ///< Index in Scenario::phases.
    /// Number of the logical request; a resubmission has the number of the original.
    std::size_t submission = 0;
    bool isResubmission = false;
    Urgency urgency = Urgency::Normal;
    std::string key; ///< Idempotency key; empty when there is none.
    std::vector<StandInTask> tasks;

    auto operator<=>(const PlannedRequest &) const = default;
};

/// Samples one true run time.
[[nodiscard]] Milliseconds sampleRunTime(const RunTimeDistribution &distribution,
                                         std::mt19937_64 &engine);

/// Returns the number of tasks at a quantile of the log-uniform distribution between the flow's
/// bounds.
[[nodiscard]] long taskCountAt(const FlowScenario &flow, double quantile);

/// Returns the mean slot-milliseconds of one request of a flow, estimated from samples with a fixed
/// seed.
[[nodiscard]] double meanWork(const FlowScenario &flow);

/// Returns the mean arrivals per second of a flow in a phase, without the arrivals added by a
/// flood.
[[nodiscard]] double arrivalRate(const Scenario &scenario, const PhaseScenario &phase,
                                 std::size_t flow);

/// Returns all arrivals, ordered by time: one independently seeded Poisson process for each phase
/// and flow. Task ids and keys start with the prefix, so that two runs on one cluster don't
/// collide.
[[nodiscard]] std::vector<PlannedRequest> planArrivals(const Scenario &scenario,
                                                       const std::string &idPrefix);

/// Returns the makespan of the tasks on a number of slots when scheduled longest task first.
[[nodiscard]] Milliseconds idealMakespan(const std::vector<StandInTask> &tasks, long slots);

} // namespace Camphor
