/// @file The log of task starts that stand-in targets keep. The invariant check joins it with what
/// the callers saw.
#pragma once

#include "Result.h"

#include <fstream>
#include <string>
#include <vector>

namespace Camphor {

/// One real start of a task on a target.
struct StartRecord
{
    double timeMs = 0; ///< Wall clock, to compare with the callers' times on the same machine.
    std::string target;
    std::string attempt;
    std::string task; ///< The task header of the call.
    std::string id; ///< The id in the task's input, chosen by the caller.
    std::string service;
    double leavingMs = 0; ///< Time since the target announced that it leaves; 0 if it did not.

    auto operator<=>(const StartRecord &) const = default;
};

/// Appends starts to a file, one JSON line each. A line is handed to the kernel before the task
/// runs, so a killed process loses none.
class StartLog
{
public:
    /// Opens a file for appending. An empty path makes a log that drops everything.
    [[nodiscard]] static Result<StartLog> open(const std::string &path);

    void append(const StartRecord &record);

private:
    std::ofstream m_file;
};

/// Reads a start log. An unreadable last line is skipped, because the process that wrote it may
/// have been killed; any other unreadable line is an error.
[[nodiscard]] Result<std::vector<StartRecord>> readStartLog(const std::string &path);

} // namespace Camphor
