#include "PoolShard.h"

#include "Log.h"

#include <algorithm>
#include <utility>

namespace Camphor {

namespace {

AttemptOutcome toAttemptOutcome(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Completed:
        return AttemptOutcome::Completed;
    case AttemptEnd::Failed:
        return AttemptOutcome::Failed;
    case AttemptEnd::Unknown:
        return AttemptOutcome::Unknown;
    case AttemptEnd::NotStarted:
        return AttemptOutcome::NotStarted;
    }
    return AttemptOutcome::Unknown;
}

PlaceTask makePlaceTask(const PlacedTask &task, std::uint32_t attempt, Milliseconds now)
{
    const auto &spec = task.spec;
    return {spec.requestId,
            spec.service,
            spec.team,
            static_cast<std::uint8_t>(spec.urgency),
            (spec.deadline - now).count(),
            spec.isRepeatable,
            spec.isJobTask,
            spec.taskIndex,
            attempt,
            *task.input};
}

} // namespace

TaskHandle nextTaskHandle()
{
    static std::atomic<TaskHandle> last{0};
    return last.fetch_add(1) + 1;
}

PoolShard::PoolShard(DispatcherSettings settings, const Declaration &declaration,
                     const ShardServices &services)
    : m_pool(settings.pool)
    , m_services(services)
    , m_dispatcher(
          std::make_unique<Dispatcher>(std::move(settings), declaration, services.clock.now()))
{
}

template <typename F>
void PoolShard::runStep(F &&step, AttemptResponse response)
{
    std::vector<Effect> effects;
    {
        const std::lock_guard lock(m_mutex);
        const Actions actions = step(*m_dispatcher, m_services.clock.now());
        effects.reserve(actions.size());
        for (const auto &action : actions)
            std::visit([&](const auto &it) { prepareEffect(it, response, effects); }, action);
    }
    for (const auto &effect : effects)
        effect();
}

void PoolShard::prepareEffect(const StartAttempt &action, AttemptResponse & /*response*/,
                              std::vector<Effect> &effects)
{
    auto &live = m_tasks.at(action.handle);
    ++live.attemptsInFlight;
    const auto &task = live.task;
    TargetCall call{action.address,
                    task.spec.service,
                    attemptId(task.spec.requestId, task.spec.taskIndex, action.attempt),
                    task.spec.taskIndex,
                    task.spec.deadline - m_services.clock.now(),
                    task.input};
    effects.emplace_back([this, call = std::move(call), requestId = task.spec.requestId,
                          handle = action.handle, attempt = action.attempt, target = action.target,
                          reason = action.reason] {
        Log::decision(LogEvent::AttemptStarted)
            .kv("request", requestId)
            .kv("attempt", call.attempt)
            .kv("target", target)
            .kv("reason", reason);
        m_services.explain.add(requestId,
                               "attempt " + std::to_string(attempt) + " of task "
                                   + std::to_string(call.task) + " to target " + target + ": "
                                   + std::string(reason));
        m_services.targets.run(call,
                               [this, handle, attempt, name = call.attempt](AttemptResult result) {
                                   onAttemptEnd(handle, attempt, name, std::move(result));
                               });
    });
}

void PoolShard::prepareEffect(const ForwardTask &action, AttemptResponse & /*response*/,
                              std::vector<Effect> &effects)
{
    auto &live = m_tasks.at(action.handle);
    ++live.attemptsInFlight;
    auto message = makePlaceTask(live.task, action.attempt, m_services.clock.now());
    effects.emplace_back([this, message = std::move(message), handle = action.handle,
                          attempt = action.attempt, peer = action.peer, reason = action.reason] {
        Log::decision(LogEvent::TaskForwarded)
            .kv("request", message.requestId)
            .kv("attempt", attemptId(message.requestId, message.taskIndex, attempt))
            .kv("peer", peer)
            .kv("reason", reason);
        m_services.explain.add(message.requestId,
                               "attempt " + std::to_string(attempt) + " of task "
                                   + std::to_string(message.taskIndex) + " to peer " + peer + ": "
                                   + std::string(reason));
        m_services.peers.place(peer, message, [this, handle, attempt](ForwardResult result) {
            onForwardEnd(handle, attempt, std::move(result));
        });
    });
}

