/// @file Stand-in targets: they take slots, sleep for the run time of a task and answer, or fail
/// as their fault plan says. One fleet serves many targets on consecutive ports.
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

/// What a fleet of targets is and does.
struct StandInFleetSettings
{
    Address listen; ///< Of the first target; port 0 gives every target a free port.
    int targets = 1;
    int slots = 8; ///< Of each target, shared by its services.
    int rackSize = 8;
    std::string domain = "domain-1";
    std::string workerPrefix = "worker-";
    std::vector<std::string> services;
    std::vector<Address> entries; ///< Entries of the domain to announce to.
    std::string startLogPath; ///< Empty for none.
    std::string faults; ///< For FaultPlan::parse.
    std::uint64_t faultSeed = 1;
    Milliseconds oneWayDelay; ///< Added network delay between entry and target.
    Milliseconds lateBy{2'000}; ///< Of an answer under the fault AnswerLate.
    Milliseconds leaveFor{5'000}; ///< Of a target under the fault Leave.
    Milliseconds stallLimit{30'000}; ///< A stalled call is reset after this.
};

/// What the targets of a fleet did.
struct StandInCounters
{
    std::uint64_t starts = 0;
    std::uint64_t refused = 0; ///< No free slot; nothing started.
    std::uint64_t stopped = 0; ///< Ended by DELETE /v1/run/{attempt}.
    std::uint64_t faults = 0; ///< Tasks that met a fault.

    auto operator<=>(const StandInCounters &) const = default;
};

/// The fleet. It may only be used on the one thread that runs the io_context.
class StandInFleet
{
public:
    /// Binds all targets and starts to announce them.
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
