#include "RunScheduler.h"

#include "TaskName.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace Camphor {

namespace {

/// Pause before a waiting job is offered to other cells again.
constexpr Milliseconds OfferPause{25};
/// Runs of one task beyond its allowed failures: lost leases and refused starts are not its fault.
constexpr std::uint64_t ExtraRuns = 6;
/// What a caller is told when there is no usable instance.
constexpr std::uint32_t NoInstanceRetryMs = 1'000;
/// Least time before a refused caller should come back.
constexpr std::uint32_t MinRetryMs = 500;

/// Whether an instance serves a service, under any holder.
bool servesNow(const InstanceReport &report, const std::string &service)
{
    return report.service == service && report.state != InstanceState::Gone;
}

} // namespace

// --- Beliefs

void RunScheduler::configure(std::shared_ptr<const FleetConfiguration> configuration)
{
    m_configuration = std::move(configuration);
    // Configurations come and go by the thousand; what was learned of a removed queue goes with it.
    std::erase_if(m_served,
                  [&](const auto &it) { return m_configuration->find(it.first) == nullptr; });
    m_runTimes.retain(
        [&](const std::string &queue) { return m_configuration->find(queue) != nullptr; });
}

void RunScheduler::setInstances(const std::map<std::string, InstanceReport> &instances,
                                const std::map<std::string, std::uint64_t> &heldTokens,
                                Milliseconds now)
{
    m_known = instances;
    m_health.retain([this](const std::string &id) { return m_known.contains(id); });
    for (const auto &[id, report] : instances) {
        const auto token = heldTokens.find(id);
        if (token == heldTokens.end())
            continue;
        auto present = m_instances.find(id);
        if (present != m_instances.end()) {
            present->second.update(report, now);
            present->second.raiseToken(token->second);
            collectResults(present->second, now);
        } else if (report.state != InstanceState::Gone) {
            m_instances.emplace(id, LeasedInstance(report, token->second, m_settings.lease));
        }
    }
    std::vector<std::string> lost;
    for (const auto &[id, instance] : m_instances) {
        if (!heldTokens.contains(id))
            lost.push_back(id);
    }
    for (const auto &id : lost) {
        m_instances.at(id).fence();
        collectResults(m_instances.at(id), now);
        m_instances.erase(id);
    }
}

LeasedInstance *RunScheduler::find(const InstanceKey &key)
{
    const auto it = m_instances.find(key.id);
    return it == m_instances.end() ? nullptr : &it->second;
}

std::size_t RunScheduler::usableInstances(Milliseconds now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_instances, [&](const auto &it) { return it.second.isUsable(now); }));
}

void RunScheduler::dropInstance(const std::string &id, Milliseconds now)
{
    auto &instance = m_instances.at(id);
    instance.endAll(now);
    collectResults(instance, now);
    m_instances.erase(id);
    m_health.forget(id);
}

void RunScheduler::note(ScheduleEvent event) { m_events.push_back(std::move(event)); }

// --- Jobs

RunScheduler::Job RunScheduler::makeJob(const FleetJob &job, const QueueRule &rule,
                                        const std::string &requester, Milliseconds now) const
{
    Job made;
    made.job = job;
    made.rule = rule;
    made.requester = requester;
    made.arrivedAt = made.nextOfferAt = now;
    std::vector<Milliseconds> chains;
    Milliseconds longest{0};
    for (const auto &step : job.steps) {
        Milliseconds before{0};
        for (const auto earlier : step.dependsOn)
            before = std::max(before, chains.at(earlier));
        chains.push_back(before + expectedTime(made, step));
        longest = std::max(longest, chains.back());
        made.tasks.emplace_back(step.taskCount);
        made.done.push_back(0);
    }
    const auto objective = longest * rule.stretch + Milliseconds{double(rule.targetMs)};
    made.objectiveAt = now + objective;
    made.startBy = now + std::min(objective - longest, objective * m_settings.maxWaitShare);
    made.hasTail = std::ranges::any_of(
        m_instances, [&](const auto &it) { return it.second.runsWithPrefix(job.id + '.') > 0; });
    return made;
}

Milliseconds RunScheduler::expectedTime(const Job &job, const JobStep &step) const
{
    return m_runTimes.expect(job.rule.name, Milliseconds{double(step.estimatedMs)});
}

