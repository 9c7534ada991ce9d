#include "RunScheduler.h"

#include "FleetProtocol.h"
#include "TaskName.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <utility>

namespace Camphor {

namespace {

/// Runs of a task beyond its allowed failures, because lost leases and refused starts are not
/// failures of the task.
constexpr std::uint64_t ExtraRuns = 6;
/// Retry delay for callers when there is no usable instance.
constexpr std::uint32_t NoInstanceRetryMs = 1'000;
/// Jobs reach their holder within this time unless something was down.
constexpr Milliseconds MaxRoutineWait{25};
/// Minimum retry delay for refused callers.
constexpr std::uint32_t MinRetryMs = 500;
/// The outcome of a job whose task is at fault. Not a failure of the job: a loss may also be a cut
/// of the instance, on which the task went on.
JobOutcome taskAtFault() { return {JobVerdict::Unknown, "task-crashes-instances", 0}; }

/// Whether an instance currently serves a service, under any holder.
bool servesNow(const InstanceReport &report, const std::string &service)
{
    return report.service == service && report.state != InstanceState::Gone;
}

ScheduleEvent eventOf(const InstanceNotice &notice, const std::string &instance)
{
    switch (notice.kind) {
    case InstanceNotice::Kind::UnknownRun:
        return {ScheduleEvent::Kind::UnknownRun, {}, notice.run, instance, "listed"};
    case InstanceNotice::Kind::Abandoned:
        return {ScheduleEvent::Kind::Abandoned,
                {},
                notice.run,
                instance,
                abandonReasonName(notice.reason),
                notice.elapsed.count()};
    case InstanceNotice::Kind::Restarted:
        break;
    }
    return {ScheduleEvent::Kind::InstanceRestarted, {}, {}, instance, "later-incarnation",
            static_cast<double>(notice.endedRuns)};
}

} // namespace

// --- Configuration and instances

void RunScheduler::configure(std::shared_ptr<const FleetConfiguration> configuration)
{
    m_configuration = std::move(configuration);
    // The configuration can change thousands of times, so the state of removed queues is discarded.
    std::erase_if(m_virtualTimes,
                  [&](const auto &it) { return m_configuration->find(it.first) == nullptr; });
    m_runTimes.retain(
        [&](const std::string &queue) { return m_configuration->find(queue) != nullptr; });
}

void RunScheduler::setInstances(const std::map<std::string, InstanceReport> &instances,
                                const std::map<std::string, std::uint64_t> &heldTokens,
                                Milliseconds now)
{
    m_knownInstances = instances;
    const auto isKnown = [this](const std::string &id) { return m_knownInstances.contains(id); };
    m_health.retain(isKnown);
    m_speeds.retain(isKnown);
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
            m_instances.emplace(
                id, LeasedInstance(report, token->second, m_settings.lease, ++m_lastSession));
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
        eraseInstance(id);
    }
}

void RunScheduler::eraseInstance(const std::string &id)
{
    const auto node = m_instances.extract(id);
    m_lastSession = std::max(m_lastSession, node.mapped().session());
}

LeasedInstance *RunScheduler::find(const InstanceKey &key)
{
    const auto it = m_instances.find(key.id);
    return it == m_instances.end() ? nullptr : &it->second;
}

const RunScheduler::Job *RunScheduler::find(const JobKey &key) const
{
    const auto it = m_jobs.find(key.id);
    const bool isPresent = it != m_jobs.end() && it->second.submission == key.submission;
    return isPresent ? &it->second : nullptr;
}

RunScheduler::Job *RunScheduler::find(const JobKey &key)
{
    return const_cast<Job *>(std::as_const(*this).find(key));
}

std::size_t RunScheduler::usableInstances(Milliseconds now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_instances, [&](const auto &it) { return it.second.isUsable(now); }));
}

void RunScheduler::removeInstance(const std::string &id, Milliseconds now)
{
    auto &instance = m_instances.at(id);
    instance.endAll(now);
    collectResults(instance, now);
    eraseInstance(id);
    m_health.remove(id);
    m_speeds.remove(id);
}

