/// @file Load scenarios read from YAML: flows, phases, floods and cancellations.
#pragma once

#include "Declaration.h"
#include "Result.h"
#include "Settings.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Camphor {

/// True run times: uniform between min and max, with a share of the tasks in a tail up to tailMax.
struct RunTimeDistribution
{
    Milliseconds min{50};
    Milliseconds max{1'000};
    double tailShare = 0;
    Milliseconds tailMax{5'000};
    /// Each true time deviates from the distribution by a factor between 1/estimateErrorFactor and
    /// estimateErrorFactor, as when the declared run time is wrong. It stays between one
    /// millisecond and tailMax.
    double estimateErrorFactor = 1;

    auto operator<=>(const RunTimeDistribution &) const = default;
};

/// One kind of traffic.
struct FlowScenario
{
    std::string name;
    std::string service;
    std::string team;
    Urgency urgency = Urgency::Normal;
    bool isJob = false;
    double share = 1; ///< Weight of this flow in the offered slot-milliseconds.
    double ratePerSecond = 0; ///< Used instead of the share if greater than zero.
    long minTasks = 1; ///< Tasks of a job; log-uniform up to maxTasks.
    long maxTasks = 1;
    RunTimeDistribution runTime;
    long responseBytes = 200; ///< Size of the response of each task.
    bool isKeyed = false;
    bool isRepeatable = false; ///< Sent with each request; jobs are never repeatable.
    /// Probability of a second submission with the same key through another entry.
    double resubmit = 0;
    Milliseconds deadline{10'000};

    auto operator<=>(const FlowScenario &) const = default;
};

/// Additional arrivals of one flow during a phase.
struct FloodScenario
{
    std::string flow;
    double factor = 10;
    /// Urgency of the additional arrivals; that of the flow if not set.
    std::optional<Urgency> urgency;

    auto operator<=>(const FloodScenario &) const = default;
};

/// One burst of cancellations.
struct CancelScenario
{
    Milliseconds at; ///< Time after the start of the phase.
    double share = 0.5; ///< Share of the jobs in flight that is cancelled.

    auto operator<=>(const CancelScenario &) const = default;
};

/// A part of the run with constant load.
struct PhaseScenario
{
    std::string name;
    Milliseconds duration;
    double load = 0.5; ///< Offered load as a share of the fleet's slots.
    std::optional<FloodScenario> flood;
    std::optional<CancelScenario> cancel;
    std::vector<std::string> flows; ///< Flows of this phase; all flows if empty.

    auto operator<=>(const PhaseScenario &) const = default;
};

/// A load scenario.
struct Scenario
{
    std::string name;
    std::uint64_t seed = 1;
    std::vector<Address> entries; ///< May be empty if --entries is given.
    long slots = 400; ///< Total slots of the fleet.
    /// One-way delay between callers and entries, added by the load tool.
    Milliseconds callerDelay;
    /// One-way delay added by the targets; used only for the ideal response times.
    Milliseconds targetDelay;
    /// Time after its deadline when a request without a response counts as lost.
    Milliseconds grace{5'000};
    std::vector<FlowScenario> flows;
    std::vector<PhaseScenario> phases;

    /// Parses and validates a scenario. Errors name file, line, column, key and a fix.
    [[nodiscard]] static Result<Scenario> parse(const std::string &name, const std::string &text);
    [[nodiscard]] static Result<Scenario> load(const std::string &path);

    [[nodiscard]] Milliseconds duration() const;

    /// Returns the same scenario with only the named phases, in the order of the scenario; all
    /// phases if there are no names. Durations and the times inside a phase are multiplied by the
    /// factor.
    [[nodiscard]] Result<Scenario> select(const std::vector<std::string> &phaseNames,
                                          double durationFactor) const;

    auto operator<=>(const Scenario &) const = default;
};

} // namespace Camphor