bool RunScheduler::canEverRun(const Job &job) const
{
    return std::ranges::all_of(job.job.steps, [&](const JobStep &step) {
        return std::ranges::any_of(m_known, [&](const auto &it) {
            const auto &report = it.second;
            return servesNow(report, job.rule.service) && step.demand.fitsInto(report.capacity)
                && (step.requiredLabel.empty() || report.hasLabel(step.requiredLabel));
        });
    });
}

Admission RunScheduler::submit(const FleetJob &job, const std::string &requester, bool mustStartNow,
                               Milliseconds now)
{
    hearRequester(requester, now);
    if (const auto it = m_outcomes.find(job.id); it != m_outcomes.end()) {
        m_results.push_back({job.id, it->second.outcome});
        note({ScheduleEvent::Kind::Joined, job.id, {}, {}, "remembered-outcome"});
        return Admission::Taken;
    }
    if (const auto it = m_jobs.find(job.id); it != m_jobs.end()) {
        it->second.requester = requester;
        note({ScheduleEvent::Kind::Joined, job.id, {}, {}, "running-job"});
        return Admission::Taken;
    }
    const auto *rule = m_configuration ? m_configuration->find(job.queue) : nullptr;
    if (rule == nullptr) {
        m_results.push_back({job.id, {JobVerdict::NotRun, "unknown-queue", NoInstanceRetryMs}});
        return Admission::Taken;
    }
    auto made = makeJob(job, *rule, requester, now);
    const bool isKnownService = std::ranges::any_of(
        m_known, [&](const auto &it) { return servesNow(it.second, rule->service); });
    if (!isKnownService) {
        m_results.push_back({job.id, {JobVerdict::NotRun, "no-instance", NoInstanceRetryMs}});
        return Admission::Taken;
    }
    if (!canEverRun(made)) {
        m_results.push_back({job.id, {JobVerdict::NotRun, "no-instance-can-hold-a-task", 0}});
        return Admission::Taken;
    }
    if (mustStartNow && !canStartAll(made, now))
        return Admission::NoRoomNow;
    joinFairOrder(job.queue);
    auto &kept = m_jobs.emplace(job.id, std::move(made)).first->second;
    kept.isFromPeer = mustStartNow;
    if (mustStartNow)
        (void)startTasks(kept, now);
    return Admission::Taken;
}

void RunScheduler::cancel(const std::string &jobId, Milliseconds now)
{
    const auto it = m_jobs.find(jobId);
    if (it == m_jobs.end())
        return;
    abandonRuns(it->second, now);
    m_jobs.erase(it);
}

void RunScheduler::hearRequester(const std::string &requester, Milliseconds now)
{
    if (!requester.empty())
        m_requesters[requester] = now;
}

std::vector<FleetJob> RunScheduler::takeOffers(Milliseconds now)
{
    std::vector<FleetJob> offers;
    for (auto &[id, job] : m_jobs) {
        if (job.hasStarted || job.isOffered || job.isFromPeer || now < job.nextOfferAt)
            continue;
        job.isOffered = true;
        offers.push_back(job.job);
    }
    return offers;
}

void RunScheduler::handOver(const std::string &jobId, const JobOutcome &outcome)
{
    if (m_jobs.erase(jobId) > 0)
        m_results.push_back({jobId, outcome});
}

void RunScheduler::takeBack(const std::string &jobId, Milliseconds now)
{
    const auto it = m_jobs.find(jobId);
    if (it == m_jobs.end())
        return;
    it->second.isOffered = false;
    it->second.nextOfferAt = now + OfferPause;
}

void RunScheduler::abandonRuns(Job &job, Milliseconds now)
{
    for (std::size_t step = 0; step < job.tasks.size(); ++step) {
        for (std::size_t index = 0; index < job.tasks[step].size(); ++index) {
            const auto &task = job.tasks[step][index];
            if (task.state != Task::State::Running)
                continue;
            const auto it = m_instances.find(task.instance);
            if (it != m_instances.end())
                it->second.abandon({taskName(job.job.id, step, index), task.runs}, now);
        }
    }
}

