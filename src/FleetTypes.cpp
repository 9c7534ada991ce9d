#include "FleetTypes.h"

#include <algorithm>
#include <string_view>

namespace Camphor {

const QueueRule *FleetConfiguration::route(std::string_view host, std::string_view path) const
{
    const QueueRule *best = nullptr;
    for (const auto &queue : queues) {
        const bool isMatch = queue.host == host && path.starts_with(queue.pathPrefix);
        if (isMatch && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size()))
            best = &queue;
    }
    return best;
}

const QueueRule *FleetConfiguration::find(std::string_view name) const
{
    const auto it = std::ranges::find(queues, name, &QueueRule::name);
    return it == queues.end() ? nullptr : &*it;
}

const char *jobVerdictName(JobVerdict verdict)
{
    switch (verdict) {
    case JobVerdict::Completed:
        return "completed";
    case JobVerdict::Failed:
        return "failed";
    case JobVerdict::NotRun:
        return "not-run";
    case JobVerdict::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char *runEndName(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lapsed";
    case RunEnd::Broken:
        return "broken";
    }
    return "failed";
}

std::size_t memoryOf(const FleetJob &job)
{
    constexpr std::size_t BytesPerJob = 1'024;
    constexpr std::size_t BytesPerStep = 256;
    // The state of a task, its name, and the order that starts it.
    constexpr std::size_t BytesPerTask = 512;
    std::size_t bytes = BytesPerJob + job.payload.size();
    for (const auto &step : job.steps)
        bytes += BytesPerStep + step.taskCount * BytesPerTask;
    return bytes;
}

} // namespace Camphor
