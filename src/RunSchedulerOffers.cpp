/// @file Runs that the scheduler offers to the holders of other cells, and those that it accepts.
#include "RunScheduler.h"
#include "TaskName.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Camphor {

namespace {

/// Delay before the runs of a waiting job are offered again.
constexpr Milliseconds OfferRetryDelay{25};

} // namespace

// --- Offers to other holders

std::vector<RunOffer> RunScheduler::takeOffers(Milliseconds now)
{
    std::vector<RunOffer> offers;
    for (const auto &id : jobsInStartOrder()) {
        auto &job = m_jobs.at(id);
        if (job.isOffered || now < job.nextOfferAt || job.hasEarlierRuns)
            continue;
        if (auto offer = makeOffer(job, now))
            offers.push_back(std::move(*offer));
    }
    return offers;
}

std::optional<RunOffer> RunScheduler::makeOffer(Job &job, Milliseconds now)
{
    for (std::size_t step = 0; step < job.tasks.size(); ++step) {
        if (!isEligible(job, step) || countWaiting(job, step) == 0)
            continue;
        // What fits here starts here once the rest has started elsewhere.
        auto keptHere = job.hasStarted ? 0 : countPlaceable(job, step, now);
        RunOffer offer{{job.job.id, job.submission},
                       job.rule.name,
                       job.job.payload,
                       static_cast<std::uint32_t>(step),
                       job.job.steps[step],
                       {},
                       !job.hasStarted};
        offer.dueInMs = std::max(0.0, (job.responseDueAt - now).count());
        for (std::size_t index = 0; index < job.tasks[step].size(); ++index) {
            auto &task = job.tasks[step][index];
            if (task.state != Task::State::Waiting)
                continue;
            if (keptHere > 0) {
                --keptHere;
                continue;
            }
            task.state = Task::State::Offered;
            ++task.runs;
            offer.runs.push_back({{taskName(job.job.id, step, index), task.runs},
                                  task.avoid,
                                  suspicionOf(job, step, index)});
        }
        if (offer.runs.empty())
            continue;
        job.isOffered = true;
        return offer;
    }
    return std::nullopt;
}

void RunScheduler::onOfferedRunsStarted(const JobKey &key, const std::string &holder,
                                        const std::vector<RunKey> &started, Milliseconds now)
{
    auto *const found = find(key);
    if (found == nullptr)
        return;
    auto &job = *found;
    for (const auto &run : started) {
        const auto place = parseTaskName(run.task);
        if (!place || place->jobId != key.id || place->step >= job.tasks.size()
            || place->index >= job.tasks[place->step].size())
            continue;
        auto &task = job.tasks[place->step][place->index];
        if (task.state != Task::State::Offered || task.runs != run.run)
            continue;
        task.state = Task::State::Running;
        task.holder = holder;
        task.instance.clear();
        job.hasStarted = true;
        const auto &step = job.job.steps[place->step];
        chargeQueue(job.rule.name, step, expectedTime(job, step));
        addEvent({ScheduleEvent::Kind::Started, key.id, run, holder, "room-in-other-cell",
                  (now - job.arrivedAt).count()});
    }
}

void RunScheduler::onOfferClosed(const JobKey &key, Milliseconds now)
{
    auto *const job = find(key);
    if (job == nullptr)
        return;
    job->isOffered = false;
    job->nextOfferAt = now + OfferRetryDelay;
    for (auto &tasks : job->tasks) {
        for (auto &task : tasks) {
            if (task.state == Task::State::Offered)
                task.state = Task::State::Waiting;
        }
    }
}

void RunScheduler::onRemoteEnds(const JobKey &key, const std::vector<RunOutcome> &ends,
                                Milliseconds now)
{
    for (const auto &outcome : ends) {
        const auto ref = findTask(outcome.key);
        // Each end may be the last of the job, so the submission is looked up again.
        if (ref && ref->job == find(key) && !ref->task->holder.empty())
            onTaskEnd(*ref, outcome, now);
    }
}

void RunScheduler::onRemoteHolderLost(const JobKey &key, Milliseconds now)
{
    if (hasJob(key))
        finish(key.id, {JobVerdict::Unknown, "holder-lost", 0}, now);
}

Milliseconds RunScheduler::requesterAge(const JobKey &key, Milliseconds now) const
{
    const auto *job = find(key);
    return job == nullptr ? Milliseconds{0} : requesterAge(*job, now);
}

RequesterAges RunScheduler::requesterAges(const std::string &holder, Milliseconds now) const
{
    RequesterAges ages;
    for (const auto &[id, job] : m_jobs) {
        const auto isThere = [&](const Task &it) {
            return it.state == Task::State::Running && it.holder == holder;
        };
        const bool hasRuns = std::ranges::any_of(job.tasks, [&](const std::vector<Task> &tasks) {
            return std::ranges::any_of(tasks, isThere);
        });
        if (hasRuns)
            ages.jobs.push_back({{id, job.submission}, requesterAge(job, now).count()});
    }
    return ages;
}

// --- Runs accepted from other holders

