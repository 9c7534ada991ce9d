/// @file Load scenarios: flows, phases, floods and cancellations, read from YAML.
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
    /// Each true time is off the distribution by a factor between 1/wrongBy and wrongBy, as when
    /// the declared time is wrong. It stays between one millisecond and tailMax.
    double wrongBy = 1;

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
    double ratePerSecond = 0; ///< Used instead of the share if above zero.
    long minTasks = 1; ///< Of a job; log-uniform up to maxTasks.
    long maxTasks = 1;
    RunTimeDistribution runTime;
    long answerBytes = 200; ///< Of each task's answer.
    bool isKeyed = false;
    bool isRepeatable = false; ///< Sent with each request; jobs never are.
    double resubmit = 0; ///< Probability of a second submission of the key through another entry.
    Milliseconds deadline{10'000};

    auto operator<=>(const FlowScenario &) const = default;
};

/// More arrivals of one flow during a phase.
struct FloodScenario
{
    std::string flow;
    double factor = 10;
    std::optional<Urgency> urgency; ///< Of the added arrivals; the flow's own when missing.

    auto operator<=>(const FloodScenario &) const = default;
};

/// One wave of cancellations.
struct CancelScenario
{
    Milliseconds at; ///< After the start of the phase.
    double share = 0.5; ///< Of the jobs without an answer.

    auto operator<=>(const CancelScenario &) const = default;
};

/// A part of the run with a constant load.
struct PhaseScenario
{
    std::string name;
    Milliseconds duration;
    double load = 0.5; ///< Of the fleet's slots.
    std::optional<FloodScenario> flood;
    std::optional<CancelScenario> cancel;
    std::vector<std::string> flows; ///< Flows of this phase; all of them when empty.

    auto operator<=>(const PhaseScenario &) const = default;
};

/// A whole scenario.
struct Scenario
{
    std::string name;
    std::uint64_t seed = 1;
    std::vector<Address> entries; ///< May be empty: --entries gives them.
    long slots = 400; ///< Of the whole fleet.
    Milliseconds callerDelay; ///< One-way delay between callers and entries, added by the load.
    Milliseconds targetDelay; ///< One-way delay that the targets add; only for the ideal times.
    Milliseconds grace{5'000}; ///< After its deadline a request without an answer is lost.
    std::vector<FlowScenario> flows;
    std::vector<PhaseScenario> phases;

    /// Reads and checks a scenario. Errors name file, line, column, key and a fix.
    [[nodiscard]] static Result<Scenario> parse(const std::string &name, const std::string &text);
    [[nodiscard]] static Result<Scenario> load(const std::string &path);

    [[nodiscard]] Milliseconds duration() const;

    /// The same scenario with only the named phases, in the order of the scenario; all of them when
    /// there are no names. Durations and the instants inside a phase are multiplied by the factor.
    [[nodiscard]] Result<Scenario> select(const std::vector<std::string> &phaseNames,
                                          double durationFactor) const;

    auto operator<=>(const Scenario &) const = default;
};

} // namespace Camphor
