/// @file The operators' declaration: services, dependencies, teams, failure domains and ledgers.
#pragma once

#include "Result.h"
#include "Settings.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Camphor {

/// Priority of work within the share of one flow. It takes no capacity from the shares of other
/// flows.
enum class Urgency : std::uint8_t { Low, Normal, High };

[[nodiscard]] const char *urgencyName(Urgency urgency);
[[nodiscard]] std::optional<Urgency> parseUrgency(std::string_view text);

/// A dependency of a service on another service.
struct DependencyDeclaration
{
    std::string service;
    /// Requests for a service are rejected early while a required dependency has no usable target.
    bool isRequired = true;

    auto operator<=>(const DependencyDeclaration &) const = default;
};

/// A service that callers can request.
struct ServiceDeclaration
{
    std::string name;
    std::string pool = "default"; ///< Services in the same pool share targets and slots.
    std::vector<DependencyDeclaration> dependsOn;
    double share = 1.0; ///< Weight relative to the other services of its pool.
    Milliseconds runTime{200}; ///< Expected run time; only the initial estimate, before run times
                               ///< have been measured.
    Milliseconds deadline{10'000}; ///< Applies to requests that state none.
    bool isRepeatable = false; ///< Whether a task is idempotent; applies to requests that do not
                               ///< state it.
    Urgency urgency = Urgency::Normal; ///< Applies to requests that state none.
    long maxTasksPerJob = 256;
    Milliseconds maxQueueTime{5'000}; ///< Bound on each flow's queue, as an expected waiting time.

    auto operator<=>(const ServiceDeclaration &) const = default;
};

/// A team of callers.
struct TeamDeclaration
{
    std::string name;
    double share = 1.0; ///< Weight relative to the other teams within a service.
    long quotaSlots = 0; ///< Maximum number of slots in use at once over all entries of a domain; 0
                         ///< for no quota.

    auto operator<=>(const TeamDeclaration &) const = default;
};

/// A failure domain and its network distance.
struct FailureDomainDeclaration
{
    std::string name;
    Milliseconds oneWayDelay{0.5}; ///< Network delay to the other failure domains.

    auto operator<=>(const FailureDomainDeclaration &) const = default;
};

/// One replica of a failure domain's submission ledger.
struct LedgerDeclaration
{
    std::string instance;
    std::string domain;
    Address address;

    auto operator<=>(const LedgerDeclaration &) const = default;
};

/// How long the ledgers retain claims and responses.
struct RetentionDeclaration
{
    Milliseconds claimWindow{900'000}; ///< Minimum retention period of a claim.
    Milliseconds responseWindow{900'000}; ///< Retention period of a response; it may be evicted
                                          ///< earlier because of maxResponseBytes.
    long maxResponseBytes = 256L * 1024 * 1024; ///< Bound on the stored responses of each ledger.
    long maxClaims = 2'000'000; ///< Bound for each ledger; further claims are rejected as not run.

    auto operator<=>(const RetentionDeclaration &) const = default;
};

/// A complete, valid declaration. Only parse() creates one, after validation.
class Declaration
{
public:
    /// Parses and validates a text. @param name the file name for error messages.
    [[nodiscard]] static Result<Declaration> parse(const std::string &name,
                                                   const std::string &text);

    [[nodiscard]] const std::vector<ServiceDeclaration> &services() const { return m_services; }
    [[nodiscard]] const std::vector<TeamDeclaration> &teams() const { return m_teams; }
    [[nodiscard]] const std::vector<FailureDomainDeclaration> &domains() const { return m_domains; }
    [[nodiscard]] const std::vector<LedgerDeclaration> &ledgers() const { return m_ledgers; }
    [[nodiscard]] const RetentionDeclaration &retention() const { return m_retention; }

    /// A service by name, or nullptr.
    [[nodiscard]] const ServiceDeclaration *service(std::string_view name) const;
    /// A team by name, or nullptr. Undeclared teams have share 1 and no quota.
    [[nodiscard]] const TeamDeclaration *team(std::string_view name) const;

    auto operator<=>(const Declaration &) const = default;

private:
    Declaration() = default;

    std::vector<ServiceDeclaration> m_services;
    std::vector<TeamDeclaration> m_teams;
    std::vector<FailureDomainDeclaration> m_domains;
    std::vector<LedgerDeclaration> m_ledgers;
    RetentionDeclaration m_retention;
};

/// The text of a declaration and its version. Versions only increase.
struct VersionedDeclaration
{
    std::uint64_t version = 0; ///< 0 if no declaration was ever applied.
    std::string text;

    auto operator<=>(const VersionedDeclaration &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, text);
    }
};

} // namespace Camphor
