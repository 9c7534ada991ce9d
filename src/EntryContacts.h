/// @file The entries that a control instance is in contact with.
#pragma once

#include "CellAssignment.h"

#include <cstdint>
#include <map>
#include <string>

namespace Camphor {

/// Tracks the latest contact of each entry. Performs no I/O.
class EntryContacts
{
public:
    /// Result of update().
    enum class Change : std::uint8_t {
        None,
        NewProcess, ///< The first contact of this process of the entry.
        Superseded, ///< A later process of the entry is in contact; nothing was changed.
    };

    /// Records a contact. Incarnations are compared only while the known process is in contact,
    /// because the time of day that they are made from can go back.
    Change update(const EntryContact &contact);
    /// Removes entries that have had no contact for long, such as replaced machines.
    void evictSilent(Milliseconds now);

    /// The known entries, by name.
    [[nodiscard]] const std::map<std::string, EntryContact> &entries() const { return m_entries; }

private:
    std::map<std::string, EntryContact> m_entries;
};

} // namespace Camphor