void RunScheduler::onLocalLoss(const InstanceLoss &loss, Milliseconds now)
{
    if (!m_crashes.add(loss, now))
        return;
    m_newLosses.push_back(loss);
    for (const auto &task : loss.tasks)
        addEvent({ScheduleEvent::Kind::InstanceLost,
                  {},
                  {task, 0},
                  loss.instance.id,
                  taskSuspicionName(m_crashes.suspicion(task)),
                  static_cast<double>(loss.tasks.size())});
}

void RunScheduler::addLosses(const std::vector<InstanceLoss> &losses, Milliseconds now)
{
    for (const auto &loss : losses) {
        if (m_crashes.add(loss, now))
            endJobsAtFault(loss, now);
    }
}

void RunScheduler::endJobsAtFault(const InstanceLoss &loss, Milliseconds now)
{
    for (const auto &task : loss.tasks)
        endJobIfAtFault(task, now);
}

void RunScheduler::endJobIfAtFault(const std::string &task, Milliseconds now)
{
    if (m_crashes.suspicion(task) != TaskSuspicion::AtFault)
        return;
    const auto place = parseTaskName(task);
    const auto it = place ? m_jobs.find(place->jobId) : m_jobs.end();
    if (it == m_jobs.end())
        return;
    const auto &tasks = it->second.tasks;
    const bool isOpen = place->step < tasks.size() && place->index < tasks[place->step].size()
        && tasks[place->step][place->index].state != Task::State::Done;
    if (isOpen)
        finish(place->jobId, taskAtFault(), now);
}

void RunScheduler::addEvent(ScheduleEvent event) { m_events.push_back(std::move(event)); }

void RunScheduler::addRunEnd(const std::string &jobId, const RunOutcome &outcome)
{
    addEvent({ScheduleEvent::Kind::Ended, jobId, outcome.key, outcome.instance,
              runEndName(outcome.end), outcome.elapsedMs, outcome.end});
}

// --- Jobs

RunScheduler::Job RunScheduler::makeJob(const FleetJob &job, const QueueRule &rule,
                                        const std::string &requester, Milliseconds now) const
{
    Job pendingJob;
    pendingJob.job = job;
    pendingJob.rule = rule;
    pendingJob.requester = requester;
    pendingJob.arrivedAt = now - Milliseconds{job.waitedMs};
    pendingJob.nextOfferAt = now;
    std::vector<Milliseconds> pathLengths;
    Milliseconds criticalPath{0};
    for (const auto &step : job.steps) {
        Milliseconds startOffset{0};
        for (const auto earlier : step.dependsOn)
            startOffset = std::max(startOffset, pathLengths.at(earlier));
        pathLengths.push_back(startOffset + expectedTime(pendingJob, step));
        criticalPath = std::max(criticalPath, pathLengths.back());
        pendingJob.tasks.emplace_back(step.taskCount);
        pendingJob.done.push_back(0);
    }
    const auto objective = criticalPath * rule.stretch + Milliseconds{double(rule.targetMs)};
    pendingJob.responseDueAt = pendingJob.arrivedAt + objective;
    pendingJob.latestStart = pendingJob.responseDueAt - criticalPath;
    pendingJob.startDeadline = std::min(pendingJob.latestStart,
                                        pendingJob.arrivedAt + objective * m_settings.maxWaitShare);
    pendingJob.hasEarlierRuns = std::ranges::any_of(
        m_instances, [&](const auto &it) { return it.second.runsWithPrefix(job.id + '.') > 0; });
    return pendingJob;
}

Milliseconds RunScheduler::expectedTime(const Job &job, const JobStep &step) const
{
    return m_runTimes.estimate(job.rule.name, Milliseconds{double(step.estimatedMs)});
}

bool RunScheduler::canEverRun(const Job &job) const
{
    return std::ranges::all_of(job.job.steps, [&](const JobStep &step) {
        return std::ranges::any_of(m_knownInstances, [&](const auto &it) {
            const auto &report = it.second;
            return servesNow(report, job.rule.service) && !m_drains.contains(report.domain)
                && step.demand.fitsInto(report.capacity)
                && (step.requiredLabel.empty() || report.hasLabel(step.requiredLabel));
        });
    });
}

bool RunScheduler::isDrained() const
{
    return !m_instances.empty() && std::ranges::all_of(m_instances, [this](const auto &it) {
        return m_drains.contains(it.second.report().domain);
    });
}

