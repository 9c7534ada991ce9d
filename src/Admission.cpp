#include "Admission.h"

#include <algorithm>

namespace Camphor {

namespace {

constexpr Milliseconds MinRetryAfter{100};
constexpr Milliseconds MaxRetryAfter{30'000};
/// For refusals that end when a target or dependency comes back, one heartbeat later.
constexpr Milliseconds TargetRetryAfter{1'000};

double flowRate(const AdmissionInput &input)
{
    const auto rate = input.slots * input.flowShare;
    return std::max(input.quotaSlots > 0 ? std::min(rate, input.quotaSlots) : rate, 1e-3);
}

AdmissionDecision refuse(std::string reason, Milliseconds retryAfter, Milliseconds wait = {})
{
    return {false, std::move(reason), retryAfter, wait};
}

} // namespace

Milliseconds Admission::expectedWait(const AdmissionInput &input)
{
    const auto usable =
        input.quotaSlots > 0 ? std::min(input.freeSlots, input.quotaSlots) : input.freeSlots;
    const auto waiting = std::max(input.taskCount - usable, 0.0);
    if (waiting == 0 && input.flowQueuedMs == 0)
        return {};
    return Milliseconds{(input.flowQueuedMs + waiting * input.meanRunTime.count())
                        / flowRate(input)};
}

Milliseconds Admission::retryAfter(const AdmissionInput &input)
{
    const auto rate = input.flowDrainRate > 0 ? input.flowDrainRate : flowRate(input);
    const auto bound = input.service->maxQueueTime.count() * flowRate(input);
    return std::clamp(Milliseconds{(input.flowQueuedMs - bound / 2) / rate}, MinRetryAfter,
                      MaxRetryAfter);
}

AdmissionDecision Admission::decide(const AdmissionInput &input)
{
    if (input.service == nullptr)
        return refuse("unknown-service", {});
    if (input.taskCount == 0)
        return refuse("no-tasks", {});
    if (input.taskCount > input.service->maxTasksPerJob)
        return refuse("too-many-tasks", {});
    if (input.remaining <= Milliseconds{0})
        return refuse("deadline-passed", {});
    if (input.remaining < input.minRunTime)
        return refuse("deadline-below-run-time", {});
    if (input.isDraining)
        return refuse("draining", TargetRetryAfter);
    if (input.slots <= 0)
        return refuse("no-target", TargetRetryAfter);
    if (!input.missingDependency.empty())
        return refuse("dependency-unavailable: " + input.missingDependency, TargetRetryAfter);
    const auto wait = expectedWait(input);
    // With a free slot a late answer is only likely, not certain, so the task may try its luck.
    if (wait > Milliseconds{0} && wait + input.p95RunTime > input.remaining)
        return refuse("deadline-too-near", retryAfter(input), wait);
    if (Milliseconds{input.flowQueuedMs / flowRate(input)} >= input.service->maxQueueTime)
        return refuse("queue-full", retryAfter(input), wait);
    if (input.queuedTasks + input.taskCount > input.maxQueuedTasks)
        return refuse("too-many-queued", retryAfter(input), wait);
    return {true, {}, {}, wait};
}

} // namespace Camphor
