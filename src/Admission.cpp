#include "Admission.h"

#include <algorithm>

namespace Camphor {

namespace {

constexpr Milliseconds MinRetryAfter{100};
constexpr Milliseconds MaxRetryAfter{30'000};
/// Retry time of rejections while draining or without a usable target or dependency: one heartbeat
/// period.
constexpr Milliseconds TargetRetryAfter{1'000};

double flowRate(const AdmissionInput &input)
{
    const auto rate = input.slots * input.flowShare;
    return std::max(input.quotaSlots > 0 ? std::min(rate, input.quotaSlots) : rate, 1e-3);
}

AdmissionDecision reject(std::string reason, Milliseconds retryAfter, Milliseconds wait = {})
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
        return reject("unknown-service", {});
    if (input.taskCount == 0)
        return reject("no-tasks", {});
    if (input.taskCount > input.service->maxTasksPerJob)
        return reject("too-many-tasks", {});
    if (input.remaining <= Milliseconds{0})
        return reject("deadline-passed", {});
    if (input.remaining < input.minRunTime)
        return reject("deadline-below-run-time", {});
    if (input.isDraining)
        return reject("draining", TargetRetryAfter);
    if (input.slots <= 0)
        return reject("no-target", TargetRetryAfter);
    if (!input.missingDependency.empty())
        return reject("dependency-unavailable: " + input.missingDependency, TargetRetryAfter);
    const auto wait = expectedWait(input);
    // With a free slot, missing the deadline is likely but not certain, so the task is accepted.
    if (wait > Milliseconds{0} && wait + input.p95RunTime > input.remaining)
        return reject("deadline-too-near", retryAfter(input), wait);
    if (Milliseconds{input.flowQueuedMs / flowRate(input)} >= input.service->maxQueueTime)
        return reject("queue-full", retryAfter(input), wait);
    if (input.queuedTasks + input.taskCount > input.maxQueuedTasks)
        return reject("too-many-queued", retryAfter(input), wait);
    return {true, {}, {}, wait};
}

} // namespace Camphor
