/// @file Whether a request may be taken, as a whole, before anything of it starts.
#pragma once

#include "DispatchTypes.h"

#include <string>

namespace Camphor {

/// What the decision needs to know. All waits assume that the flow gets its fair share only.
struct AdmissionInput
{
    bool isDraining = false;
    const ServiceDeclaration *service = nullptr; ///< Null when the service is not declared.
    std::string missingDependency; ///< A required one that has no usable target.
    std::uint32_t taskCount = 1;
    Milliseconds remaining; ///< Until the deadline.
    std::uint32_t queuedTasks = 0; ///< Of the whole pool.
    std::uint32_t maxQueuedTasks = 0;
    /// Slots of the service that this entry can use: its own, or its part of the peers'.
    double slots = 0;
    double freeSlots = 0;
    double flowShare = 1; ///< Part of the slots that the flow gets now.
    double quotaSlots = 0; ///< Of the team; 0 is no quota.
    double flowQueuedMs = 0; ///< Slot time that waits in the flow.
    double flowDrainRate = 0; ///< Measured slot-milliseconds started per millisecond.
    Milliseconds meanRunTime;
    Milliseconds p95RunTime;
    Milliseconds minRunTime; ///< 0 while too little was learned.
};

class Admission
{
public:
    /// Refuses what can never run, what cannot end in time, and what exceeds a bound.
    [[nodiscard]] static AdmissionDecision decide(const AdmissionInput &input);

    /// How long the last task of the request would wait for a slot.
    [[nodiscard]] static Milliseconds expectedWait(const AdmissionInput &input);

    /// When the flow's queue will have fallen to half of its bound at the measured drain rate.
    [[nodiscard]] static Milliseconds retryAfter(const AdmissionInput &input);
};

} // namespace Camphor