JobKey RunScheduler::submit(const FleetJob &job, const std::string &requester, Milliseconds now)
{
    addRequester(requester, now);
    if (const auto it = m_jobs.find(job.id); it != m_jobs.end()) {
        it->second.requester = requester;
        addEvent({ScheduleEvent::Kind::Joined, job.id, {}, {}, "running-job"});
        return {job.id, it->second.submission};
    }
    JobKey key{job.id, ++m_lastSubmission};
    const auto refuse = [&](const char *reason, std::uint32_t retryAfterMs) {
        m_results.push_back({key, {JobVerdict::NotRun, reason, retryAfterMs}});
        return key;
    };
    if (const auto it = m_outcomes.find(job.id); it != m_outcomes.end()) {
        m_results.push_back({key, it->second});
        addEvent({ScheduleEvent::Kind::Joined, job.id, {}, {}, "remembered-outcome"});
        return key;
    }
    // An earlier submission of the job, maybe at another holder, has shown this.
    if (m_crashes.highestSuspicion(job.id + '.') == TaskSuspicion::AtFault) {
        m_results.push_back({key, taskAtFault()});
        return key;
    }
    const auto *rule = m_configuration ? m_configuration->find(job.queue) : nullptr;
    if (rule == nullptr)
        return refuse("unknown-queue", NoInstanceRetryMs);
    MemoryReservation memory(m_memory);
    if (!memory.resize(memoryOf(job)))
        return refuse("memory-limit", NoInstanceRetryMs);
    auto pendingJob = makeJob(job, *rule, requester, now);
    pendingJob.memory = std::move(memory);
    const bool isKnownService = std::ranges::any_of(
        m_knownInstances, [&](const auto &it) { return servesNow(it.second, rule->service); });
    if (!isKnownService)
        return refuse("no-instance", NoInstanceRetryMs);
    if (isDrained() && !pendingJob.hasEarlierRuns)
        return refuse(NotHolderReason, NoInstanceRetryMs);
    if (!canEverRun(pendingJob))
        return refuse("no-instance-can-hold-a-task",
                      m_drains.domains.empty() ? 0 : NoInstanceRetryMs);
    // After an outage, the jobs that have waited for its end would delay all that follow.
    if (Milliseconds{job.waitedMs} > MaxRoutineWait && now > pendingJob.latestStart)
        return refuse("waited-too-long", MinRetryMs);
    raiseVirtualTime(job.queue);
    pendingJob.submission = key.submission;
    m_jobs.emplace(job.id, std::move(pendingJob));
    return key;
}

void RunScheduler::cancel(const std::string &jobId, const std::string &requester,
                          Milliseconds wantedAt, Milliseconds now)
{
    const auto it = m_jobs.find(jobId);
    if (it == m_jobs.end() || it->second.requester != requester)
        return;
    it->second.wantedUntil = wantedAt;
    // The requester no longer waits for the job, but for the end of its call.
    finish(jobId, {JobVerdict::Unknown, "cancelled", 0}, now);
}

bool RunScheduler::isWanted(const JobKey &key, Milliseconds now) const
{
    const auto *job = find(key);
    if (job == nullptr || job->requester.empty())
        return job != nullptr;
    const auto contact = m_requesters.find(job->requester);
    return contact != m_requesters.end() && now - contact->second <= m_settings.requesterTimeout;
}

bool RunScheduler::wasPaused(Milliseconds now) const
{
    return m_dueAt && now - *m_dueAt > m_settings.pauseThreshold;
}

void RunScheduler::onRequesterContact(const std::string &requester, Milliseconds readAt)
{
    if (requester.empty())
        return;
    auto &lastContactAt = m_requesters.try_emplace(requester, readAt).first->second;
    lastContactAt = std::max(lastContactAt, readAt);
}

void RunScheduler::addRequester(const std::string &requester, Milliseconds now)
{
    if (!requester.empty())
        m_requesters.try_emplace(requester, now);
}

Milliseconds RunScheduler::lastWantedAt(const Job &job, Milliseconds now) const
{
    const auto contactAt = lastContactAt(job.requester, now);
    return std::min(contactAt, job.wantedUntil.value_or(contactAt));
}

Milliseconds RunScheduler::lastContactAt(const std::string &requester, Milliseconds now) const
{
    const auto it = m_requesters.find(requester);
    return it == m_requesters.end() ? now : it->second;
}

