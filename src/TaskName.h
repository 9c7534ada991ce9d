/// @file Names of tasks: "JOB.OCCURRENCE.STEP.INDEX".
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Camphor {

/// The position of a task within its job.
struct TaskPlace
{
    std::string jobId;
    std::size_t step = 0;
    std::size_t index = 0;

    auto operator<=>(const TaskPlace &) const = default;
};

/// The name of a task of a job that runs once.
[[nodiscard]] std::string taskName(const std::string &jobId, std::size_t step, std::size_t index);

/// What the names of all tasks of a step begin with.
[[nodiscard]] std::string taskNamePrefix(const std::string &jobId, std::size_t step);

/// Parses a task name. Returns nothing if the name is not a valid task name.
[[nodiscard]] std::optional<TaskPlace> parseTaskName(std::string_view name);

} // namespace Camphor
