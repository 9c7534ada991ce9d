/// @file Assigns cells to entries. The holder of a cell gives orders to its instances.
#pragma once

#include "ControlState.h"
#include "FleetProtocol.h"
#include "Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Camphor {

/// The leader's latest information about an entry.
struct EntryContact
{
    EntryIdentity entry;
    Milliseconds lastContactAt;
    /// Holders in its domain with which it had recent contact.
    std::vector<std::string> reachableHolders;
    bool isLeaving = false;
    std::uint32_t instances = 0; ///< Number of known instances in its domain.
    Milliseconds instancesSince; ///< Since when this number has not changed.
    double cpuShare = 1.0; ///< Processor of the entry, in cores.
};

struct CellAssignmentSettings
{
    /// A holder without contact for this long is replaced by another entry of its domain. Several
    /// polls long, so that a single lost packet moves no cell.
    Milliseconds holderTimeout{900};
    /// Time for entries to contact a new leader before it replaces unreachable holders.
    Milliseconds newLeaderGrace{1'500};
    /// Time for instances to report before a domain is first divided into cells.
    Milliseconds firstGrantDelay{2'500};
    /// A first division also waits until the number of instances has not changed for this long,
    /// because a domain is divided again only when it has doubled. Longer than a heartbeat
    /// interval.
    Milliseconds instanceSettleTime{1'700};
    /// Upper bound on the wait for a first division.
    Milliseconds maxFirstGrantDelay{7'000};
    /// A domain whose own entries are all unreachable is probably partitioned and continues by
    /// itself; entries of other domains take over only after this time.
    Milliseconds foreignTakeoverDelay{10'000};

    auto operator<=>(const CellAssignmentSettings &) const = default;
};

/// Returns the next change of a holder, if any is due. Performs no I/O.
/// @param grants by cell name.
/// @param leaderSince when this leader began to receive contacts of entries.
[[nodiscard]] std::optional<GrantCellCommand>
nextGrant(const std::vector<std::string> &domains,
          const std::map<std::string, EntryContact> &contacts,
          const std::map<std::string, CellGrant> &grants, Milliseconds leaderSince,
          Milliseconds now, const CellAssignmentSettings &settings);

/// Returns all changes of holders that are due, at most one for each cell, so that a restart of all
/// entries takes one synced write instead of one for each cell. Parameters as above.
[[nodiscard]] std::vector<GrantCellCommand>
dueGrants(const std::vector<std::string> &domains,
          const std::map<std::string, EntryContact> &contacts,
          const std::map<std::string, CellGrant> &grants, Milliseconds leaderSince,
          Milliseconds now, const CellAssignmentSettings &settings);

} // namespace Camphor
