#include "Declaration.h"

#include "DeclarationValidator.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace Camphor {

namespace {

constexpr double MaxDurationMs = 86'400'000.0;
constexpr double MaxShare = 1e6;

/// Bound on the text of a declaration, well below the limits of a frame and of an HTTP body.
constexpr std::size_t MaxDeclarationBytes = std::size_t{4} * 1024 * 1024;

Milliseconds parseDuration(SettingsNode &node, std::string_view key, Milliseconds defaultValue,
                           double min)
{
    return Milliseconds{node.number(key, defaultValue.count(), min, MaxDurationMs)};
}

Urgency parseServiceUrgency(SettingsNode &node)
{
    return *parseUrgency(node.choice("urgency", "normal", {"low", "normal", "high"}));
}

std::vector<DependencyDeclaration> parseDependencies(SettingsNode &node)
{
    std::vector<DependencyDeclaration> dependencies;
    for (auto &item : node.list("dependsOn")) {
        dependencies.push_back({item.string("service"), item.boolean("required", true)});
        item.checkNoUnknownKeys();
    }
    return dependencies;
}

ServiceDeclaration parseService(SettingsNode &node)
{
    const ServiceDeclaration defaults;
    ServiceDeclaration service;
    service.name = node.string("name");
    service.pool = node.string("pool", defaults.pool);
    service.dependsOn = parseDependencies(node);
    service.share = node.number("share", defaults.share, 0.001, MaxShare);
    service.runTime = parseDuration(node, "runTimeMs", defaults.runTime, 0.1);
    service.deadline = parseDuration(node, "deadlineMs", defaults.deadline, 1);
    service.isRepeatable = node.boolean("repeatable", defaults.isRepeatable);
    service.urgency = parseServiceUrgency(node);
    service.maxTasksPerJob = node.integer("maxTasksPerJob", defaults.maxTasksPerJob, 1, 65536);
    // A queue bound above the deadline has no effect, so only an explicit one is an error.
    service.maxQueueTime =
        parseDuration(node, "maxQueueTimeMs", std::min(defaults.maxQueueTime, service.deadline), 1);
    node.checkNoUnknownKeys();
    return service;
}

TeamDeclaration parseTeam(SettingsNode &node)
{
    const TeamDeclaration defaults;
    TeamDeclaration team;
    team.name = node.string("name");
    team.share = node.number("share", defaults.share, 0.001, MaxShare);
    team.quotaSlots = node.integer("quotaSlots", defaults.quotaSlots, 0, 1'000'000);
    node.checkNoUnknownKeys();
    return team;
}

FailureDomainDeclaration parseDomain(SettingsNode &node)
{
    FailureDomainDeclaration domain;
    domain.name = node.string("name");
    domain.oneWayDelay = parseDuration(node, "oneWayDelayMs", domain.oneWayDelay, 0);
    node.checkNoUnknownKeys();
    return domain;
}

LedgerDeclaration parseLedger(SettingsNode &node)
{
    LedgerDeclaration ledger;
    ledger.instance = node.string("instance");
    ledger.domain = node.string("domain");
    const auto text = node.string("address");
    const auto address = Address::parse(text);
    if (!address) {
        throw UserError(node.errorAt("address", "'" + text + "' is not an address",
                                     "write IP:PORT, such as 10.1.0.11:7400"));
    }
    ledger.address = address.value();
    node.checkNoUnknownKeys();
    return ledger;
}

RetentionDeclaration parseRetention(SettingsNode &node)
{
    const RetentionDeclaration defaults;
    RetentionDeclaration retention;
    retention.claimWindow = parseDuration(node, "claimMs", defaults.claimWindow, 1'000);
    retention.responseWindow = parseDuration(
        node, "answerMs", std::min(defaults.responseWindow, retention.claimWindow), 0);
    retention.maxResponseBytes =
        node.integer("maxAnswerBytes", defaults.maxResponseBytes, 0, 1L << 40);
    retention.maxClaims = node.integer("maxClaims", defaults.maxClaims, 1, 1'000'000'000);
    node.checkNoUnknownKeys();
    return retention;
}

/// Parses the items of a list and records the location of each.
template <typename T>
std::vector<Located<T>> parseList(SettingsNode &root, std::string_view key,
                                  T (*parseItem)(SettingsNode &))
{
    std::vector<Located<T>> items;
    for (auto &node : root.list(key)) {
        auto value = parseItem(node);
        items.push_back({std::move(value), node});
    }
    return items;
}

template <typename T>
std::vector<T> valuesOf(const std::vector<Located<T>> &items)
{
    std::vector<T> values;
    std::ranges::transform(items, std::back_inserter(values), &Located<T>::value);
    return values;
}

DeclarationParts parseParts(SettingsNode &root)
{
    auto services = parseList(root, "services", parseService);
    auto teams = parseList(root, "teams", parseTeam);
    auto domains = parseList(root, "domains", parseDomain);
    auto ledgers = parseList(root, "ledgers", parseLedger);
    auto node = root.child("retention");
    auto retention = parseRetention(node);
    root.checkNoUnknownKeys();
    return {std::move(services), std::move(teams),  std::move(domains),
            std::move(ledgers),  {retention, node}, root};
}

} // namespace

const char *urgencyName(Urgency urgency)
{
    switch (urgency) {
    case Urgency::Low:
        return "low";
    case Urgency::Normal:
        return "normal";
    case Urgency::High:
        return "high";
    }
    return "normal";
}

std::optional<Urgency> parseUrgency(std::string_view text)
{
    constexpr std::array All{Urgency::Low, Urgency::Normal, Urgency::High};
    const auto it =
        std::ranges::find_if(All, [text](Urgency it) { return text == urgencyName(it); });
    return it == All.end() ? std::nullopt : std::optional(*it);
}

Result<Declaration> Declaration::parse(const std::string &name, const std::string &text)
{
    if (text.size() > MaxDeclarationBytes) {
        return Error{ErrorCode::InvalidDeclaration,
                     name + ": the text has more than " + std::to_string(MaxDeclarationBytes)
                         + " bytes. Fix: remove comments or split the deployment"};
    }
    auto document = SettingsNode::parse(name, text);
    if (!document)
        return Error{ErrorCode::InvalidDeclaration, document.error().message};
    try {
        auto root = std::move(document).value();
        const auto parts = parseParts(root);
        DeclarationValidator::check(parts);
        Declaration declaration;
        declaration.m_services = valuesOf(parts.services);
        declaration.m_teams = valuesOf(parts.teams);
        declaration.m_domains = valuesOf(parts.domains);
        declaration.m_ledgers = valuesOf(parts.ledgers);
        declaration.m_retention = parts.retention.value;
        return declaration;
    } catch (const UserError &e) {
        return Error{ErrorCode::InvalidDeclaration, e.error().message};
    }
}

const ServiceDeclaration *Declaration::service(std::string_view name) const
{
    const auto it = std::ranges::find(m_services, name, &ServiceDeclaration::name);
    return it == m_services.end() ? nullptr : &*it;
}

const TeamDeclaration *Declaration::team(std::string_view name) const
{
    const auto it = std::ranges::find(m_teams, name, &TeamDeclaration::name);
    return it == m_teams.end() ? nullptr : &*it;
}

} // namespace Camphor
