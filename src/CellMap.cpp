#include "CellMap.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Camphor {

namespace {

/// One entry with an eighth of a core serves about this many instances with headroom for bursts.
/// Larger cells pack tasks better.
constexpr double InstancesPerCell = 20.0;

} // namespace

std::uint32_t cellOf(const std::string &instanceId, std::uint32_t cellCount)
{
    return static_cast<std::uint32_t>(XXH3_64bits(instanceId.data(), instanceId.size())
                                      % std::max(1U, cellCount));
}

std::uint32_t cellCountFor(std::size_t instances)
{
    const auto count = std::lround(static_cast<double>(instances) / InstancesPerCell);
    return static_cast<std::uint32_t>(std::max(1L, count));
}

CellMap::CellMap(const std::map<std::string, CellGrant> &grants)
{
    std::map<std::string, CellGrant> newest;
    for (const auto &[name, grant] : grants) {
        auto &known = newest[grant.domain];
        if (grant.token > known.token)
            known = grant;
    }
    for (const auto &[name, grant] : grants) {
        if (grant.cellCount == newest[grant.domain].cellCount)
            m_domains[grant.domain].push_back(grant);
    }
}

const CellGrant *CellMap::grantOf(const InstanceReport &report) const
{
    const auto &domainCells = cells(report.domain);
    if (domainCells.empty())
        return nullptr;
    const auto index = cellOf(report.key.id, domainCells.front().cellCount);
    const auto it = std::ranges::find(domainCells, index, &CellGrant::cell);
    return it == domainCells.end() ? nullptr : &*it;
}

const std::vector<CellGrant> &CellMap::cells(const std::string &domain) const
{
    static const std::vector<CellGrant> None;
    const auto it = m_domains.find(domain);
    return it == m_domains.end() ? None : it->second;
}

} // namespace Camphor