void PoolShard::prepareEffect(const PullFromPeer &action, AttemptResponse & /*response*/,
                              std::vector<Effect> &effects)
{
    effects.emplace_back([this, action] {
        Log::decision(LogEvent::Pull)
            .kv("peer", action.peer)
            .kv("slots", action.slots)
            .kv("reason", action.reason);
        m_services.peers.pull(action.peer, m_pool, action.slots);
    });
}

void PoolShard::prepareEffect(const StopAttempt &action, AttemptResponse & /*response*/,
                              std::vector<Effect> &effects)
{
    const auto it = m_tasks.find(action.handle);
    if (it == m_tasks.end())
        return;
    const auto &spec = it->second.task.spec;
    effects.emplace_back(
        [this, action, name = attemptId(spec.requestId, spec.taskIndex, action.attempt)] {
            Log::decision(LogEvent::AttemptStopped)
                .kv("attempt", name)
                .kv("target", action.target)
                .kv("peer", action.peer)
                .kv("reason", action.reason);
            if (action.peer.empty())
                m_services.targets.stop(action.address, name);
            else
                m_services.peers.cancel(action.peer, name);
        });
}

void PoolShard::prepareEffect(const FinishTask &action, AttemptResponse &response,
                              std::vector<Effect> &effects)
{
    auto &live = m_tasks.at(action.handle);
    TaskEnd end{action.outcome, {}, action.reason, action.started, {}};
    if (action.outcome == Outcome::Completed) {
        CAMPHOR_ASSERT(response.handle == action.handle && response.attempt == action.attempt);
        end.body = std::move(response.body);
        end.runTime = response.runTime;
        end.reason.clear();
    }
    live.hasEnded = true;
    live.task.input = nullptr;
    const auto onEnd = std::make_shared<std::function<void(TaskEnd)>>(std::move(live.task.onEnd));
    const auto requestId = live.task.spec.requestId;
    const auto index = live.task.spec.taskIndex;
    eraseIfDone(action.handle);
    effects.emplace_back([onEnd, requestId, index, end = std::move(end)] {
        Log::decision(LogEvent::TaskFinished)
            .kv("request", requestId)
            .kv("task", index)
            .kv("outcome", outcomeName(end.outcome))
            .kv("started", end.started)
            .kv("reason", end.reason);
        (*onEnd)(end);
    });
}

void PoolShard::onAttemptEnd(TaskHandle handle, std::uint32_t attempt,
                             const std::string &attemptName, AttemptResult result)
{
    m_services.metrics.countAttempt(result.end);
    if (result.end != AttemptEnd::Completed) {
        Log::decision(LogEvent::AttemptEnded)
            .kv("attempt", attemptName)
            .kv("end", attemptEndName(result.end))
            .kv("reason", result.reason);
    }
    const AttemptReport report{attempt, toAttemptOutcome(result.end), result.runTime, result.reason,
                               -1};
    runStep(
        [&](Dispatcher &dispatcher, Milliseconds now) {
            recordReport(handle, attempt);
            return dispatcher.attemptFinished(handle, report, now);
        },
        {handle, attempt, std::move(result.body), result.runTime});
}

void PoolShard::onForwardEnd(TaskHandle handle, std::uint32_t attempt, ForwardResult result)
{
    result.report.attempt = attempt;
    runStep(
        [&](Dispatcher &dispatcher, Milliseconds now) {
            recordReport(handle, attempt);
            return dispatcher.forwardFinished(handle, result.report, now);
        },
        {handle, attempt, std::move(result.body), result.report.runTime});
}

void PoolShard::recordReport(TaskHandle handle, std::uint32_t attempt)
{
    auto &live = m_tasks.at(handle);
    --live.attemptsInFlight;
    if (!live.hasEnded)
        return;
    m_services.metrics.countLateResponse();
    Log::info(LogEvent::LateAnswerDropped)
        .kv("attempt", attemptId(live.task.spec.requestId, live.task.spec.taskIndex, attempt));
    eraseIfDone(handle);
}