void RunScheduler::finish(const std::string &jobId, JobOutcome outcome, Milliseconds now)
{
    // The node keeps the job until the end of this call, because the id may be the job's own.
    auto node = m_jobs.extract(jobId);
    if (node.empty())
        return;
    abandonRuns(node.mapped(), now);
    const bool isFinal =
        outcome.verdict == JobVerdict::Completed || outcome.verdict == JobVerdict::Failed;
    if (isFinal && m_outcomes.size() < m_settings.maxOutcomes)
        m_outcomes[jobId] = {outcome, now};
    m_results.push_back({jobId, std::move(outcome)});
}

// --- Refusals

void RunScheduler::refuseLateJobs(Milliseconds now)
{
    std::vector<std::string> late;
    for (const auto &[id, job] : m_jobs) {
        if (!job.hasStarted && !job.isOffered && now >= job.startBy)
            late.push_back(id);
    }
    for (const auto &id : late) {
        const auto waited = now - m_jobs.at(id).arrivedAt;
        note({ScheduleEvent::Kind::Refused, id, {}, {}, "no-room-in-time", waited.count()});
        finish(id, {JobVerdict::NotRun, "no-room-in-time", MinRetryMs}, now);
    }
}

// --- Answers

void RunScheduler::onStartReply(const StartOrder &order, const OrderReply &reply, Milliseconds now)
{
    auto *instance = find(order.target.instance);
    if (instance == nullptr)
        return;
    if (reply.result != OrderResult::Accepted)
        note({ScheduleEvent::Kind::Ended,
              {},
              order.key,
              order.target.instance.id,
              orderResultName(reply.result)});
    instance->onStartReply(order.key, reply, now);
    collectResults(*instance, now);
}

void RunScheduler::onStopReply(const StopOrder &order, const OrderReply &reply, Milliseconds now)
{
    auto *instance = find(order.target.instance);
    if (instance == nullptr)
        return;
    instance->onStopReply(order.key, reply, now);
    collectResults(*instance, now);
}

void RunScheduler::onHoldReply(const HoldOrder &order, const HoldReply &reply, Milliseconds now)
{
    auto *instance = find(order.target.instance);
    if (instance == nullptr)
        return;
    instance->onHoldReply(order.serial, reply, now);
    collectResults(*instance, now);
}

void RunScheduler::collectResults(LeasedInstance &instance, Milliseconds now)
{
    for (const auto &result : instance.takeResults())
        onRunResult(instance, result, now);
}

void RunScheduler::onRunResult(const LeasedInstance &instance, const RunResult &result,
                               Milliseconds now)
{
    const auto place = parseTaskName(result.key.task);
    const auto it = place ? m_jobs.find(place->jobId) : m_jobs.end();
    if (it == m_jobs.end())
        return;
    auto &job = it->second;
    if (place->step >= job.tasks.size() || place->index >= job.tasks[place->step].size())
        return;
    auto &task = job.tasks[place->step][place->index];
    if (task.state != Task::State::Running || task.runs != result.key.run)
        return;
    const auto id = instance.report().key.id;
    note({ScheduleEvent::Kind::Ended, job.job.id, result.key, id, runEndName(result.end),
          result.elapsed.count(), result.end});
    task.state = Task::State::Waiting;
    if (result.end == RunEnd::Done) {
        task.state = Task::State::Done;
        const auto &step = job.job.steps[place->step];
        const auto expected = std::max(Milliseconds{1}, expectedTime(job, step));
        m_health.onDone(id, result.elapsed.count() / expected.count(), now);
        m_runTimes.learn(job.rule.name, Milliseconds{double(step.estimatedMs)}, result.elapsed);
        ++job.done[place->step];
        const bool isDone = std::ranges::equal(job.done, job.job.steps, {}, {},
                                               [](const JobStep &it) { return it.taskCount; });
        if (isDone)
            finish(place->jobId, {JobVerdict::Completed, "", 0}, now);
    } else if (instance.isFenced()) {
        finish(place->jobId, {JobVerdict::Unknown, "cell-moved", 0}, now);
    } else if (result.end == RunEnd::Failed) {
        onTaskFailed(job, task, id, result.key, now);
    } else if (task.runs >= job.rule.maxAttempts + ExtraRuns) {
        finish(place->jobId, {JobVerdict::Unknown, "task-lost-too-often", 0}, now);
    } else if (result.end == RunEnd::Lapsed) {
        task.avoid.push_back(id);
    }
}

