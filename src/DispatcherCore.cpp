#include "DispatcherCore.h"

#include "Ownership.h"

#include <algorithm>
#include <ranges>

namespace Camphor {

Dispatcher::Core::Core(DispatcherSettings settings, const Declaration &declaration)
    : m_settings(std::move(settings))
    , m_rules(m_settings.pool, declaration)
    , m_queue({m_settings.queue == QueueKind::Fair, m_settings.urgencyStep})
    , m_policy(PlacementPolicy::make(m_settings.placement, m_settings.seed))
    , m_random(m_settings.seed)
{
    applyDeclaration(declaration);
}

void Dispatcher::Core::applyDeclaration(const Declaration &declaration)
{
    m_rules.apply(declaration);
    for (std::uint32_t n = 0; n < m_rules.serviceCount(); ++n) {
        const auto *declared = m_rules.declared(n);
        const auto prior = declared != nullptr ? declared->runTime : Milliseconds{200};
        if (n >= m_serviceStates.size())
            m_serviceStates.push_back({RunTimeEstimator{prior}, RetryBudget{0.1}});
        else if (declared != nullptr)
            m_serviceStates[n].runTimes.setPrior(prior);
        if (declared != nullptr)
            m_queue.setServiceShare(n, declared->share);
    }
    for (std::uint32_t n = 0; n < m_rules.teamCount(); ++n)
        m_queue.setTeamShare(n, m_rules.teamAt(n).share);
    updateQuotas();

    m_declaredOtherServices.clear();
    for (const auto &it : declaration.services())
        if (it.pool != m_settings.pool)
            m_declaredOtherServices.push_back(it.name);
    std::vector<TaskHandle> undeclared;
    for (const auto &[handle, task] : m_tasks)
        if (task.ticket && m_rules.declared(task.flow.service) == nullptr)
            undeclared.push_back(handle);
    for (const auto it : undeclared)
        cancel(it, "unknown-service");
}

// All entries must compute the same ranks, so that their parts add up to the quota. The order of
// equal weights does not matter, since each entry uses only its own part.
std::uint32_t Dispatcher::Core::quotaShare(const TeamDeclaration &team,
                                           const std::string &instance) const
{
    std::vector<std::string> instances{m_settings.instance};
    for (const auto &[name, peer] : m_peers.peers())
        if (peer.domain == m_settings.domain)
            instances.push_back(name);
    const auto count = instances.size();
    const auto quota = static_cast<std::size_t>(std::max(team.quotaSlots, 0L));
    auto rest = quota % count;
    auto share = quota / count;
    // The remainder goes to the entries in the order in which rendezvous hashing ranks them for the
    // name of the team.
    while (rest-- > 0) {
        const auto owner = Ownership::make(instances).owner(team.name);
        if (owner == instance)
            ++share;
        std::erase(instances, owner);
    }
    return static_cast<std::uint32_t>(share);
}

void Dispatcher::Core::updateQuotas()
{
    m_quotas.assign(m_rules.teamCount(), 0);
    m_hasQuota.assign(m_rules.teamCount(), false);
    for (std::uint32_t n = 0; n < m_rules.teamCount(); ++n) {
        const auto &team = m_rules.teamAt(n);
        m_hasQuota[n] = team.quotaSlots > 0;
        if (m_hasQuota[n])
            m_quotas[n] = quotaShare(team, m_settings.instance);
    }
}

AdmissionDecision Dispatcher::Core::admit(std::string_view serviceName, std::string_view teamName,
                                          std::uint32_t taskCount, Milliseconds deadline,
                                          Milliseconds now) const
{
    AdmissionInput input;
    input.taskCount = taskCount;
    input.remaining = deadline - now;
    const auto index = m_rules.service(serviceName);
    if (!index)
        return Admission::decide(input);
    input.isDraining = m_isDraining;
    input.service = m_rules.declared(*index);
    for (const auto &it : input.service->dependsOn) {
        const auto own = m_rules.service(it.service);
        const auto isOther = !own && std::ranges::count(m_declaredOtherServices, it.service) > 0;
        const auto isUsable = (own && m_registry.slots(*own) > 0)
            || (isOther && std::ranges::count(m_usableOtherServices, it.service) > 0)
            || m_peers.hasTarget(it.service);
        if (it.isRequired && !isUsable && input.missingDependency.empty())
            input.missingDependency = it.service;
    }
    const auto team = m_rules.team(teamName);
    // A team without earlier requests has an empty flow of its own.
    const FlowId flow{*index, team.value_or(m_rules.teamCount())};
    const auto peerSlots = m_peers.slots(*index, m_settings.domain);
    const auto peerCount = static_cast<double>(m_peers.peers().size());
    input.queuedTasks = m_queue.size();
    input.maxQueuedTasks = m_settings.maxQueuedTasks;
    // An entry without targets of its own counts an equal part of the slots of its peers.
    input.slots =
        m_registry.slots(*index) > 0 ? m_registry.slots(*index) : peerSlots / (peerCount + 1);
    input.freeSlots = m_queue.size(*index) > 0
        ? 0
        : m_registry.freeSlots(*index) + m_peers.freeSlots(*index, m_settings.domain);
    input.flowShare = m_queue.backloggedShare(flow);
    input.flowQueuedMs = m_queue.queuedMs(flow);
    input.flowDrainRate = m_queue.drainRate(flow, now);
    if (team && m_hasQuota[*team]) {
        const auto used = m_queue.teamSlotsInUse(*team);
        input.quotaSlots = std::max(m_quotas[*team], 1U);
        input.freeSlots =
            std::min<double>(input.freeSlots, m_quotas[*team] > used ? m_quotas[*team] - used : 0);
    }
    const auto &runTimes = m_serviceStates[*index].runTimes;
    input.meanRunTime = runTimes.mean();
    input.p95RunTime = runTimes.p95();
    input.minRunTime = runTimes.minimum();
    return Admission::decide(input);
}

bool Dispatcher::Core::isDuplicate(const TaskSpec &spec, Milliseconds now)
{
    if (spec.origin.empty())
        return false;
    const auto key = attemptKey(attemptId(spec.requestId, spec.taskIndex, spec.attempt) + "@"
                                + spec.origin + "@" + std::to_string(spec.originIncarnation));
    if (!m_receivedAttempts.insert(key).second)
        return true;
    const auto expiry = std::max(spec.deadline, now) + DuplicateRetention;
    m_receivedExpiry[static_cast<std::int64_t>(std::min(expiry.count(), 1e15) / 1000)].push_back(
        key);
    return false;
}

void Dispatcher::Core::submit(const TaskSpec &spec, Milliseconds now)
{
    ++m_stats.submitted;
    if (isDuplicate(spec, now)) {
        // The first copy may be running, so the outcome that the sender gets is unknown.
        ++m_stats.finished;
        m_actions.emplace_back(
            FinishTask{spec.handle, Outcome::Unknown, 0, "duplicate-attempt", 0});
        return;
    }
    const auto [entry, isNew] = m_tasks.try_emplace(spec.handle);
    CAMPHOR_ASSERT(isNew);
    auto &task = entry->second;
    task.handle = spec.handle;
    task.deadline = spec.deadline;
    task.urgency = spec.urgency;
    task.isRepeatable = spec.isRepeatable;
    task.isJobTask = spec.isJobTask;
    task.isFromPeer = !spec.origin.empty();
    task.taskIndex = spec.taskIndex;
    task.nextAttempt = spec.attempt;
    task.since = task.enqueuedAt = now;
    const auto key = attemptKey(spec.requestId);
    task.request = &m_requests.try_emplace(key).first->second;
    task.request->key = key;
    task.request->id = spec.requestId;
    task.nextInRequest = task.request->first;
    if (task.nextInRequest != nullptr)
        task.nextInRequest->previousInRequest = &task;
    task.request->first = &task;
    const auto index = m_rules.service(spec.service);
    if (!index) {
        finish(task, Outcome::NotRun, 0, "unknown-service");
        eraseIfDone(task);
        return;
    }
    task.flow = {*index, m_rules.internTeam(spec.team)};
    if (task.flow.team >= m_quotas.size()) {
        m_queue.setTeamShare(task.flow.team, m_rules.teamAt(task.flow.team).share);
        updateQuotas();
    }
    m_timers.add(spec.deadline, {spec.handle, 0, TimerQueue::Kind::Deadline});
    enqueue(task, false);
}

void Dispatcher::Core::enqueue(Task &task, bool isFirst)
{
    task.ticket = m_queue.push(task.flow,
                               {task.handle, task.urgency, task.isFromPeer, task.enqueuedAt,
                                estimateMs(task.flow.service)},
                               isFirst);
}

void Dispatcher::Core::dequeue(Task &task)
{
    if (task.ticket)
        m_queue.remove(*task.ticket);
    task.ticket.reset();
}

void Dispatcher::Core::cancel(TaskHandle handle, std::string_view reason)
{
    const auto it = m_tasks.find(handle);
    if (it == m_tasks.end() || it->second.isFinished)
        return;
    auto &task = it->second;
    if (task.ticket) {
        dequeue(task);
        finishWithoutReport(task, reason);
        eraseIfDone(task);
        return;
    }
    if (task.cancelReason.empty())
        task.cancelReason = reason;
    stopAttempts(task, reason);
}

void Dispatcher::Core::cancelAll(RequestKey key, std::string_view reason)
{
    const auto it = m_requests.find(key);
    if (it == m_requests.end())
        return;
    // A copy, because cancelling a task may erase it from the list.
    std::vector<TaskHandle> handles;
    for (const auto *task = it->second.first; task != nullptr; task = task->nextInRequest)
        handles.push_back(task->handle);
    // The list is in reverse order of submission.
    for (const auto handle : std::views::reverse(handles))
        cancel(handle, reason);
}

void Dispatcher::Core::stopAttempts(Task &task, std::string_view reason)
{
    for (auto &it : task.attempts) {
        if (it.isStopped)
            continue;
        it.isStopped = true;
        StopAttempt stop{task.handle, it.number, {}, {}, it.peer, reason};
        if (it.peer.empty()) {
            stop.target = m_registry.id(it.target);
            stop.address = m_registry.address(it.target);
        }
        m_actions.emplace_back(std::move(stop));
    }
}

void Dispatcher::Core::targetAnnounced(const TargetAnnouncement &announcement, Milliseconds now)
{
    const auto announced = m_registry.announce(
        announcement, [this](const std::string &name) { return m_rules.service(name); }, now);
    if (announced.isNew)
        m_health.targetAdded(announced.target);
    updateCap(announced.target, now);
}

void Dispatcher::Core::targetRemoved(const std::string &id) { m_registry.retire(id); }

void Dispatcher::Core::updateCap(TargetIndex target, Milliseconds now)
{
    m_registry.setCap(target, m_health.cap(target, now));
}

void Dispatcher::Core::attemptFinished(TaskHandle handle, const AttemptReport &report,
                                       Milliseconds now)
{
    const auto it = m_tasks.find(handle);
    if (it == m_tasks.end())
        return;
    auto &task = it->second;
    const auto attempt = std::ranges::find(task.attempts, report.attempt, &Attempt::number);
    // A repeated report of the same attempt is ignored.
    if (attempt == task.attempts.end())
        return;
    closeAttempt(task, static_cast<std::size_t>(attempt - task.attempts.begin()), report, now);
    if (!task.isFinished)
        afterReport(task, report);
    eraseIfDone(task);
}

void Dispatcher::Core::forwardFinished(TaskHandle handle, const AttemptReport &report,
                                       Milliseconds now)
{
    const auto it = m_tasks.find(handle);
    if (it == m_tasks.end())
        return;
    const auto &attempts = it->second.attempts;
    const auto attempt = std::ranges::find(attempts, report.attempt, &Attempt::number);
    if (attempt != attempts.end() && !attempt->peer.empty()) {
        if (report.peerFreeSlots >= 0 || report.outcome == AttemptOutcome::NotStarted)
            m_peers.freeSlotsReported(attempt->peer, it->second.flow.service,
                                      static_cast<double>(std::max(report.peerFreeSlots, 0L)));
        attemptFinished(handle, report, now);
    }
}

void Dispatcher::Core::closeAttempt(Task &task, std::size_t position, const AttemptReport &report,
                                    Milliseconds now)
{
    const auto attempt = std::move(task.attempts[position]);
    task.attempts.erase(task.attempts.begin() + static_cast<std::ptrdiff_t>(position));
    const auto isStarted = report.outcome != AttemptOutcome::NotStarted;
    const auto isMeasured =
        report.outcome == AttemptOutcome::Completed && report.runTime > Milliseconds{0};
    const auto used = isMeasured ? report.runTime : now - attempt.startedAt;
    m_queue.settle(task.flow, attempt.chargedMs, isStarted ? used.count() : 0);
    if (!isStarted)
        --task.started;
    task.hasUnknown = task.hasUnknown || report.outcome == AttemptOutcome::Unknown;
    if (!task.isFinished && task.attempts.empty())
        --m_running;
    if (report.outcome == AttemptOutcome::Completed)
        service(task.flow.service).retries.earn();
    if (!attempt.peer.empty())
        return;
    m_queue.slotReleased(task.flow);
    if (report.outcome == AttemptOutcome::Unknown)
        m_registry.markOutcomeUnknown(attempt.target, attempt.key);
    else
        m_registry.releaseSlot(attempt.target, attempt.key);
    if (isMeasured)
        service(task.flow.service).runTimes.add(report.runTime);
    updateTargetHealth(task, attempt, report, now);
}

void Dispatcher::Core::updateTargetHealth(Task &task, const Attempt &attempt,
                                          const AttemptReport &report, Milliseconds now)
{
    if (attempt.isTrial)
        m_health.trialEnded(attempt.target);
    // The failure of a stopped attempt is no evidence against its target.
    if (report.outcome == AttemptOutcome::Completed)
        m_health.completed(attempt.target, task.flow.service, attempt.startedAt);
    else if (report.outcome == AttemptOutcome::NotStarted)
        m_health.notStarted(attempt.target, now);
    else if (!attempt.isStopped)
        recordTargetFailure(task, attempt, now);
    updateCap(attempt.target, now);
}

void Dispatcher::Core::recordTargetFailure(Task &task, const Attempt &attempt, Milliseconds now)
{
    auto &request = *task.request;
    if (m_health.isOnProbation(attempt.target)) {
        (void)m_health.failed(attempt.target, task.flow.service, true, attempt.startedAt, now);
        return;
    }
    // Each request counts as evidence against at most one target. If it fails on another target as
    // well, the request is at fault and the evidence is withdrawn.
    if (request.scoreIncrease > 0) {
        if (request.failedTarget != attempt.target) {
            m_health.revertFailure(request.failedTarget, request.scoreIncrease);
            updateCap(request.failedTarget, now);
            request.scoreIncrease = -1;
        }
        return;
    }
    if (request.scoreIncrease < 0)
        return;
    std::uint32_t probationCount = 0;
    for (const auto it : m_health.limitedTargets())
        probationCount += m_health.isOnProbation(it) && m_registry.isUsable(it)
                && m_registry.canOffer(it, task.flow.service)
            ? 1
            : 0;
    const auto isProbationAllowed =
        (probationCount + 1) * 2 <= m_registry.usableTargets(task.flow.service);
    request.failedTarget = attempt.target;
    request.scoreIncrease = m_health.failed(attempt.target, task.flow.service, isProbationAllowed,
                                            attempt.startedAt, now);
}

bool Dispatcher::Core::mayResend(const Task &task) const
{
    if (!task.cancelReason.empty() || task.attemptCount >= MaxAttempts || task.isFromPeer)
        return false;
    return task.started == 0 || (task.isRepeatable && !task.isJobTask);
}

bool Dispatcher::Core::tryRetry(Task &task, AttemptOutcome outcome)
{
    if (!mayResend(task))
        return false;
    if (outcome != AttemptOutcome::NotStarted) {
        auto &budget = service(task.flow.service).retries;
        if (!budget.canSpend())
            return false;
        budget.spend();
        ++m_stats.retries;
    }
    enqueue(task, true);
    return true;
}

void Dispatcher::Core::afterReport(Task &task, const AttemptReport &report)
{
    if (report.outcome == AttemptOutcome::Completed) {
        stopAttempts(task, "answered");
        finish(task, Outcome::Completed, report.attempt, report.reason);
        return;
    }
    // Another attempt (the original or its hedge) may still complete.
    if (!task.attempts.empty() || tryRetry(task, report.outcome))
        return;
    const auto reason = !task.cancelReason.empty() ? std::string(task.cancelReason) : report.reason;
    if (task.started == 0)
        finish(task, Outcome::NotRun, 0, reason);
    else if (task.hasUnknown)
        finish(task, Outcome::Unknown, 0, reason);
    else
        finish(task, Outcome::Failed, report.outcome == AttemptOutcome::Failed ? report.attempt : 0,
               reason);
}

void Dispatcher::Core::finishWithoutReport(Task &task, std::string_view reason)
{
    const auto outcome = task.started == 0 ? Outcome::NotRun
        : task.hasUnknown                  ? Outcome::Unknown
                                           : Outcome::Failed;
    finish(task, outcome, 0, std::string(reason));
}

void Dispatcher::Core::finish(Task &task, Outcome outcome, std::uint32_t attempt,
                              std::string reason)
{
    CAMPHOR_ASSERT(!task.isFinished && !task.ticket);
    CAMPHOR_ASSERT(outcome != Outcome::NotRun || task.started == 0);
    if (!task.attempts.empty())
        --m_running;
    task.isFinished = true;
    ++m_stats.finished;
    recordFinished(task, outcome, reason);
    // A job with a task that did not complete has no result, so its other tasks are cancelled. Only
    // the entry that accepted the job decides this.
    auto &request = *task.request;
    if (outcome != Outcome::Completed && task.isJobTask && !task.isFromPeer && !request.isFailing) {
        request.isFailing = true;
        m_failedJobs.push_back(request.key);
    }
    m_actions.emplace_back(
        FinishTask{task.handle, outcome, attempt, std::move(reason), task.started});
}

void Dispatcher::Core::eraseIfDone(Task &task)
{
    if (!task.isFinished || !task.attempts.empty())
        return;
    auto &request = *task.request;
    (task.previousInRequest == nullptr ? request.first : task.previousInRequest->nextInRequest) =
        task.nextInRequest;
    if (task.nextInRequest != nullptr)
        task.nextInRequest->previousInRequest = task.previousInRequest;
    if (request.first == nullptr)
        m_requests.erase(request.key);
    m_tasks.erase(m_tasks.find(task.handle));
}

void Dispatcher::Core::cancelFailedJobs()
{
    while (!m_failedJobs.empty()) {
        const auto key = m_failedJobs.back();
        m_failedJobs.pop_back();
        cancelAll(key, "job-failed");
    }
}

void Dispatcher::Core::recordFinished(const Task &task, Outcome outcome, const std::string &reason)
{
    if (m_finished.size() < MaxFinishedTasks)
        m_finished.resize(MaxFinishedTasks);
    // Assigned member by member, so that the strings reuse their memory.
    auto &entry = m_finished[m_nextFinished++ % MaxFinishedTasks];
    entry.request = task.request->key;
    entry.explanation.taskIndex = task.taskIndex;
    entry.explanation.state = outcomeName(outcome);
    entry.explanation.reason = reason;
    entry.explanation.place = placeOf(task);
    entry.explanation.attempts = task.attemptCount;
    entry.explanation.since = task.since;
}

std::string Dispatcher::Core::placeOf(const Task &task) const
{
    if (task.lastPeer != nullptr)
        return *task.lastPeer;
    return task.avoid.empty() ? std::string() : m_registry.id(task.avoid.back());
}

void Dispatcher::Core::deadlinePassed(Task &task, Milliseconds now)
{
    if (task.ticket) {
        ++m_stats.expired;
        dequeue(task);
        finishWithoutReport(task, "deadline-passed");
        return;
    }
    // If the task expired in the queue of the peer, the peer's report may still be in flight.
    if (task.attempts.size() == 1 && !task.attempts.front().peer.empty()
        && now < task.deadline + ForwardGrace) {
        m_timers.add(task.deadline + ForwardGrace, {task.handle, 0, TimerQueue::Kind::Deadline});
        return;
    }
    ++m_stats.expired;
    // An attempt that ran for more than four times the 95th percentile counts as a failure of its
    // target, not as a deadline that was too short.
    for (const auto &it : task.attempts) {
        const auto &runTimes = m_serviceStates[task.flow.service].runTimes;
        if (it.peer.empty() && !it.isStopped && runTimes.isLearned()
            && now - it.startedAt > runTimes.p95() * 4) {
            recordTargetFailure(task, it, now);
            updateCap(it.target, now);
        }
    }
    stopAttempts(task, "deadline-passed");
    finish(task, Outcome::Unknown, 0, "deadline-passed");
}

void Dispatcher::Core::runTimers(Milliseconds now)
{
    for (const auto &timer : m_timers.takeDue(now)) {
        const auto it = m_tasks.find(timer.handle);
        if (it == m_tasks.end() || it->second.isFinished)
            continue;
        if (timer.kind == TimerQueue::Kind::Deadline) {
            deadlinePassed(it->second, now);
            eraseIfDone(it->second);
        } else {
            tryHedge(it->second, timer.attempt, now);
        }
    }
}

void Dispatcher::Core::tick(Milliseconds now)
{
    (void)m_registry.expire(now);
    for (const auto it : m_health.takeEndedPauses(now))
        updateCap(it, now);
    runTimers(now);
    const auto second = static_cast<std::int64_t>(now.count() / 1000);
    while (!m_receivedExpiry.empty() && m_receivedExpiry.begin()->first < second) {
        for (const auto key : m_receivedExpiry.begin()->second)
            m_receivedAttempts.erase(key);
        m_receivedExpiry.erase(m_receivedExpiry.begin());
    }
    forwardToShorterQueues(now);
    pullTasks(now);
}

void Dispatcher::Core::peerDigest(const Digest &digest, Milliseconds now)
{
    if (digest.instance == m_settings.instance)
        return;
    const auto isNew = m_peers.find(digest.instance) == nullptr;
    m_peers.digestReceived(digest, m_settings.pool, m_rules);
    if (isNew)
        updateQuotas();
    pullTasks(now);
}

void Dispatcher::Core::peerUnusable(const std::string &instance)
{
    m_peers.peerUnusable(instance);
    updateQuotas();
}

void Dispatcher::Core::setOtherPools(const std::vector<PoolDigest> &pools)
{
    m_usableOtherServices.clear();
    for (const auto &pool : pools)
        for (const auto &it : pool.services)
            if (it.slots > 0)
                m_usableOtherServices.push_back(it.service);
}

void Dispatcher::Core::startDraining(Milliseconds now)
{
    m_isDraining = true;
    forwardToShorterQueues(now);
}

Actions Dispatcher::Core::finishStep(Milliseconds now)
{
    cancelFailedJobs();
    startLocal(now);
    forwardToFreePeers(now);
    cancelFailedJobs();
    return std::exchange(m_actions, {});
}

PoolDigest Dispatcher::Core::digest(Milliseconds /*now*/) const
{
    PoolDigest digest;
    digest.pool = m_settings.pool;
    digest.slots = m_registry.slots();
    digest.targets = m_registry.usableTargets();
    digest.queuedTasks = m_queue.size();
    digest.queuedSlotMs = m_queue.queuedMs();
    digest.freeSlots = m_isDraining || m_queue.size() > 0 ? 0 : m_registry.freeSlots();
    for (std::uint32_t n = 0; n < m_rules.serviceCount(); ++n) {
        if (m_rules.declared(n) == nullptr)
            continue;
        const auto free = m_registry.freeSlots(n);
        const auto isOffered = !m_isDraining && m_queue.size(n) == 0;
        digest.services.push_back({m_rules.serviceName(n), isOffered ? free : 0,
                                   m_registry.slots(n), m_queue.size(n),
                                   m_serviceStates[n].runTimes.mean().count()});
    }
    m_queue.forEachBacklogged([&](FlowId flow) {
        digest.waiting.push_back({m_rules.serviceName(flow.service), m_rules.teamAt(flow.team).name,
                                  localWait(flow).count()});
    });
    std::ranges::sort(digest.waiting, std::greater{}, &FlowDigest::waitMs);
    digest.waiting.resize(std::min(digest.waiting.size(), ListedFlows));
    return digest;
}

DispatcherStats Dispatcher::Core::stats() const
{
    auto stats = m_stats;
    stats.queuedTasks = m_queue.size();
    stats.queuedSlotMs = m_queue.queuedMs();
    stats.runningTasks = m_running;
    stats.targets = m_registry.usableTargets();
    stats.targetsOnProbation = m_health.probationCount();
    stats.slots = m_registry.slots();
    stats.freeSlots = m_registry.freeSlots();
    return stats;
}

std::vector<TaskExplanation> Dispatcher::Core::explain(const std::string &requestId) const
{
    std::vector<TaskExplanation> tasks;
    for (const auto &it : m_finished)
        if (it.request == attemptKey(requestId))
            tasks.push_back(it.explanation);
    const auto request = m_requests.find(attemptKey(requestId));
    if (request == m_requests.end())
        return tasks;
    for (const auto *it = request->second.first; it != nullptr; it = it->nextInRequest) {
        const auto &task = *it;
        if (task.isFinished)
            continue;
        const auto isForwarded = !task.attempts.empty() && !task.attempts.front().peer.empty();
        const auto *state = task.ticket  ? "queued"
            : !task.cancelReason.empty() ? "stopping"
            : isForwarded                ? "forwarded"
                                         : "running";
        tasks.push_back({task.taskIndex, state, std::string(task.lastDecision), placeOf(task),
                         task.attemptCount, task.since});
    }
    return tasks;
}

std::vector<std::string> Dispatcher::Core::runningAttempts(const std::string &targetId) const
{
    std::vector<std::string> attempts;
    const auto target = m_registry.find(targetId);
    for (const auto &[handle, task] : m_tasks)
        for (const auto &it : task.attempts)
            if (target && it.peer.empty() && it.target == *target)
                attempts.push_back(attemptId(task.request->id, task.taskIndex, it.number));
    return attempts;
}

} // namespace Camphor
