/// @file The part of a declaration that concerns one pool, with small indices for services and
/// teams.
#pragma once

#include "DispatchTypes.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Camphor {

/// Maps names to indices that stay valid when the declaration changes.
class PoolRules
{
public:
    /// Limit of teams with an index of their own. Further undeclared teams share one, so that
    /// made-up team names in requests cannot use unbounded memory.
    static constexpr std::uint32_t MaxTeams = 1024;

    PoolRules(std::string pool, const Declaration &declaration);

    void apply(const Declaration &declaration);

    /// The index of a service, if it is declared and belongs to this pool.
    [[nodiscard]] std::optional<std::uint32_t> service(std::string_view name) const;
    /// The declaration of a service; null if a later declaration removed it.
    [[nodiscard]] const ServiceDeclaration *declared(std::uint32_t service) const;
    [[nodiscard]] const std::string &serviceName(std::uint32_t service) const
    {
        return m_services[service].name;
    }
    [[nodiscard]] std::uint32_t serviceCount() const
    {
        return static_cast<std::uint32_t>(m_services.size());
    }

    /// Returns the index of a team, and assigns one to a new team.
    std::uint32_t internTeam(const std::string &name);
    [[nodiscard]] std::optional<std::uint32_t> team(std::string_view name) const;
    [[nodiscard]] std::uint32_t teamCount() const
    {
        return static_cast<std::uint32_t>(m_teams.size());
    }
    [[nodiscard]] const TeamDeclaration &teamAt(std::uint32_t team) const { return m_teams[team]; }

    /// One-way network delay between this domain and another one.
    [[nodiscard]] Milliseconds delayTo(const std::string &domain) const;

private:
    struct Service
    {
        std::string name;
        std::optional<ServiceDeclaration> declared;
    };

    struct NameHash
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming): a standard name.
        std::size_t operator()(std::string_view name) const
        {
            return std::hash<std::string_view>{}(name);
        }
    };
    using NameMap = std::unordered_map<std::string, std::uint32_t, NameHash, std::equal_to<>>;

    std::string m_pool;
    std::vector<Service> m_services;
    NameMap m_serviceIndex;
    std::vector<TeamDeclaration> m_teams; ///< The first one stands for teams beyond the limit.
    NameMap m_teamIndex;
    std::vector<TeamDeclaration> m_declaredTeams;
    std::vector<FailureDomainDeclaration> m_domains;
};

} // namespace Camphor
