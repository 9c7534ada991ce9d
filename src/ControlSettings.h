/// @file Settings of a control instance.
#pragma once

#include "Log.h"
#include "RaftCore.h"
#include "Settings.h"

#include <string>
#include <vector>

namespace Camphor {

/// What the settings file of camphorspindle-control says.
struct ControlSettings
{
    std::string instance;
    std::string cluster;
    Address listen;
    Address operatorListen;
    std::string token; ///< Read from tokenFile.
    std::string dataFolder;
    std::vector<RaftMember> members; ///< Of a new group; later the log says who is a member.
    LogSettings log;
    Milliseconds heartbeat = RaftSettings{}.heartbeat;
    Milliseconds electionTimeout = RaftSettings{}.electionTimeout;
    Milliseconds startElectionTimeout = RaftSettings{}.startElectionTimeout;

    /// Reads a file. Throws UserError with file, line, column, key and fix.
    [[nodiscard]] static ControlSettings load(const std::string &path);
    /// Reads a token: the first line of a file. Throws UserError when there is none.
    [[nodiscard]] static std::string readToken(const std::string &path);
};

} // namespace Camphor