void PoolShard::eraseIfDone(TaskHandle handle)
{
    const auto it = m_tasks.find(handle);
    if (it->second.hasEnded && it->second.attemptsInFlight == 0)
        m_tasks.erase(it);
}

AdmissionDecision PoolShard::admit(const std::string &service, const std::string &team,
                                   std::uint32_t taskCount, Milliseconds deadline) const
{
    const std::lock_guard lock(m_mutex);
    return m_dispatcher->admit(service, team, taskCount, deadline, m_services.clock.now());
}

void PoolShard::submit(std::vector<PlacedTask> tasks)
{
    std::vector<TaskSpec> specs;
    specs.reserve(tasks.size());
    std::ranges::transform(tasks, std::back_inserter(specs), &PlacedTask::spec);
    runStep([&](Dispatcher &dispatcher, Milliseconds now) {
        for (auto &task : tasks) {
            const auto handle = task.spec.handle;
            m_tasks.emplace(handle, LiveTask{std::move(task), 0, false});
        }
        return dispatcher.submit(specs, now);
    });
}

void PoolShard::cancel(TaskHandle handle)
{
    runStep([&](Dispatcher &it, Milliseconds now) { return it.cancel(handle, now); });
}

void PoolShard::cancelRequest(const std::string &requestId)
{
    runStep([&](Dispatcher &it, Milliseconds now) { return it.cancelRequest(requestId, now); });
}

void PoolShard::targetAnnounced(const TargetAnnouncement &announcement)
{
    runStep(
        [&](Dispatcher &it, Milliseconds now) { return it.targetAnnounced(announcement, now); });
}

void PoolShard::targetLeft(const std::string &id)
{
    runStep([&](Dispatcher &it, Milliseconds now) { return it.targetLeft(id, now); });
}

std::vector<std::string> PoolShard::targetReleased(const std::string &id)
{
    std::vector<std::string> running;
    runStep([&](Dispatcher &it, Milliseconds now) {
        running = it.runningAttempts(id);
        return it.targetReleased(id, now);
    });
    return running;
}

void PoolShard::peerDigest(const Digest &digest)
{
    runStep([&](Dispatcher &it, Milliseconds now) { return it.peerDigest(digest, now); });
}

void PoolShard::peerUnusable(const std::string &instance)
{
    runStep([&](Dispatcher &it, Milliseconds now) { return it.peerUnusable(instance, now); });
}

std::uint32_t PoolShard::forwardToPeer(const std::string &instance, std::uint32_t slots)
{
    std::uint32_t count = 0;
    runStep([&](Dispatcher &it, Milliseconds now) {
        auto actions = it.forwardToPeer(instance, slots, now);
        count = static_cast<std::uint32_t>(std::ranges::count_if(
            actions, [](const Action &a) { return std::holds_alternative<ForwardTask>(a); }));
        return actions;
    });
    return count;
}

void PoolShard::tick()
{
    runStep([](Dispatcher &it, Milliseconds now) { return it.tick(now); });
}

void PoolShard::applyDeclaration(const Declaration &declaration)
{
    runStep(
        [&](Dispatcher &it, Milliseconds now) { return it.applyDeclaration(declaration, now); });
}

void PoolShard::startDraining()
{
    runStep([](Dispatcher &it, Milliseconds now) { return it.startDraining(now); });
}

PoolDigest PoolShard::digest() const
{
    const std::lock_guard lock(m_mutex);
    return m_dispatcher->digest(m_services.clock.now());
}

DispatcherStats PoolShard::stats() const
{
    const std::lock_guard lock(m_mutex);
    return m_dispatcher->stats();
}

std::vector<TaskExplanation> PoolShard::explain(const std::string &requestId) const
{
    const std::lock_guard lock(m_mutex);
    return m_dispatcher->explain(requestId);
}

std::int64_t PoolShard::freeSlots(const std::string &service) const
{
    const auto load = digest();
    const auto it = std::ranges::find(load.services, service, &ServiceDigest::service);
    return it == load.services.end() ? -1 : static_cast<std::int64_t>(it->freeSlots);
}

std::size_t PoolShard::liveTasks() const
{
    const std::lock_guard lock(m_mutex);
    return m_tasks.size();
}

} // namespace Camphor