std::optional<Milliseconds> RunScheduler::lastWantedAt(const RunKey &key, Milliseconds now) const
{
    const auto accepted = m_acceptedRuns.find(key);
    if (accepted != m_acceptedRuns.end())
        return accepted->second.wantedAt;
    const auto place = parseTaskName(key.task);
    const auto job = place ? m_jobs.find(place->jobId) : m_jobs.end();
    return job == m_jobs.end() ? std::nullopt : std::optional(lastWantedAt(job->second, now));
}

Milliseconds RunScheduler::renewalLimit(const RunKey &key, Milliseconds now) const
{
    const auto wantedAt = lastWantedAt(key, now);
    return wantedAt ? renewalLimitOf(*wantedAt) : NoRenewalLimit;
}

Milliseconds RunScheduler::renewalLimit(const LeasedInstance &instance, Milliseconds now) const
{
    auto limit = NoRenewalLimit;
    for (const auto &key : instance.runKeys())
        limit = std::min(limit, renewalLimit(key, now));
    return limit;
}

void RunScheduler::abandonRuns(Job &job, Milliseconds now)
{
    std::map<std::string, StopRunsRequest> remote;
    const auto limit = renewalLimitOf(lastWantedAt(job, now));
    for (std::size_t step = 0; step < job.tasks.size(); ++step) {
        for (std::size_t index = 0; index < job.tasks[step].size(); ++index) {
            const auto &task = job.tasks[step][index];
            if (task.state != Task::State::Running)
                continue;
            const RunKey key{taskName(job.job.id, step, index), task.runs};
            if (!task.holder.empty()) {
                remote[task.holder].runs.push_back(key);
                continue;
            }
            const auto it = m_instances.find(task.instance);
            if (it != m_instances.end())
                it->second.abandon(key, AbandonReason::Unwanted, now, limit);
        }
    }
    for (auto &[holder, request] : remote) {
        request.job = {job.job.id, job.submission};
        m_remoteStops.push_back({holder, std::move(request)});
    }
}

void RunScheduler::finish(const std::string &jobId, JobOutcome outcome, Milliseconds now)
{
    // The extracted node keeps the job alive until the end of this call, because jobId may refer to
    // the job's own id.
    auto node = m_jobs.extract(jobId);
    if (node.empty())
        return;
    abandonRuns(node.mapped(), now);
    const bool isFinal =
        outcome.verdict == JobVerdict::Completed || outcome.verdict == JobVerdict::Failed;
    if (isFinal)
        storeOutcome(jobId, outcome, now);
    m_results.push_back({{jobId, node.mapped().submission}, std::move(outcome)});
}

void RunScheduler::storeOutcome(const std::string &jobId, const JobOutcome &outcome,
                                Milliseconds now)
{
    if (!m_outcomes.emplace(jobId, outcome).second)
        return;
    m_outcomeTimes.emplace_back(now, jobId);
    evictOutcomes(now);
}

void RunScheduler::evictOutcomes(Milliseconds now)
{
    // At the limit the oldest outcomes go: a resubmission follows its first submission soon.
    while (!m_outcomeTimes.empty()
           && (m_outcomes.size() > m_settings.maxOutcomes
               || now - m_outcomeTimes.front().first > m_settings.outcomeRetention)) {
        m_outcomes.erase(m_outcomeTimes.front().second);
        m_outcomeTimes.pop_front();
    }
}

// --- Refusals

void RunScheduler::refuseLateJobs(Milliseconds now)
{
    std::vector<std::string> late;
    for (const auto &[id, job] : m_jobs) {
        if (!job.hasStarted && !job.isOffered && now >= job.startDeadline)
            late.push_back(id);
    }
    for (const auto &id : late) {
        const auto waited = now - m_jobs.at(id).arrivedAt;
        addEvent({ScheduleEvent::Kind::Refused, id, {}, {}, "no-room-in-time", waited.count()});
        finish(id, {JobVerdict::NotRun, "no-room-in-time", MinRetryMs}, now);
    }
}

