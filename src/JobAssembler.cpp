#include "JobAssembler.h"

#include <algorithm>
#include <utility>

namespace Camphor {

JobAssembler::JobAssembler(std::uint32_t taskCount, bool isJob)
    : m_isJob(isJob)
    , m_ends(taskCount)
{
}

JobAssembler::RecordResult JobAssembler::record(std::uint32_t index, TaskEnd end)
{
    const std::lock_guard lock(m_mutex);
    RecordResult result;
    if (m_isComplete || index >= m_ends.size() || m_ends[index])
        return result;
    m_ends[index] = std::move(end);
    const auto &recorded = *m_ends[index];
    ++m_endedTasks;
    m_startedTasks += std::min(recorded.started, 1U);
    if (recorded.outcome != Outcome::Completed && m_firstFailure == nullptr) {
        m_firstFailure = &recorded;
        result.shouldCancelRest = m_endedTasks < m_ends.size();
    }
    if (m_endedTasks == m_ends.size()) {
        m_isComplete = true;
        result.response = assemble();
    }
    return result;
}

std::optional<JobResponse> JobAssembler::abandon(const std::string &reason)
{
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_isComplete, true))
        return std::nullopt;
    // Every task without an end may still be running at a target.
    const auto started = m_startedTasks + static_cast<std::uint32_t>(m_ends.size()) - m_endedTasks;
    return JobResponse{m_isJob ? Outcome::Failed : Outcome::Unknown, reason, started, {}, 0, {}};
}

std::uint32_t JobAssembler::tasksDone() const
{
    const std::lock_guard lock(m_mutex);
    return m_endedTasks;
}

JobResponse JobAssembler::assemble()
{
    if (m_firstFailure != nullptr)
        return assembleFailed();
    JobResponse response;
    response.outcome = Outcome::Completed;
    response.started = m_startedTasks;
    if (!m_isJob) {
        response.body = std::move(m_ends.front()->body);
        return response;
    }
    response.body = "[";
    for (const auto &end : m_ends)
        response.body += (response.body.size() > 1 ? "," : "") + bodyAsJson(end->body);
    response.body += "]";
    return response;
}

JobResponse JobAssembler::assembleFailed() const
{
    // A job with any started task has failed as a whole, whatever the outcomes of its tasks.
    const bool isJobFailure = m_isJob && m_startedTasks > 0;
    const auto outcome = isJobFailure ? Outcome::Failed : m_firstFailure->outcome;
    return JobResponse{outcome, m_firstFailure->reason, m_startedTasks, {}, 0, {}};
}

} // namespace Camphor
