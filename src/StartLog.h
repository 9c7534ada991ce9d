/// @file The log of task starts that stand-in targets write. The invariant check joins it with the
/// responses that the callers received.
#pragma once

#include "Result.h"

#include <fstream>
#include <string>
#include <vector>

namespace Camphor {

/// One start of a task on a target.
struct StartRecord
{
    double timeMs = 0; ///< Wall clock; comparable with the times of callers on the same machine.
    std::string target;
    std::string attempt;
    std::string task; ///< The task header of the call.
    std::string id; ///< The id in the input of the task, chosen by the caller.
    std::string service;
    double leavingMs = 0; ///< Time since the target announced that it leaves; 0 if it did not.

    auto operator<=>(const StartRecord &) const = default;
};

/// Appends starts to a file, one JSON line each. Each line is written to the kernel before the task
/// runs, so that no line is lost if the process is killed.
class StartLog
{
public:
    /// Opens a file for appending. With an empty path, the log discards all records.
    [[nodiscard]] static Result<StartLog> open(const std::string &path);

    void append(const StartRecord &record);

private:
    std::ofstream m_file;
};

/// Reads a start log. A last line that cannot be parsed is skipped, because the writing process may
/// have been killed; any other such line is an error.
[[nodiscard]] Result<std::vector<StartRecord>> readStartLog(const std::string &path);

} // namespace Camphor