void RunScheduler::returnDrainedJobs(Milliseconds now)
{
    if (m_drains.domains.empty() || !isDrained())
        return;
    std::vector<std::string> returned;
    for (const auto &[id, job] : m_jobs) {
        // Another holder does not know of the runs of an earlier submission.
        if (!job.hasStarted && !job.isOffered && !job.hasEarlierRuns)
            returned.push_back(id);
    }
    for (const auto &id : returned) {
        const auto waited = now - m_jobs.at(id).arrivedAt;
        addEvent({ScheduleEvent::Kind::Refused, id, {}, {}, "domain-drained", waited.count()});
        finish(id, {JobVerdict::NotRun, NotHolderReason, NoInstanceRetryMs}, now);
    }
}

// --- Replies

void RunScheduler::onDisconnect(const std::string &address)
{
    for (auto &[id, instance] : m_instances) {
        if (instance.report().address == address)
            instance.onDisconnect();
    }
}

void RunScheduler::onStartReply(const StartOrder &order, const OrderReply &reply, Milliseconds now)
{
    auto *instance = find(order.target.instance);
    if (instance == nullptr)
        return;
    if (reply.result != OrderResult::Accepted)
        addEvent({ScheduleEvent::Kind::Ended,
                  {},
                  order.key,
                  order.target.instance.id,
                  orderResultName(reply.result)});
    instance->onStartReply(order.key, reply, now, order.target.session);
    collectResults(*instance, now);
}

void RunScheduler::onStopReply(const StopOrder &order, const OrderReply &reply, Milliseconds now)
{
    auto *instance = find(order.target.instance);
    if (instance == nullptr)
        return;
    instance->onStopReply(order.key, reply, now, order.target.session);
    collectResults(*instance, now);
}

void RunScheduler::onHoldReply(const HoldOrder &order, const HoldReply &reply, Milliseconds now)
{
    auto *instance = find(order.target.instance);
    if (instance == nullptr)
        return;
    if (!instance->isSuperseded(order.target))
        instance->onHoldReply(order.serial, reply, now);
    collectResults(*instance, now);
}

void RunScheduler::collectResults(LeasedInstance &instance, Milliseconds now)
{
    // The losses come first: they decide what follows the ends of the runs.
    const auto losses = instance.takeLosses();
    for (const auto &loss : losses)
        onLocalLoss(loss, now);
    for (const auto &result : instance.takeResults())
        onRunResult(instance, result, now);
    for (const auto &loss : losses)
        endJobsAtFault(loss, now);
    for (const auto &notice : instance.takeNotices()) {
        if (notice.kind == InstanceNotice::Kind::Restarted)
            m_speeds.remove(instance.report().key.id);
        addEvent(eventOf(notice, instance.report().key.id));
    }
}

std::optional<RunScheduler::TaskRef> RunScheduler::findTask(const RunKey &key)
{
    const auto place = parseTaskName(key.task);
    const auto it = place ? m_jobs.find(place->jobId) : m_jobs.end();
    if (it == m_jobs.end())
        return std::nullopt;
    auto &job = it->second;
    if (place->step >= job.tasks.size() || place->index >= job.tasks[place->step].size())
        return std::nullopt;
    auto &task = job.tasks[place->step][place->index];
    if (task.state != Task::State::Running || task.runs != key.run)
        return std::nullopt;
    return TaskRef{&job, place->step, &task};
}

void RunScheduler::onRunResult(const LeasedInstance &instance, const RunResult &result,
                               Milliseconds now)
{
    const RunOutcome outcome{result.key,
                             result.end,
                             instance.isFenced() && result.end != RunEnd::Done,
                             result.elapsed.count(),
                             instance.report().key.id,
                             m_crashes.suspicion(result.key.task)};
    if (m_acceptedRuns.contains(result.key))
        onAcceptedRunEnd(outcome, now);
    else if (const auto ref = findTask(result.key))
        onTaskEnd(*ref, outcome, now);
    else // An abandoned run of a job that has ended.
        addRunEnd({}, outcome);
}

