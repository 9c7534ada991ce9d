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
        RunOffer offer{job.job.id,          job.rule.name,
                       job.job.payload,     static_cast<std::uint32_t>(step),
                       job.job.steps[step], {},
                       !job.hasStarted};
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
            offer.runs.push_back({{taskName(job.job.id, step, index), task.runs}, task.avoid});
        }
        if (offer.runs.empty())
            continue;
        job.isOffered = true;
        return offer;
    }
    return std::nullopt;
}

void RunScheduler::onOfferedRunsStarted(const std::string &jobId, const std::string &holder,
                                        const std::vector<RunKey> &started, Milliseconds now)
{
    for (const auto &key : started) {
        const auto place = parseTaskName(key.task);
        const auto it = m_jobs.find(jobId);
        if (!place || place->jobId != jobId || it == m_jobs.end()
            || place->step >= it->second.tasks.size()
            || place->index >= it->second.tasks[place->step].size())
            continue;
        auto &job = it->second;
        auto &task = job.tasks[place->step][place->index];
        if (task.state != Task::State::Offered || task.runs != key.run)
            continue;
        task.state = Task::State::Running;
        task.holder = holder;
        task.instance.clear();
        job.hasStarted = true;
        const auto &step = job.job.steps[place->step];
        chargeQueue(job.rule.name, step, expectedTime(job, step));
        addEvent({ScheduleEvent::Kind::Started, jobId, key, holder, "room-in-other-cell",
                  (now - job.arrivedAt).count()});
    }
}

void RunScheduler::onOfferClosed(const std::string &jobId, Milliseconds now)
{
    const auto it = m_jobs.find(jobId);
    if (it == m_jobs.end())
        return;
    auto &job = it->second;
    job.isOffered = false;
    job.nextOfferAt = now + OfferRetryDelay;
    for (auto &tasks : job.tasks) {
        for (auto &task : tasks) {
            if (task.state == Task::State::Offered)
                task.state = Task::State::Waiting;
        }
    }
}

void RunScheduler::onRemoteEnds(const std::vector<RunOutcome> &ends, Milliseconds now)
{
    for (const auto &outcome : ends) {
        const auto ref = findTask(outcome.key);
        if (ref && !ref->task->holder.empty())
            onTaskEnd(*ref, outcome, now);
    }
}

void RunScheduler::onRemoteHolderLost(const std::string &jobId, Milliseconds now)
{
    finish(jobId, {JobVerdict::Unknown, "holder-lost", 0}, now);
}

// --- Runs accepted from other holders

RunOfferReply RunScheduler::startOffered(const RunOffer &offer, const std::string &requester,
                                         Milliseconds now)
{
    onRequesterContact(requester, now);
    const auto *rule = m_configuration ? m_configuration->find(offer.queue) : nullptr;
    if (rule == nullptr)
        return {};
    auto found =
        candidates(rule->service, offer.step, taskNamePrefix(offer.jobId, offer.stepIndex), now);
    std::vector<std::pair<RunKey, LeasedInstance *>> placed;
    for (const auto &run : offer.runs) {
        // A run of an earlier submission of the job may not have ended yet.
        const bool isPresent = std::ranges::any_of(
            m_instances, [&](const auto &it) { return it.second.hasRunOf(run.key.task); });
        auto *candidate = isPresent ? nullptr : pick(found, offer.step, run.avoid);
        if (candidate == nullptr)
            continue;
        candidate->free -= offer.step.demand;
        --candidate->maxNewTasks;
        placed.emplace_back(run.key, candidate->instance);
    }
    if (offer.allOrNone && placed.size() < offer.runs.size())
        return {};
    const auto estimate =
        m_runTimes.estimate(offer.queue, Milliseconds{double(offer.step.estimatedMs)});
    std::vector<RunKey> started;
    for (const auto &[key, instance] : placed) {
        const auto &id = instance->report().key.id;
        m_starts.push_back(instance->start(key, offer.payload, offer.step.demand,
                                           estimate * m_health.slowdown(id), now));
        m_acceptedRuns[key] = {requester, offer.queue, offer.step};
        addEvent({ScheduleEvent::Kind::Started, offer.jobId, key, id, "accepted-offer", 0});
        started.push_back(key);
    }
    return {std::move(started)};
}

void RunScheduler::stopOffered(const std::vector<RunKey> &runs, const std::string &requester,
                               Milliseconds now)
{
    for (const auto &key : runs) {
        const auto it = m_acceptedRuns.find(key);
        if (it == m_acceptedRuns.end() || it->second.requester != requester)
            continue;
        for (auto &[id, instance] : m_instances)
            instance.abandon(key, now);
    }
}

void RunScheduler::stopAcceptedRuns(const std::set<std::string> &requesters, Milliseconds now)
{
    for (const auto &[key, run] : m_acceptedRuns) {
        if (!requesters.contains(run.requester))
            continue;
        for (auto &[id, instance] : m_instances)
            instance.abandon(key, now);
    }
}

void RunScheduler::onAcceptedRunEnd(const RunOutcome &outcome, Milliseconds now)
{
    const auto run = std::move(m_acceptedRuns.extract(outcome.key).mapped());
    addEvent({ScheduleEvent::Kind::Ended,
              {},
              outcome.key,
              outcome.instance,
              runEndName(outcome.end),
              outcome.elapsedMs,
              outcome.end});
    if (outcome.end == RunEnd::Done)
        addRunTime(run.queue, run.step, outcome, now);
    else if (outcome.end == RunEnd::Failed)
        m_health.onFailed(outcome.instance, now);
    m_acceptedEnds.push_back(outcome);
}

} // namespace Camphor
