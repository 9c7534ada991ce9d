#include "Declaration.h"

#include <algorithm>
#include <array>

namespace Camphor {

namespace {

constexpr double MaxDurationMs = 86'400'000.0;

Urgency urgencyOf(SettingsNode &node)
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
    service.share = node.number("share", defaults.share, 0.001, 1e6);
    service.runTime =
        Milliseconds{node.number("runTimeMs", defaults.runTime.count(), 0.1, MaxDurationMs)};
    service.deadline =
        Milliseconds{node.number("deadlineMs", defaults.deadline.count(), 1, MaxDurationMs)};
    service.isRepeatable = node.boolean("repeatable", defaults.isRepeatable);
    service.urgency = urgencyOf(node);
    service.maxTasksPerJob = node.integer("maxTasksPerJob", defaults.maxTasksPerJob, 1, 65536);
    service.maxQueueTime = Milliseconds{
        node.number("maxQueueTimeMs", defaults.maxQueueTime.count(), 1, MaxDurationMs)};
    node.checkNoUnknownKeys();
    return service;
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
    auto document = SettingsNode::parse(name, text);
    if (!document)
        return Error{ErrorCode::InvalidDeclaration, document.error().message};
    try {
        auto root = std::move(document).value();
        Declaration declaration;
        for (auto &node : root.list("services"))
            declaration.m_services.push_back(parseService(node));
        root.checkNoUnknownKeys();
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
