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

/// Order of work inside one flow's share. It never takes from another flow's share.
enum class Urgency : std::uint8_t { Low, Normal, High };

[[nodiscard]] const char *urgencyName(Urgency urgency);
[[nodiscard]] std::optional<Urgency> parseUrgency(std::string_view text);

/// A service that another service needs.
struct DependencyDeclaration
{
    std::string service;
    /// A service is refused early while a required dependency has no usable target.
    bool isRequired = true;

    auto operator<=>(const DependencyDeclaration &) const = default;
};

/// A service that callers can ask for.
struct ServiceDeclaration
{
    std::string name;
    std::string pool = "default"; ///< Services of one pool share targets and slots.
    std::vector<DependencyDeclaration> dependsOn;
    double share = 1.0; ///< Weight against the other services of its pool.
    Milliseconds runTime{200}; ///< Expected run time; only the prior for learning.
    Milliseconds deadline{10'000}; ///< For requests that state none.
    bool isRepeatable = false; ///< For requests that do not say.
    Urgency urgency = Urgency::Normal; ///< For requests that state none.
    long maxTasksPerJob = 256;
    Milliseconds maxQueueTime{5'000}; ///< Bound of each flow's queue, as an expected wait.

    auto operator<=>(const ServiceDeclaration &) const = default;
};

/// A team of callers.
struct TeamDeclaration
{
    std::string name;
    double share = 1.0; ///< Weight against the other teams inside a service.
    long quotaSlots = 0; ///< Most slots in use at once over all entries of a domain; 0 is no quota.

    auto operator<=>(const TeamDeclaration &) const = default;
};

/// A failure domain and how far away it is.
struct FailureDomainDeclaration
{
    std::string name;
    Milliseconds oneWayDelay{0.5}; ///< To the other failure domains.

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

/// How long the ledgers remember.
struct RetentionDeclaration
{
    Milliseconds claimWindow{900'000}; ///< A claim is never forgotten earlier.
    Milliseconds answerWindow{900'000}; ///< An answer may go earlier because of maxAnswerBytes.
    long maxAnswerBytes = 256L * 1024 * 1024; ///< For each ledger.
    long maxClaims = 2'000'000; ///< For each ledger; more are refused as not run.

    auto operator<=>(const RetentionDeclaration &) const = default;
};

/// A whole, valid declaration. Made only by parse(), which checks it.
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

/// A declaration's text together with its version, which only grows.
struct VersionedDeclaration
{
    std::uint64_t version = 0; ///< 0 means that none was ever applied.
    std::string text;

    auto operator<=>(const VersionedDeclaration &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, text);
    }
};

} // namespace Camphor
