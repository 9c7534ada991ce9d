#include "JobAssembler.h"

#include <algorithm>
#include <utility>

namespace Camphor {

JobAssembler::JobAssembler(std::uint32_t taskCount, bool isJob)
    : m_isJob(isJob)
    , m_ends(taskCount)
{
}

JobAssembler::Step JobAssembler::record(std::uint32_t index, TaskEnd end)
{
    const std::lock_guard lock(m_mutex);
    Step step;
    if (m_isReleased || index >= m_ends.size() || m_ends[index])
        return step;
    m_ends[index] = std::move(end);
    const auto &stored = *m_ends[index];
    ++m_done;
    m_started += std::min(stored.started, 1U);
    if (stored.outcome != Outcome::Completed && m_firstFailure == nullptr) {
        m_firstFailure = &stored;
        step.shouldCancelRest = m_done < m_ends.size();
    }
    if (m_done == m_ends.size()) {
        m_isReleased = true;
        step.answer = assemble();
    }
    return step;
}

std::optional<JobAnswer> JobAssembler::abandon(const std::string &reason)
{
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_isReleased, true))
        return std::nullopt;
    // Each task without an end may be running at a target.
    const auto started = m_started + static_cast<std::uint32_t>(m_ends.size()) - m_done;
    return JobAnswer{m_isJob ? Outcome::Failed : Outcome::Unknown, reason, started, {}, 0, {}};
}

std::uint32_t JobAssembler::tasksDone() const
{
    const std::lock_guard lock(m_mutex);
    return m_done;
}

JobAnswer JobAssembler::assemble()
{
    if (m_firstFailure != nullptr)
        return assembleFailed();
    JobAnswer answer;
    answer.outcome = Outcome::Completed;
    answer.started = m_started;
    if (!m_isJob) {
        answer.body = std::move(m_ends.front()->body);
        return answer;
    }
    answer.body = "[";
    for (const auto &end : m_ends)
        answer.body += (answer.body.size() > 1 ? "," : "") + bodyAsJson(end->body);
    answer.body += "]";
    return answer;
}

JobAnswer JobAssembler::assembleFailed() const
{
    // A job of which something was started has failed as a whole, whatever became of each task.
    const bool isJobFailure = m_isJob && m_started > 0;
    const auto outcome = isJobFailure ? Outcome::Failed : m_firstFailure->outcome;
    return JobAnswer{outcome, m_firstFailure->reason, m_started, {}, 0, {}};
}

} // namespace Camphor
