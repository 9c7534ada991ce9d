#include "DeclarationValidator.h"

#include <algorithm>
#include <map>
#include <string>

namespace Camphor {

namespace {

/// Names are used in paths, headers, log lines and ticket keys.
constexpr std::size_t MaxNameBytes = 64;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
        || c == '_' || c == '.';
}

void checkName(const SettingsNode &node, std::string_view key, const std::string &name)
{
    if (!name.empty() && name.size() <= MaxNameBytes && std::ranges::all_of(name, isNameCharacter))
        return;
    throw UserError(node.errorAt(key, "'" + name + "' is not a name",
                                 "use 1 to " + std::to_string(MaxNameBytes)
                                     + " letters, digits, '-', '_' or '.'"));
}

/// Checks the syntax and the uniqueness of the names in one list.
template <typename T>
void checkNames(const std::vector<Located<T>> &items, std::string_view key, std::string T::*member)
{
    std::map<std::string, std::size_t> seen;
    for (const auto &[value, node] : items) {
        const auto &name = value.*member;
        checkName(node, key, name);
        if (!seen.emplace(name, seen.size()).second) {
            throw UserError(node.errorAt(key, "'" + name + "' is declared twice",
                                         "rename or remove one of the two"));
        }
    }
}

std::string joinNames(const std::vector<std::string> &names, const char *separator)
{
    std::string text;
    for (const auto &name : names)
        text += (text.empty() ? "" : separator) + name;
    return text;
}

template <typename T>
std::vector<std::string> namesOf(const std::vector<Located<T>> &items, std::string T::*member)
{
    std::vector<std::string> names;
    std::ranges::transform(items, std::back_inserter(names),
                           [member](const auto &it) { return it.value.*member; });
    return names;
}

void checkLimits(const Located<ServiceDeclaration> &service)
{
    const auto &[value, node] = service;
    checkName(node, "pool", value.pool);
    if (value.runTime > value.deadline) {
        const std::string_view key = node.has("deadlineMs") ? "deadlineMs" : "runTimeMs";
        throw UserError(node.errorAt(key,
                                     "the expected run time is above the deadline, so no "
                                     "request could finish in time",
                                     "raise deadlineMs or lower runTimeMs"));
    }
    if (value.maxQueueTime > value.deadline) {
        throw UserError(node.errorAt("maxQueueTimeMs", "the queue bound is above the deadline",
                                     "lower maxQueueTimeMs to at most deadlineMs"));
    }
}

/// Finds cycles of required dependencies by depth-first search.
class CycleSearch
{
public:
    explicit CycleSearch(const std::vector<Located<ServiceDeclaration>> &services)
    {
        for (const auto &service : services)
            m_byName.emplace(service.value.name, &service);
    }

    void visit(const Located<ServiceDeclaration> &service)
    {
        auto &state = m_states[service.value.name];
        if (state == State::Done)
            return;
        state = State::OnPath;
        m_path.push_back(service.value.name);
        for (const auto &dependency : service.value.dependsOn) {
            if (!dependency.isRequired)
                continue;
            if (m_states[dependency.service] == State::OnPath)
                fail(service.node, dependency.service);
            visit(*m_byName.at(dependency.service));
        }
        m_path.pop_back();
        m_states[service.value.name] = State::Done;
    }

private:
    enum class State { New, OnPath, Done };

    [[noreturn]] void fail(const SettingsNode &node, const std::string &repeatedService) const
    {
        std::vector<std::string> cycle(std::ranges::find(m_path, repeatedService), m_path.end());
        cycle.push_back(repeatedService);
        throw UserError(node.errorAt(
            "dependsOn", "required dependencies form a cycle: " + joinNames(cycle, " -> "),
            "remove one of them or write 'required: false' for it"));
    }

    std::map<std::string, const Located<ServiceDeclaration> *> m_byName;
    std::map<std::string, State> m_states;
    std::vector<std::string> m_path;
};

void checkDependencies(const std::vector<Located<ServiceDeclaration>> &services)
{
    const auto names = namesOf(services, &ServiceDeclaration::name);
    for (const auto &[value, node] : services) {
        std::vector<std::string> seen;
        for (const auto &dependency : value.dependsOn) {
            if (std::ranges::find(names, dependency.service) == names.end()) {
                throw UserError(node.errorAt(
                    "dependsOn", "service '" + dependency.service + "' is not declared",
                    "declare it, or use one of: " + joinNames(names, ", ")));
            }
            if (std::ranges::find(seen, dependency.service) != seen.end()) {
                throw UserError(node.errorAt("dependsOn",
                                             "service '" + dependency.service + "' is listed twice",
                                             "remove one of the two"));
            }
            seen.push_back(dependency.service);
        }
    }
    CycleSearch search(services);
    for (const auto &service : services)
        search.visit(service);
}

void checkLedgers(const DeclarationParts &parts)
{
    const auto domains = namesOf(parts.domains, &FailureDomainDeclaration::name);
    std::map<Address, std::string> addresses;
    for (const auto &[value, node] : parts.ledgers) {
        if (std::ranges::find(domains, value.domain) == domains.end()) {
            throw UserError(node.errorAt(
                "domain", "failure domain '" + value.domain + "' is not declared",
                "declare it under 'domains', or use one of: " + joinNames(domains, ", ")));
        }
        if (value.address.port == 0) {
            throw UserError(node.errorAt("address", "the port is 0",
                                         "write the port that the ledger listens on"));
        }
        const auto [it, isNew] = addresses.emplace(value.address, value.instance);
        if (!isNew) {
            throw UserError(node.errorAt("address",
                                         value.address.toString() + " is also the address of '"
                                             + it->second + "'",
                                         "give each ledger its own address"));
        }
    }
}

} // namespace

void DeclarationValidator::check(const DeclarationParts &parts)
{
    if (parts.services.empty()) {
        throw UserError(parts.root.errorAt("services", "no service is declared",
                                           "write at least one '- name: ...' item below it"));
    }
    checkNames(parts.services, "name", &ServiceDeclaration::name);
    checkNames(parts.teams, "name", &TeamDeclaration::name);
    checkNames(parts.domains, "name", &FailureDomainDeclaration::name);
    checkNames(parts.ledgers, "instance", &LedgerDeclaration::instance);
    std::ranges::for_each(parts.services, checkLimits);
    checkDependencies(parts.services);
    checkLedgers(parts);
    const auto &[retention, node] = parts.retention;
    if (retention.responseWindow > retention.claimWindow) {
        throw UserError(node.errorAt("answerMs",
                                     "responses would be retained longer than their claims",
                                     "lower answerMs to at most claimMs"));
    }
}

} // namespace Camphor
