#include "Scenario.h"

#include "CommonSettings.h"

#include <algorithm>
#include <numeric>

namespace Camphor {

namespace {

constexpr double MaxTimeMs = 3'600'000;
constexpr long MaxTasks = 100'000;
/// Limits the load that a scenario with a typing error can send.
constexpr double MaxRate = 20'000;

std::optional<Urgency> readUrgency(SettingsNode &node)
{
    if (!node.has("urgency"))
        return std::nullopt;
    return parseUrgency(node.choice("urgency", "normal", {"low", "normal", "high"}));
}

Milliseconds readTime(SettingsNode &node, std::string_view key, double fallback, double min = 0)
{
    return Milliseconds{node.number(key, fallback, min, MaxTimeMs)};
}

RunTimeDistribution readRunTime(SettingsNode node)
{
    RunTimeDistribution runTime;
    runTime.min = readTime(node, "minMs", runTime.min.count());
    runTime.max =
        readTime(node, "maxMs", std::max(runTime.max, runTime.min).count(), runTime.min.count());
    runTime.tailShare = node.number("tailShare", 0, 0, 1);
    runTime.tailMax = readTime(node, "tailMaxMs", std::max(runTime.tailMax, runTime.max).count(),
                               runTime.max.count());
    runTime.estimateErrorFactor = node.number("wrongBy", 1, 1, 100);
    node.checkNoUnknownKeys();
    return runTime;
}

FlowScenario readFlow(SettingsNode node)
{
    FlowScenario flow;
    flow.name = node.string("name");
    flow.service = node.string("service", flow.name);
    flow.team = node.string("team", "");
    flow.urgency = readUrgency(node).value_or(Urgency::Normal);
    flow.isJob = node.choice("kind", "request", {"request", "job"}) == "job";
    flow.share = node.number("share", 1, 0, 1'000);
    flow.ratePerSecond = node.number("ratePerSecond", 0, 0, MaxRate);
    flow.minTasks = node.integer("minTasks", 1, 1, MaxTasks);
    flow.maxTasks = node.integer("maxTasks", flow.minTasks, flow.minTasks, MaxTasks);
    flow.runTime = readRunTime(node.child("runTime"));
    flow.responseBytes = node.integer("answerBytes", flow.responseBytes, 0, 1'000'000);
    flow.isKeyed = node.boolean("keyed", flow.isJob);
    flow.isRepeatable = node.boolean("repeatable", false);
    flow.resubmit = node.number("resubmit", 0, 0, 1);
    flow.deadline = readTime(node, "deadlineMs", flow.deadline.count(), 1);
    if (!flow.isJob && flow.maxTasks > 1) {
        throw UserError(node.errorAt("maxTasks", "a request has exactly one task",
                                     "write 'kind: job', or remove the key"));
    }
    if (flow.isJob && (!flow.isKeyed || flow.isRepeatable)) {
        throw UserError(node.errorAt("kind", "a job always has a key and is not repeatable",
                                     "remove 'keyed' and 'repeatable'"));
    }
    if (flow.resubmit > 0 && !flow.isKeyed) {
        throw UserError(
            node.errorAt("resubmit", "a resubmission needs a key", "write 'keyed: true'"));
    }
    node.checkNoUnknownKeys();
    return flow;
}

void checkFlowExists(const SettingsNode &node, std::string_view key, const std::string &name,
                     const std::vector<FlowScenario> &flows)
{
    if (std::ranges::find(flows, name, &FlowScenario::name) == flows.end()) {
        throw UserError(node.errorAt(key, "there is no flow '" + name + "'",
                                     "write the name of a flow of this scenario"));
    }
}

std::optional<FloodScenario> readFlood(SettingsNode &phase, const std::vector<FlowScenario> &flows)
{
    if (!phase.has("flood"))
        return std::nullopt;
    auto node = phase.child("flood");
    FloodScenario flood;
    flood.flow = node.string("flow");
    checkFlowExists(node, "flow", flood.flow, flows);
    flood.factor = node.number("factor", flood.factor, 1, 1'000);
    flood.urgency = readUrgency(node);
    node.checkNoUnknownKeys();
    return flood;
}

std::optional<CancelScenario> readCancel(SettingsNode &phase)
{
    if (!phase.has("cancel"))
        return std::nullopt;
    auto node = phase.child("cancel");
    CancelScenario cancel;
    cancel.at = readTime(node, "atMs", 0);
    cancel.share = node.number("share", cancel.share, 0, 1);
    node.checkNoUnknownKeys();
    return cancel;
}

PhaseScenario readPhase(SettingsNode node, const std::vector<FlowScenario> &flows)
{
    PhaseScenario phase;
    phase.name = node.string("name");
    if (!node.has("durationMs"))
        throw UserError(node.errorAt("", "key 'durationMs' is missing", "add it"));
    phase.duration = readTime(node, "durationMs", 0, 1);
    phase.load = node.number("load", phase.load, 0, 100);
    phase.flood = readFlood(node, flows);
    phase.cancel = readCancel(node);
    phase.flows = node.strings("flows");
    for (const auto &name : phase.flows)
        checkFlowExists(node, "flows", name, flows);
    node.checkNoUnknownKeys();
    return phase;
}

template <typename T>
void checkNotEmptyAndUnique(const SettingsNode &root, std::string_view key,
                            const std::vector<T> &items)
{
    if (items.empty())
        throw UserError(root.errorAt("", "key '" + std::string(key) + "' is missing or empty",
                                     "add at least one item"));
    for (auto it = items.begin(); it != items.end(); ++it) {
        if (std::ranges::find(items.begin(), it, it->name, &T::name) != it) {
            throw UserError(
                root.errorAt(key, "the name '" + it->name + "' is used twice", "rename one"));
        }
    }
}

Scenario readScenario(SettingsNode root)
{
    Scenario scenario;
    scenario.name = root.string("name");
    scenario.seed = static_cast<std::uint64_t>(root.integer("seed", 1, 0, 1L << 62));
    scenario.entries = readAddresses(root, "entries");
    scenario.slots = root.integer("slots", scenario.slots, 1, 1'000'000);
    scenario.callerDelay = readTime(root, "callerDelayMs", 0);
    scenario.targetDelay = readTime(root, "targetDelayMs", 0);
    scenario.grace = readTime(root, "graceMs", scenario.grace.count());
    for (auto &node : root.list("flows"))
        scenario.flows.push_back(readFlow(node));
    checkNotEmptyAndUnique(root, "flows", scenario.flows);
    for (auto &node : root.list("phases"))
        scenario.phases.push_back(readPhase(node, scenario.flows));
    checkNotEmptyAndUnique(root, "phases", scenario.phases);
    root.checkNoUnknownKeys();
    return scenario;
}

Result<Scenario> parseScenario(Result<SettingsNode> root)
{
    if (!root)
        return root.error();
    try {
        return readScenario(std::move(root).value());
    } catch (const UserError &e) {
        return e.error();
    }
}

} // namespace

Result<Scenario> Scenario::parse(const std::string &name, const std::string &text)
{
    return parseScenario(SettingsNode::parse(name, text));
}

Result<Scenario> Scenario::load(const std::string &path)
{
    return parseScenario(SettingsNode::load(path));
}

Result<Scenario> Scenario::select(const std::vector<std::string> &phaseNames,
                                  double durationFactor) const
{
    auto selected = *this;
    for (const auto &phaseName : phaseNames) {
        if (std::ranges::find(phases, phaseName, &PhaseScenario::name) == phases.end()) {
            return Error{ErrorCode::InvalidSettings,
                         "there is no phase '" + phaseName
                             + "'. Fix: write the name of a phase of the scenario"};
        }
    }
    if (!phaseNames.empty()) {
        std::erase_if(selected.phases, [&](const PhaseScenario &phase) {
            return std::ranges::find(phaseNames, phase.name) == phaseNames.end();
        });
    }
    for (auto &phase : selected.phases) {
        phase.duration = phase.duration * durationFactor;
        if (phase.cancel)
            phase.cancel->at = phase.cancel->at * durationFactor;
    }
    return selected;
}

Milliseconds Scenario::duration() const
{
    return std::accumulate(
        phases.begin(), phases.end(), Milliseconds{},
        [](Milliseconds sum, const PhaseScenario &phase) { return sum + phase.duration; });
}

} // namespace Camphor
