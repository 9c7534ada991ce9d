/// @file Admission control: accepts or rejects a request as a whole before any of its tasks starts.
#pragma once

#include "DispatchTypes.h"

#include <string>

namespace Camphor {

/// Input of the decision. All waits assume that the flow gets only its fair share.
struct AdmissionInput
{
    bool isDraining = false;
    const ServiceDeclaration *service = nullptr; ///< Null when the service is not declared.
    std::string missingDependency; ///< A required service without a usable target.
    std::uint32_t taskCount = 1;
    Milliseconds remaining; ///< Until the deadline.
    std::uint32_t queuedTasks = 0; ///< In the whole pool.
    std::uint32_t maxQueuedTasks = 0;
    /// Slots of the service that this entry can use: its own, or its part of those of its peers.
    double slots = 0;
    double freeSlots = 0;
    double flowShare = 1; ///< Current share of the flow in the slots.
    double quotaSlots = 0; ///< Of the team; 0 without a quota.
    double flowQueuedMs = 0; ///< Estimated slot time of the queued tasks of the flow.
    double flowDrainRate = 0; ///< Measured slot-milliseconds started per millisecond.
    Milliseconds meanRunTime;
    Milliseconds p95RunTime;
    Milliseconds minRunTime; ///< 0 while there are too few samples.
};

class Admission
{
public:
    /// Rejects requests that can never run, cannot end before their deadline, or exceed a limit.
    [[nodiscard]] static AdmissionDecision decide(const AdmissionInput &input);

    /// How long the last task of the request would wait for a slot.
    [[nodiscard]] static Milliseconds expectedWait(const AdmissionInput &input);

    /// Time until the queue of the flow has fallen to half of its limit at the measured drain rate.
    [[nodiscard]] static Milliseconds retryAfter(const AdmissionInput &input);
};

} // namespace Camphor