void RunScheduler::onTaskEnd(const TaskRef &ref, const RunOutcome &outcome, Milliseconds now)
{
    auto &job = *ref.job;
    auto &task = *ref.task;
    // A copy, because the end of the job destroys it.
    const auto jobId = job.job.id;
    addRunEnd(jobId, outcome);
    const bool isLocal = task.holder.empty();
    task.suspicion = std::max(task.suspicion, outcome.suspicion);
    task.state = Task::State::Waiting;
    task.holder.clear();
    if (outcome.end == RunEnd::Done) {
        task.state = Task::State::Done;
        task.sample = sampleOf(job.rule.name, job.job.steps[ref.step], outcome);
        if (isLocal)
            addRunTime(job.rule.name, job.job.steps[ref.step], outcome, task.sample, now);
        ++job.done[ref.step];
        if (job.done[ref.step] == job.job.steps[ref.step].taskCount)
            addStepSpeeds(job.tasks[ref.step], now);
        const bool isDone = std::ranges::equal(job.done, job.job.steps, {}, {},
                                               [](const JobStep &it) { return it.taskCount; });
        if (isDone)
            finish(jobId, {JobVerdict::Completed, "", 0}, now);
    } else if (outcome.isUnknown) {
        finish(jobId, {JobVerdict::Unknown, "cell-moved", 0}, now);
    } else if (task.suspicion == TaskSuspicion::AtFault) {
        finish(jobId, taskAtFault(), now);
    } else if (outcome.end == RunEnd::Failed) {
        onTaskFailed(job, task, outcome.instance, outcome.key, now);
    } else if (task.runs >= job.rule.maxAttempts + ExtraRuns) {
        finish(jobId, {JobVerdict::Unknown, "task-lost-too-often", 0}, now);
    } else if (outcome.end == RunEnd::LeaseExpired) {
        task.avoid.push_back(outcome.instance);
    }
}

SpeedSample RunScheduler::sampleOf(const std::string &queue, const JobStep &step,
                                   const RunOutcome &outcome) const
{
    const Milliseconds declared{double(step.estimatedMs)};
    const auto expected = std::max(Milliseconds{1}, m_runTimes.estimate(queue, declared));
    return {outcome.instance, outcome.elapsedMs / expected.count()};
}

void RunScheduler::addRunTime(const std::string &queue, const JobStep &step,
                              const RunOutcome &outcome, const SpeedSample &sample,
                              Milliseconds now)
{
    // An instance that is always slow is not disturbed, so it is compared with its own past.
    const auto factor = m_speeds.factor(outcome.instance);
    m_health.onDone(outcome.instance, sample.ratio / factor, now);
    m_runTimes.addSample(queue, Milliseconds{double(step.estimatedMs)},
                         Milliseconds{outcome.elapsedMs / factor});
}

void RunScheduler::addStepSpeeds(const std::vector<Task> &tasks, Milliseconds now)
{
    if (!m_settings.learnsInstanceSpeeds)
        return;
    std::vector<SpeedSample> samples;
    std::ranges::transform(tasks, std::back_inserter(samples), &Task::sample);
    // What disturbs an instance for a while is not its speed.
    std::erase_if(samples,
                  [this](const SpeedSample &it) { return !m_health.isTrusted(it.instance); });
    m_speeds.addStep(samples, now);
}

std::string RunScheduler::startReason(const char *reason, const std::string &instance) const
{
    if (!m_settings.learnsInstanceSpeeds)
        return reason;
    constexpr double Percent = 100;
    const auto percent = std::lround(Percent * runTimeFactor(instance));
    return reason + std::string(" at ") + std::to_string(percent) + "% of the usual time";
}

void RunScheduler::onTaskFailed(Job &job, Task &task, const std::string &instance,
                                const RunKey &key, Milliseconds now)
{
    ++task.failures;
    m_health.onFailed(instance, now);
    // A task that fails on two instances is itself at fault, so its failures do not count against
    // them.
    if (task.failures > 1) {
        m_health.onTaskAtFault(instance);
        if (task.failures == 2 && !task.avoid.empty())
            m_health.onTaskAtFault(task.avoid.back());
    }
    addEvent({ScheduleEvent::Kind::TaskFailed, job.job.id, key, instance,
              m_health.isTrusted(instance) ? "trusted" : "probation", double(task.failures)});
    task.avoid.push_back(instance);
    if (task.failures >= job.rule.maxAttempts)
        finish(job.job.id, {JobVerdict::Failed, "task-failed", 0}, now);
}

// --- Time