void RunScheduler::onTaskFailed(Job &job, Task &task, const std::string &instance,
                                const RunKey &key, Milliseconds now)
{
    ++task.failures;
    m_health.onFailed(instance, now);
    // A task that fails in two places is at fault itself.
    if (task.failures > 1) {
        m_health.onTaskAtFault(instance);
        if (task.failures == 2 && !task.avoid.empty())
            m_health.onTaskAtFault(task.avoid.back());
    }
    note({ScheduleEvent::Kind::Blamed, job.job.id, key, instance,
          m_health.isTrusted(instance) ? "trusted" : "probation", double(task.failures)});
    task.avoid.push_back(instance);
    if (task.failures >= job.rule.maxAttempts)
        finish(job.job.id, {JobVerdict::Failed, "task-failed", 0}, now);
}

// --- Time

void RunScheduler::dropLostRequesters(Milliseconds now)
{
    std::set<std::string> lost;
    for (const auto &[requester, heardAt] : m_requesters) {
        if (now - heardAt > m_settings.requesterSilence)
            lost.insert(requester);
    }
    if (lost.empty())
        return;
    for (const auto &requester : lost)
        m_requesters.erase(requester);
    std::vector<std::string> orphans;
    for (const auto &[id, job] : m_jobs) {
        if (lost.contains(job.requester))
            orphans.push_back(id);
    }
    for (const auto &id : orphans) {
        note({ScheduleEvent::Kind::Refused, id, {}, {}, "requester-lost"});
        // A requester that was only slow must not wait for an outcome that never comes.
        finish(id, {JobVerdict::Unknown, "requester-lost", 0}, now);
    }
}

void RunScheduler::restartStalledRuns(Milliseconds now)
{
    for (auto &[id, instance] : m_instances) {
        for (const auto &key : instance.stalledRuns(m_settings.stall)) {
            note({ScheduleEvent::Kind::Stalled, {}, key, id, "no-progress"});
            m_health.onFailed(id, now);
            instance.abandon(key, now);
        }
    }
}

void RunScheduler::advance(Milliseconds now)
{
    const bool stoodStill = m_dueAt && now - *m_dueAt > m_settings.standstill;
    for (auto &[id, instance] : m_instances) {
        if (stoodStill)
            instance.invalidate();
        instance.expireLeases(now);
        collectResults(instance, now);
    }
    if (stoodStill) {
        // Requesters could not be heard while this process stood still.
        for (auto &[requester, heardAt] : m_requesters)
            heardAt = now;
        note({ScheduleEvent::Kind::Stalled,
              {},
              {},
              {},
              "process-stood-still",
              (now - *m_dueAt).count()});
    }
    std::vector<std::string> ended;
    for (const auto &[id, instance] : m_instances) {
        if (instance.isAnotherLife()
            || (instance.report().state == InstanceState::Gone && instance.runCount() == 0))
            ended.push_back(id);
    }
    for (const auto &id : ended)
        dropInstance(id, now);
    dropLostRequesters(now);
    restartStalledRuns(now);
    startWaitingJobs(now);
    refuseLateJobs(now);
    std::erase_if(m_outcomes,
                  [&](const auto &it) { return now - it.second.at > m_settings.outcomeMemory; });
    for (auto &[id, instance] : m_instances) {
        std::ranges::move(instance.nextStops(now), std::back_inserter(m_stops));
        if (auto order = instance.nextHold(now))
            m_holds.push_back(std::move(*order));
    }
    m_dueAt = nextDeadline(now);
}

Milliseconds RunScheduler::nextDeadline(Milliseconds now) const
{
    constexpr Milliseconds Idle{1'000};
    constexpr Milliseconds BusyTick{100};
    auto deadline = now + (m_jobs.empty() ? Idle : BusyTick);
    for (const auto &[id, instance] : m_instances)
        deadline = std::min(deadline, instance.nextDeadline(now));
    for (const auto &[id, job] : m_jobs) {
        if (!job.hasStarted && !job.isOffered)
            deadline = std::min(deadline, job.startBy);
    }
    return std::max(deadline, now);
}

} // namespace Camphor
