/// @file Settings of a control instance.
#pragma once

#include "Log.h"
#include "RaftCore.h"
#include "Settings.h"

#include <string>
#include <vector>

namespace Camphor {

/// The content of the settings file of camphorspindle-control.
struct ControlSettings
{
    std::string instance;
    std::string cluster;
    Address listen;
    Address operatorListen;
    std::string token; ///< Read from tokenFile.
    std::string dataFolder;
    std::vector<RaftMember> members; ///< Members of a new group. Later the configuration in the log
                                     ///< applies.
    LogSettings log;
    Milliseconds heartbeat = RaftSettings{}.heartbeat;
    Milliseconds electionTimeout = RaftSettings{}.electionTimeout;
    Milliseconds startElectionTimeout = RaftSettings{}.startElectionTimeout;

    /// Reads a settings file. Throws UserError with file, line, column, key and fix.
    [[nodiscard]] static ControlSettings load(const std::string &path);
    /// Reads a token, which is the first line of a file. Throws UserError if there is none.
    [[nodiscard]] static std::string readToken(const std::string &path);
};

} // namespace Camphor
