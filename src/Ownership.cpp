#include "Ownership.h"

#include <xxhash.h>

#include <algorithm>

namespace Camphor {

Ownership Ownership::make(std::vector<std::string> instances)
{
    Ownership ownership;
    std::ranges::sort(instances);
    const auto duplicates = std::ranges::unique(instances);
    instances.erase(duplicates.begin(), duplicates.end());
    ownership.m_instances = std::move(instances);
    for (const auto &it : ownership.m_instances)
        ownership.m_seeds.push_back(XXH3_64bits(it.data(), it.size()));
    return ownership;
}

const std::string &Ownership::owner(std::string_view targetId) const
{
    static const std::string NoOwner;
    const std::string *best = &NoOwner;
    std::uint64_t bestWeight = 0;
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        const auto weight = XXH3_64bits_withSeed(targetId.data(), targetId.size(), m_seeds[n]);
        if (best == &NoOwner || weight > bestWeight) {
            best = &m_instances[n];
            bestWeight = weight;
        }
    }
    return *best;
}

} // namespace Camphor
