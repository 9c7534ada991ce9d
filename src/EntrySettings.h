/// @file Settings of one entry instance.
#pragma once

#include "CommonSettings.h"
#include "Time.h"

#include <optional>
#include <string>
#include <vector>

namespace Camphor {

/// Another entry of the cluster.
struct PeerSettings
{
    std::string instance;
    std::string domain;
    Address listen; ///< Callers' HTTP and target announcements.
    Address rpc; ///< TCP, entry to entry.
    Address digest; ///< UDP.

    auto operator<=>(const PeerSettings &) const = default;
};

/// Bounds on what an entry accepts.
struct EntryLimits
{
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::size_t maxConnections = 4096;
    std::size_t maxQueuedTasks = 100'000;

    auto operator<=>(const EntryLimits &) const = default;
};

/// How an entry leaves.
struct DrainSettings
{
    Milliseconds readiness{1'000}; ///< From the failing of /readyz to the end of accepting.
    Milliseconds limit{30'000}; ///< Longest time for the work that was accepted.

    auto operator<=>(const DrainSettings &) const = default;
};

/// The settings file of camphorspindle-entry.
struct EntrySettings
{
    std::string instance;
    std::string cluster;
    std::string domain;
    Address listen;
    std::optional<Address> rpcListen;
    std::optional<Address> digestListen;
    int threads = 2;
    std::string dataFolder; ///< Empty when nothing is kept on disk.
    std::vector<Address> control;
    std::string declarationFile; ///< Used instead of a control group.
    std::vector<PeerSettings> peers;
    std::string placement = "owner";
    std::string queue = "fair";
    EntryLimits limits;
    DrainSettings drain;
    LogSettings log;

    auto operator<=>(const EntrySettings &) const = default;

    /// Reads and checks a file. The error names file, line, column, key and a fix.
    [[nodiscard]] static Result<EntrySettings> load(const std::string &path);
};

} // namespace Camphor
