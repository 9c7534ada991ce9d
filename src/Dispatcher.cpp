#include "Dispatcher.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>

namespace Camphor {

Result<PlacementKind> parsePlacementKind(std::string_view text)
{
    if (text == "owner")
        return PlacementKind::Owner;
    if (text == "random")
        return PlacementKind::Random;
    if (text == "round-robin")
        return PlacementKind::RoundRobin;
    if (text == "probe-two")
        return PlacementKind::ProbeTwo;
    return Error{ErrorCode::InvalidSettings,
                 "placement must be owner, random, round-robin or probe-two"};
}

Result<QueueKind> parseQueueKind(std::string_view text)
{
    if (text == "fair")
        return QueueKind::Fair;
    if (text == "fifo")
        return QueueKind::Fifo;
    return Error{ErrorCode::InvalidSettings, "queue must be fair or fifo"};
}

/// First implementation: one first-in first-out queue and the target with most free slots.
class Dispatcher::Core
{
public:
    struct Target
    {
        TargetAnnouncement announcement;
        std::uint32_t total = 0;
        bool isUsable = true;
        std::map<std::string, std::uint32_t, std::less<>> inUse;
        std::uint32_t inUseTotal = 0;
        Milliseconds lastHeard;

        [[nodiscard]] std::uint32_t freeFor(const std::string &service) const
        {
            const auto it =
                std::ranges::find(announcement.services, service, &ServiceSlots::service);
            if (!isUsable || it == announcement.services.end() || inUseTotal >= total)
                return 0;
            const auto used = inUse.find(service);
            const auto usedCount = used == inUse.end() ? 0 : used->second;
            return usedCount >= it->slots ? 0 : std::min(it->slots - usedCount, total - inUseTotal);
        }
    };

    struct Task
    {
        TaskSpec spec;
        std::string target; ///< Empty while queued.
        std::uint32_t attempt = 0;
        bool isFinished = false;
    };

    DispatcherSettings m_settings;
    Declaration m_declaration;
    std::map<std::string, Target> m_targets;
    std::unordered_map<TaskHandle, Task> m_tasks;
    std::deque<TaskHandle> m_queue;
    DispatcherStats m_stats;
    bool m_isDraining = false;

    Core(DispatcherSettings settings, const Declaration &declaration)
        : m_settings(std::move(settings))
        , m_declaration(declaration)
    {
    }

    void finish(Task &task, Outcome outcome, std::string reason, Actions &actions)
    {
        if (task.isFinished)
            return;
        task.isFinished = true;
        ++m_stats.finished;
        const auto isAnswer = outcome == Outcome::Completed || outcome == Outcome::Failed;
        actions.emplace_back(FinishTask{task.spec.handle, outcome, isAnswer ? task.attempt : 0,
                                        std::move(reason), outcome == Outcome::NotRun ? 0U : 1U});
    }

