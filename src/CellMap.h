/// @file Maps instances to cells, and cells to their holders.
#pragma once

#include "FleetTypes.h"

#include <map>
#include <string>
#include <vector>

namespace Camphor {

/// The index of an instance's cell in a domain of cellCount cells. Depends on the arguments only,
/// so that all entries agree on it.
[[nodiscard]] std::uint32_t cellOf(const std::string &instanceId, std::uint32_t cellCount);

/// The number of cells for a domain with that many instances.
[[nodiscard]] std::uint32_t cellCountFor(std::size_t instances);

/// The cells of all domains, in the newest division of each domain. Immutable.
class CellMap
{
public:
    /// @param grants by cell name.
    explicit CellMap(const std::map<std::string, CellGrant> &grants = {});

    /// The grant of an instance's cell, or null if the cell has no holder.
    [[nodiscard]] const CellGrant *grantOf(const InstanceReport &report) const;
    /// The cells of a domain.
    [[nodiscard]] const std::vector<CellGrant> &cells(const std::string &domain) const;
    [[nodiscard]] const std::map<std::string, std::vector<CellGrant>> &domains() const
    {
        return m_domains;
    }

private:
    std::map<std::string, std::vector<CellGrant>> m_domains;
};

} // namespace Camphor