void RunScheduler::onRequesterAges(const std::string &requester, const RequesterAges &ages,
                                   Milliseconds agesAt)
{
    std::map<JobKey, Milliseconds> wantedAt;
    for (const auto &[job, ageMs] : ages.jobs)
        wantedAt[job] = agesAt - Milliseconds{ageMs};
    for (auto &[key, run] : m_acceptedRuns) {
        const auto place = run.requester == requester ? parseTaskName(key.task) : std::nullopt;
        if (!place)
            continue;
        const auto it = wantedAt.find({place->jobId, run.submission});
        if (it != wantedAt.end())
            run.wantedAt = std::max(run.wantedAt, it->second);
    }
}

std::vector<RunScheduler::Placement> RunScheduler::placeOffered(const RunOffer &offer,
                                                                const std::string &service,
                                                                Milliseconds renewalLimit,
                                                                Milliseconds now)
{
    auto found = candidates(service, offer.step, taskNamePrefix(offer.job.id, offer.stepIndex),
                            renewalLimit, now);
    const auto goal =
        makeGoal(m_runTimes.estimate(offer.queue, Milliseconds{double(offer.step.estimatedMs)}),
                 Milliseconds{offer.dueInMs}, service);
    std::vector<Placement> placed;
    for (const auto &run : offer.runs) {
        // A run of an earlier submission of the job may not have ended yet.
        const bool isPresent = std::ranges::any_of(
            m_instances, [&](const auto &it) { return it.second.hasRunOf(run.key.task); });
        const auto suspicion = std::max(run.suspicion, m_crashes.suspicion(run.key.task));
        auto *candidate = isPresent ? nullptr : pick(found, offer.step, run.avoid, suspicion, goal);
        if (candidate == nullptr)
            continue;
        take(*candidate, offer.step, suspicion);
        placed.push_back({run.key, candidate->instance, suspicion != TaskSuspicion::None});
    }
    if (offer.allOrNone && placed.size() < offer.runs.size())
        placed.clear();
    return placed;
}

RunOfferReply RunScheduler::startOffered(const RunOffer &offer, const std::string &requester,
                                         Milliseconds now)
{
    addRequester(requester, now);
    const auto *rule = m_configuration ? m_configuration->find(offer.queue) : nullptr;
    // A submission of the same job that this holder has itself decides where its tasks run.
    if (rule == nullptr || m_jobs.contains(offer.job.id))
        return {};
    // The runs of a lost requester would be stopped at once.
    const auto contactAt = lastContactAt(requester, now);
    if (now - contactAt > m_settings.requesterTimeout)
        return {};
    const auto wantedAt = contactAt - Milliseconds{offer.requesterAgeMs};
    const auto limit = renewalLimitOf(wantedAt);
    const auto placed = placeOffered(offer, rule->service, limit, now);
    const auto estimate =
        m_runTimes.estimate(offer.queue, Milliseconds{double(offer.step.estimatedMs)});
    std::vector<RunKey> started;
    for (const auto &[key, instance, isExclusive] : placed) {
        const auto &id = instance->report().key.id;
        m_starts.push_back(instance->start(key, offer.payload, offer.step.demand,
                                           estimate * runTimeFactor(id), now, isExclusive,
                                           std::min(limit, renewalLimit(*instance, now))));
        m_acceptedRuns[key] = {requester, offer.job.submission, offer.queue, offer.step, wantedAt};
        addEvent({ScheduleEvent::Kind::Started, offer.job.id, key, id,
                  startReason("accepted-offer", id), 0});
        started.push_back(key);
    }
    return {std::move(started)};
}

bool RunScheduler::hasAccepted(const AcceptedRunKey &key) const
{
    const auto it = m_acceptedRuns.find(key.run);
    const bool isRunning = it != m_acceptedRuns.end() && it->second.requester == key.requester
        && it->second.submission == key.submission;
    return isRunning
        || std::ranges::find(m_acceptedEnds, key, &AcceptedRunEnd::key) != m_acceptedEnds.end();
}

void RunScheduler::stopOffered(const StopRunsRequest &request, const std::string &requester,
                               Milliseconds wantedAt, Milliseconds now)
{
    for (const auto &key : request.runs) {
        if (hasAccepted({requester, request.job.submission, key}))
            abandonAccepted(key, std::min(renewalLimit(key, now), renewalLimitOf(wantedAt)), now);
    }
}

void RunScheduler::stopAcceptedRuns(const std::set<std::string> &requesters, Milliseconds now)
{
    for (const auto &[key, run] : m_acceptedRuns) {
        if (requesters.contains(run.requester))
            abandonAccepted(key, renewalLimitOf(run.wantedAt), now);
    }
}

void RunScheduler::abandonAccepted(const RunKey &key, Milliseconds renewalLimit, Milliseconds now)
{
    for (auto &[id, instance] : m_instances)
        instance.abandon(key, AbandonReason::Unwanted, now, renewalLimit);
}

void RunScheduler::onAcceptedRunEnd(const RunOutcome &outcome, Milliseconds now)
{
    const auto run = std::move(m_acceptedRuns.extract(outcome.key).mapped());
    addRunEnd({}, outcome);
    if (outcome.end == RunEnd::Done) {
        const auto sample = sampleOf(run.queue, run.step, outcome);
        addRunTime(run.queue, run.step, outcome, sample, now);
        if (m_settings.learnsInstanceSpeeds)
            m_speeds.addStep({sample}, now);
    } else if (outcome.end == RunEnd::Failed) {
        m_health.onFailed(outcome.instance, now);
    }
    m_acceptedEnds.push_back({{run.requester, run.submission, outcome.key}, outcome});
}

} // namespace Camphor