    void startQueued(Actions &actions, Milliseconds now)
    {
        std::deque<TaskHandle> waiting;
        for (const auto handle : m_queue) {
            const auto it = m_tasks.find(handle);
            if (it == m_tasks.end())
                continue;
            auto &task = it->second;
            if (task.spec.deadline <= now) {
                finish(task, Outcome::NotRun, "deadline-passed", actions);
                m_tasks.erase(it);
                continue;
            }
            const auto best = std::ranges::max_element(m_targets, {}, [&](const auto &target) {
                return target.second.freeFor(task.spec.service);
            });
            if (best == m_targets.end() || best->second.freeFor(task.spec.service) == 0) {
                waiting.push_back(handle);
                continue;
            }
            auto &target = best->second;
            ++target.inUse[task.spec.service];
            ++target.inUseTotal;
            ++m_stats.starts;
            task.target = best->first;
            task.attempt = task.spec.attempt++;
            actions.emplace_back(StartAttempt{handle, task.attempt, best->first,
                                              target.announcement.address, "free-slot"});
        }
        m_queue = std::move(waiting);
    }
};

Dispatcher::Dispatcher(DispatcherSettings settings, const Declaration &declaration,
                       Milliseconds /*now*/)
    : m_core(std::make_unique<Core>(std::move(settings), declaration))
{
}

Dispatcher::~Dispatcher() = default;

AdmissionDecision Dispatcher::admit(std::string_view service, std::string_view /*team*/,
                                    std::uint32_t taskCount, Milliseconds deadline,
                                    Milliseconds now) const
{
    const auto *declared = m_core->m_declaration.service(service);
    if (m_core->m_isDraining)
        return {false, "draining", Milliseconds{1'000}, {}};
    if (declared == nullptr)
        return {false, "unknown-service", {}, {}};
    if (taskCount > declared->maxTasksPerJob)
        return {false, "too-many-tasks", {}, {}};
    if (deadline <= now)
        return {false, "deadline-passed", {}, {}};
    if (m_core->m_queue.size() + taskCount > m_core->m_settings.maxQueuedTasks)
        return {false, "queue-full", Milliseconds{1'000}, {}};
    return {};
}

Actions Dispatcher::submit(const std::vector<TaskSpec> &tasks, Milliseconds now)
{
    Actions actions;
    for (const auto &it : tasks) {
        m_core->m_tasks.emplace(it.handle, Core::Task{it, {}, 0, false});
        m_core->m_queue.push_back(it.handle);
        ++m_core->m_stats.submitted;
    }
    m_core->startQueued(actions, now);
    return actions;
}

Actions Dispatcher::cancel(TaskHandle handle, Milliseconds /*now*/)
{
    Actions actions;
    const auto it = m_core->m_tasks.find(handle);
    if (it == m_core->m_tasks.end())
        return actions;
    auto &task = it->second;
    if (task.target.empty()) {
        m_core->finish(task, Outcome::NotRun, "cancelled", actions);
        std::erase(m_core->m_queue, handle);
        m_core->m_tasks.erase(it);
    } else {
        const auto target = m_core->m_targets.find(task.target);
        const auto address =
            target == m_core->m_targets.end() ? Address{} : target->second.announcement.address;
        actions.emplace_back(
            StopAttempt{handle, task.attempt, task.target, address, {}, "cancelled"});
    }
    return actions;
}

Actions Dispatcher::cancelRequest(const std::string &requestId, Milliseconds now)
{
    std::vector<TaskHandle> handles;
    for (const auto &[handle, task] : m_core->m_tasks)
        if (task.spec.requestId == requestId)
            handles.push_back(handle);
    Actions actions;
    for (const auto handle : handles)
        std::ranges::move(cancel(handle, now), std::back_inserter(actions));
    return actions;
}

Actions Dispatcher::targetAnnounced(const TargetAnnouncement &announcement, Milliseconds now)
{
    auto &target = m_core->m_targets[announcement.id];
    target.announcement = announcement;
    target.total = announcement.slots;
    if (target.total == 0 && !announcement.services.empty())
        target.total = std::ranges::max(announcement.services, {}, &ServiceSlots::slots).slots;
    target.isUsable = !announcement.isLeaving;
    target.lastHeard = now;
    Actions actions;
    m_core->startQueued(actions, now);
    return actions;
}

Actions Dispatcher::targetLeft(const std::string &id, Milliseconds /*now*/)
{
    const auto it = m_core->m_targets.find(id);
    if (it != m_core->m_targets.end())
        it->second.isUsable = false;
    return {};
}

Actions Dispatcher::targetReleased(const std::string &id, Milliseconds now)
{
    return targetLeft(id, now);
}

Actions Dispatcher::attemptFinished(TaskHandle handle, const AttemptReport &report,
                                    Milliseconds now)
{
    Actions actions;
    const auto it = m_core->m_tasks.find(handle);
    if (it == m_core->m_tasks.end() || it->second.target.empty())
        return actions;
    auto &task = it->second;
    auto &target = m_core->m_targets[task.target];
    --target.inUse[task.spec.service];
    --target.inUseTotal;
    switch (report.outcome) {
    case AttemptOutcome::Completed:
        m_core->finish(task, Outcome::Completed, report.reason, actions);
        break;
    case AttemptOutcome::Failed:
        m_core->finish(task, Outcome::Failed, report.reason, actions);
        break;
    case AttemptOutcome::Unknown:
        m_core->finish(task, Outcome::Unknown, report.reason, actions);
        break;
    case AttemptOutcome::NotStarted:
        m_core->finish(task, Outcome::NotRun, report.reason, actions);
        break;
    }
    m_core->m_tasks.erase(it);
    m_core->startQueued(actions, now);
    return actions;
}

Actions Dispatcher::forwardFinished(TaskHandle /*handle*/, const AttemptReport & /*report*/,
                                    Milliseconds /*now*/)
{
    return {};
}

Actions Dispatcher::peerDigest(const Digest & /*digest*/, Milliseconds /*now*/) { return {}; }

Actions Dispatcher::peerLost(const std::string & /*instance*/, Milliseconds /*now*/) { return {}; }

Actions Dispatcher::takeForPeer(const std::string & /*instance*/, std::uint32_t /*slots*/,
                                Milliseconds /*now*/)
{
    return {};
}

Actions Dispatcher::tick(Milliseconds now)
{
    constexpr Milliseconds HeartbeatLimit{3'000};
    for (auto &[id, target] : m_core->m_targets)
        if (now - target.lastHeard >= HeartbeatLimit)
            target.isUsable = false;
    Actions actions;
    m_core->startQueued(actions, now);
    return actions;
}

Actions Dispatcher::applyDeclaration(const Declaration &declaration, Milliseconds /*now*/)
{
    m_core->m_declaration = declaration;
    return {};
}

Actions Dispatcher::startDraining(Milliseconds /*now*/)
{
    m_core->m_isDraining = true;
    return {};
}

PoolDigest Dispatcher::digest(Milliseconds /*now*/) const
{
    PoolDigest digest;
    digest.pool = m_core->m_settings.pool;
    digest.queuedTasks = static_cast<std::uint32_t>(m_core->m_queue.size());
    for (const auto &[id, target] : m_core->m_targets) {
        if (!target.isUsable)
            continue;
        ++digest.targets;
        digest.slots += target.total;
        digest.freeSlots += target.total - std::min(target.total, target.inUseTotal);
    }
    return digest;
}

DispatcherStats Dispatcher::stats() const
{
    auto stats = m_core->m_stats;
    const auto load = digest({});
    stats.queuedTasks = load.queuedTasks;
    stats.runningTasks = static_cast<std::uint32_t>(m_core->m_tasks.size()) - load.queuedTasks;
    stats.targets = load.targets;
    stats.slots = load.slots;
    stats.freeSlots = load.freeSlots;
    return stats;
}

std::vector<TaskExplanation> Dispatcher::explain(const std::string &requestId) const
{
    std::vector<TaskExplanation> tasks;
    for (const auto &[handle, task] : m_core->m_tasks)
        if (task.spec.requestId == requestId)
            tasks.push_back({task.spec.taskIndex,
                             task.target.empty() ? "queued" : "running",
                             {},
                             task.target,
                             task.attempt,
                             {}});
    return tasks;
}

std::vector<std::string> Dispatcher::runningAttempts(const std::string &targetId) const
{
    std::vector<std::string> attempts;
    for (const auto &[handle, task] : m_core->m_tasks)
        if (task.target == targetId)
            attempts.push_back(attemptId(task.spec.requestId, task.spec.taskIndex, task.attempt));
    return attempts;
}

} // namespace Camphor
