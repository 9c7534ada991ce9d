/// @file Assembles the answer of one request in one place and releases it only when it is whole.
#pragma once

#include "Problem.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Camphor {

/// The end of one task.
struct TaskEnd
{
    Outcome outcome = Outcome::Unknown;
    std::string body; ///< Only with Outcome::Completed.
    std::string reason;
    std::uint32_t started = 0; ///< Sends that were not proven to have started nothing.
    Milliseconds runTime;

    auto operator<=>(const TaskEnd &) const = default;
};

/// Collects the ends of all tasks of a request or a job. Thread-safe.
class JobAssembler
{
public:
    /// What the caller of record() has to do.
    struct Step
    {
        bool shouldCancelRest = false; ///< Set once, by the first task that has no result.
        std::optional<JobAnswer> answer; ///< Set once, by the last task.
    };

    JobAssembler(std::uint32_t taskCount, bool isJob);

    /// Takes the end of one task. A second end of the same task is ignored.
    [[nodiscard]] Step record(std::uint32_t index, TaskEnd end);
    /// Ends the request while tasks may still run; nothing when it has already ended.
    [[nodiscard]] std::optional<JobAnswer> abandon(const std::string &reason);

    [[nodiscard]] std::uint32_t tasksDone() const;

private:
    [[nodiscard]] JobAnswer assemble();
    [[nodiscard]] JobAnswer assembleFailed() const;

    const bool m_isJob;
    mutable std::mutex m_mutex;
    std::vector<std::optional<TaskEnd>> m_ends;
    std::uint32_t m_done = 0;
    std::uint32_t m_started = 0;
    bool m_isReleased = false;
    const TaskEnd *m_firstFailure = nullptr;
};

} // namespace Camphor
