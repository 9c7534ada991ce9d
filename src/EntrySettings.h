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
    Address listen; ///< HTTP address for callers and target announcements.
    Address rpc; ///< TCP address for RPCs between entries.
    Address digest; ///< UDP address for digests.

    auto operator<=>(const PeerSettings &) const = default;
};

/// Limits on what an entry accepts.
struct EntryLimits
{
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::size_t maxConnections = 4096;
    std::size_t maxQueuedTasks = 100'000;

    auto operator<=>(const EntryLimits &) const = default;
};

/// Timing of a graceful shutdown.
struct DrainSettings
{
    /// Time from /readyz failing until the entry stops accepting requests.
    Milliseconds readiness{1'000};
    Milliseconds limit{30'000}; ///< Longest time to finish the accepted work.

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
    std::string dataFolder; ///< Empty to store nothing on disk.
    std::vector<Address> control;
    std::string declarationFile; ///< Used instead of a control group.
    std::vector<PeerSettings> peers;
    std::string placement = "owner";
    std::string queue = "fair";
    EntryLimits limits;
    DrainSettings drain;
    LogSettings log;

    auto operator<=>(const EntrySettings &) const = default;

    /// Reads and validates a file. An error names file, line, column, key and a fix.
    [[nodiscard]] static Result<EntrySettings> load(const std::string &path);
};

} // namespace Camphor
