#include "PoolRules.h"

#include <algorithm>

namespace Camphor {

PoolRules::PoolRules(std::string pool, const Declaration &declaration)
    : m_pool(std::move(pool))
{
    m_teams.push_back({"(other)", 1.0, 0});
    apply(declaration);
}

void PoolRules::apply(const Declaration &declaration)
{
    for (auto &it : m_services)
        it.declared.reset();
    for (const auto &it : declaration.services()) {
        if (it.pool != m_pool)
            continue;
        const auto [entry, isNew] = m_serviceIndex.try_emplace(it.name, serviceCount());
        if (isNew)
            m_services.push_back({it.name, {}});
        m_services[entry->second].declared = it;
    }
    for (auto &it : m_teams) {
        const auto *declared = declaration.team(it.name);
        it = declared != nullptr ? *declared : TeamDeclaration{it.name, 1.0, 0};
    }
    m_declaredTeams = declaration.teams();
    m_domains = declaration.domains();
    for (const auto &it : m_declaredTeams)
        (void)internTeam(it.name);
}

std::optional<std::uint32_t> PoolRules::service(std::string_view name) const
{
    const auto it = m_serviceIndex.find(name);
    return it == m_serviceIndex.end() || !m_services[it->second].declared
        ? std::nullopt
        : std::optional(it->second);
}

const ServiceDeclaration *PoolRules::declared(std::uint32_t service) const
{
    return service < m_services.size() && m_services[service].declared
        ? &*m_services[service].declared
        : nullptr;
}

std::uint32_t PoolRules::internTeam(const std::string &name)
{
    const auto it = m_teamIndex.find(name);
    if (it != m_teamIndex.end())
        return it->second;
    const auto declared = std::ranges::find(m_declaredTeams, name, &TeamDeclaration::name);
    const auto isDeclared = declared != m_declaredTeams.end();
    if (!isDeclared && m_teams.size() >= MaxTeams)
        return 0;
    m_teams.push_back(isDeclared ? *declared : TeamDeclaration{name, 1.0, 0});
    const auto index = teamCount() - 1;
    m_teamIndex.emplace(name, index);
    return index;
}

std::optional<std::uint32_t> PoolRules::team(std::string_view name) const
{
    const auto it = m_teamIndex.find(name);
    if (it != m_teamIndex.end())
        return it->second;
    return m_teams.size() < MaxTeams ? std::nullopt : std::optional(0U);
}

Milliseconds PoolRules::delayTo(const std::string &domain) const
{
    const auto it = std::ranges::find(m_domains, domain, &FailureDomainDeclaration::name);
    return it == m_domains.end() ? FailureDomainDeclaration{}.oneWayDelay : it->oneWayDelay;
}

} // namespace Camphor
