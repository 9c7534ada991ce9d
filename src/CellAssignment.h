/// @file Decides which entry holds each cell, that is, gives orders to its instances.
#pragma once

#include "ControlState.h"
#include "FleetProtocol.h"
#include "Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Camphor {

/// What the leader last heard of an entry.
struct EntryContact
{
    EntryIdentity entry;
    Milliseconds heardAt;
    std::vector<std::string> heardHolders; ///< Entries of its domain that it lately heard.
    bool isLeaving = false;
    std::uint32_t instances = 0; ///< Of its domain, that it knows.
};

struct CellAssignmentSettings
{
    /// A holder that is silent for this long is replaced by another entry of its domain. A few
    /// polls long, so that one lost packet moves nothing.
    Milliseconds holderSilence{900};
    /// Time for entries to report to a new leader before it judges them.
    Milliseconds settleTime{1'500};
    /// Time for instances to report before a domain is first divided into cells.
    Milliseconds firstGrantTime{2'500};
    /// A domain whose own entries are all silent is probably cut off and goes on by itself;
    /// entries of other domains take over only after this time.
    Milliseconds foreignAfter{10'000};

    auto operator<=>(const CellAssignmentSettings &) const = default;
};

/// The next change of a holder, if any is due. Pure.
/// @param grants by cell name.
/// @param leaderSince when this leader began to listen to entries.
[[nodiscard]] std::optional<GrantCellCommand>
nextGrant(const std::vector<std::string> &domains,
          const std::map<std::string, EntryContact> &contacts,
          const std::map<std::string, CellGrant> &grants, Milliseconds leaderSince,
          Milliseconds now, const CellAssignmentSettings &settings);

/// All changes of holders that are due, one for each cell, so that a restart of all takes one
/// synced write and not one for each cell. Parameters as above.
[[nodiscard]] std::vector<GrantCellCommand>
dueGrants(const std::vector<std::string> &domains,
          const std::map<std::string, EntryContact> &contacts,
          const std::map<std::string, CellGrant> &grants, Milliseconds leaderSince,
          Milliseconds now, const CellAssignmentSettings &settings);

} // namespace Camphor
