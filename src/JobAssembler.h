/// @file Assembles the response to a request from the ends of its tasks, and releases it only when
/// it is complete.
#pragma once

#include "Problem.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Camphor {

/// How one task ended.
struct TaskEnd
{
    Outcome outcome = Outcome::Unknown;
    std::string body; ///< Only with Outcome::Completed.
    std::string reason;
    /// Number of attempts that started the task or may have started it.
    std::uint32_t started = 0;
    Milliseconds runTime;

    auto operator<=>(const TaskEnd &) const = default;
};

/// Collects the ends of all tasks of a request or job. Thread-safe.
class JobAssembler
{
public:
    /// What the caller of record() must do.
    struct RecordResult
    {
        /// True once, for the first task that ended without a result.
        bool shouldCancelRest = false;
        std::optional<JobResponse> response; ///< Set once, for the last task to end.
    };

    JobAssembler(std::uint32_t taskCount, bool isJob);

    /// Records the end of one task. A second end of the same task is ignored.
    [[nodiscard]] RecordResult record(std::uint32_t index, TaskEnd end);
    /// Ends the request while tasks may still run. @return nothing if it has already ended.
    [[nodiscard]] std::optional<JobResponse> abandon(const std::string &reason);

    [[nodiscard]] std::uint32_t tasksDone() const;

private:
    [[nodiscard]] JobResponse assemble();
    [[nodiscard]] JobResponse assembleFailed() const;

    const bool m_isJob;
    mutable std::mutex m_mutex;
    std::vector<std::optional<TaskEnd>> m_ends;
    std::uint32_t m_endedTasks = 0;
    std::uint32_t m_startedTasks = 0;
    bool m_isComplete = false;
    const TaskEnd *m_firstFailure = nullptr;
};

} // namespace Camphor