void RunScheduler::removeLostRequesters(Milliseconds now)
{
    std::set<std::string> lost;
    for (const auto &[requester, lastContactAt] : m_requesters) {
        if (now - lastContactAt > m_settings.requesterTimeout)
            lost.insert(requester);
    }
    if (lost.empty())
        return;
    stopAcceptedRuns(lost, now);
    std::vector<std::string> orphans;
    for (const auto &[id, job] : m_jobs) {
        if (lost.contains(job.requester))
            orphans.push_back(id);
    }
    for (const auto &id : orphans) {
        addEvent({ScheduleEvent::Kind::Refused, id, {}, {}, "requester-lost"});
        // A requester that was only slow must still receive an outcome.
        finish(id, {JobVerdict::Unknown, "requester-lost", 0}, now);
    }
    for (const auto &requester : lost)
        m_requesters.erase(requester);
}

void RunScheduler::onPause(Milliseconds duration, Milliseconds now)
{
    constexpr const char *Reason = "process-stood-still";
    addEvent({ScheduleEvent::Kind::Stalled, {}, {}, {}, Reason, duration.count()});
    // Messages that the requesters sent before they gave up may arrive only now, and must not count
    // as contact: the callers may have resent these jobs to other cells.
    std::set<std::string> requesters;
    for (const auto &[key, run] : m_acceptedRuns)
        requesters.insert(run.requester);
    stopAcceptedRuns(requesters, now);
    std::vector<std::string> orphans;
    for (const auto &[id, job] : m_jobs) {
        if (!job.requester.empty())
            orphans.push_back(id);
    }
    for (const auto &id : orphans) {
        const auto &job = m_jobs.at(id);
        const bool mayHaveRun = job.hasStarted || job.isOffered;
        finish(id,
               mayHaveRun ? JobOutcome{JobVerdict::Unknown, Reason, 0}
                          : JobOutcome{JobVerdict::NotRun, Reason, MinRetryMs},
               now);
    }
}

void RunScheduler::restartStalledRuns(Milliseconds now)
{
    for (auto &[id, instance] : m_instances) {
        for (const auto &key : instance.stalledRuns(m_settings.stallTimeout)) {
            addEvent({ScheduleEvent::Kind::Stalled, {}, key, id, "no-progress"});
            m_health.onFailed(id, now);
            instance.abandon(key, AbandonReason::Stalled, now);
        }
    }
}

void RunScheduler::withholdSupersededStarts(Milliseconds now)
{
    const auto isPresent = [this](const StartOrder &order) {
        const auto *instance = find(order.target.instance);
        return instance != nullptr && !instance->isSuperseded(order.target);
    };
    const auto withheld = std::ranges::stable_partition(m_starts, isPresent);
    const std::vector<StartOrder> orders(withheld.begin(), withheld.end());
    m_starts.erase(withheld.begin(), withheld.end());
    for (const auto &order : orders)
        onStartReply(order, {OrderResult::NotSent, std::nullopt, 0}, now);
}

void RunScheduler::advance(Milliseconds now)
{
    withholdSupersededStarts(now);
    const bool hasResumed = wasPaused(now);
    for (auto &[id, instance] : m_instances) {
        if (hasResumed)
            instance.invalidate();
        instance.expireLeases(now);
        // These leases have expired because this process has not renewed them.
        if (hasResumed)
            (void)instance.takeLosses();
        collectResults(instance, now);
    }
    if (hasResumed)
        onPause(now - *m_dueAt, now);
    std::vector<std::string> ended;
    for (const auto &[id, instance] : m_instances) {
        if (instance.isOtherIncarnation()
            || (instance.report().state == InstanceState::Gone && instance.runCount() == 0))
            ended.push_back(id);
    }
    for (const auto &id : ended)
        removeInstance(id, now);
    removeLostRequesters(now);
    restartStalledRuns(now);
    returnDrainedJobs(now);
    startWaitingJobs(now);
    refuseLateJobs(now);
    evictOutcomes(now);
    m_crashes.evict(now);
    for (auto &[id, instance] : m_instances) {
        std::ranges::move(instance.nextStops(now), std::back_inserter(m_stops));
        if (!instance.needsHold(now))
            continue;
        if (auto order = instance.nextHold(now, renewalLimit(instance, now)))
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
            deadline = std::min(deadline, job.startDeadline);
    }
    for (const auto &[requester, lastContactAt] : m_requesters)
        deadline = std::min(deadline, lastContactAt + m_settings.requesterTimeout);
    return std::max(deadline, now);
}

} // namespace Camphor
