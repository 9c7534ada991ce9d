/// @file Stand-in targets: they occupy slots, sleep for the run time of a task and respond, or fail
/// as specified by their fault plan. One fleet serves many targets on consecutive ports.
#pragma once

#include "Settings.h"
#include "StartLog.h"
#include "TargetFaults.h"
#include "TargetServer.h"
#include "Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Camphor {

/// Settings of a fleet of stand-in targets.
struct StandInFleetSettings
{
    Address listen; ///< Address of the first target; port 0 gives every target a free port.
    int targets = 1;
    int slots = 8; ///< Slots of each target, shared by its services.
    int rackSize = 8;
    std::string domain = "domain-1";
    std::string workerPrefix = "worker-";
    std::vector<std::string> services;
    std::vector<Address> entries; ///< Entries of the domain that get announcements.
    std::string startLogPath; ///< Empty to write no start log.
    std::string faults; ///< Text for FaultPlan::parse.
    std::uint64_t faultSeed = 1;
    Milliseconds oneWayDelay; ///< Added network delay between entry and target.
    Milliseconds lateResponseDelay{2'000}; ///< Delay of a response under the fault AnswerLate.
    Milliseconds leaveDuration{5'000}; ///< Time that a target is leaving under the fault Leave.
    Milliseconds stallLimit{30'000}; ///< Time after which a stalled call is reset.
};

/// Counters of a fleet.
struct StandInCounters
{
    std::uint64_t starts = 0;
    std::uint64_t refused = 0; ///< Calls rejected because there was no free slot; nothing started.
    std::uint64_t stopped = 0; ///< Attempts ended by DELETE /v1/run/{attempt}.
    std::uint64_t faults = 0; ///< Tasks affected by a fault.

    auto operator<=>(const StandInCounters &) const = default;
};

/// A fleet of stand-in targets. It may only be used on the one thread that runs the io_context.
class StandInFleet
{
public:
    /// Binds all targets and starts announcing them.
    [[nodiscard]] static Result<std::shared_ptr<StandInFleet>>
    make(boost::asio::io_context &io, const StandInFleetSettings &settings);

    virtual ~StandInFleet() = default;

    /// Announces "leaving", lets the running tasks finish, and then stops the io_context.
    virtual void startDrain() = 0;
    /// Replaces the fault plan.
    [[nodiscard]] virtual Status setFaults(const std::string &faults) = 0;

    [[nodiscard]] virtual StandInCounters counters() const = 0;
    [[nodiscard]] virtual std::vector<Address> addresses() const = 0;
    [[nodiscard]] virtual std::size_t running() const = 0;
};

} // namespace Camphor
