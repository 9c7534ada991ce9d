/// @file Placement and start order of tasks.
#include "RunScheduler.h"
#include "TaskName.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace Camphor {

namespace {

/// Costs are rounded to this many steps per unit, so that noise in the measured speeds does not
/// degrade the packing.
constexpr double CostStepsPerUnit = 4.0;
/// Weight of the remaining CPU share against one unit of cost.
constexpr double RemainingCpuWeight = 0.2;
/// Run time factors for a task away from its data, and on an instance that is still warming up.
constexpr double RemoteDataFactor = 2.0;
constexpr double WarmupFactor = 1.5;
/// Jobs of a queue that may accumulate resources as they become free. With many, all would be late;
/// a second one uses room that is too small for the tasks of the first.
constexpr int MaxCollectingJobs = 2;
/// A task is expected to be late if it would be late with a run time this many times longer.
constexpr double RunTimeMargin = 1.2;

} // namespace

bool RunScheduler::isEligible(const Job &job, std::size_t step) const
{
    return std::ranges::all_of(job.job.steps[step].dependsOn, [&](std::uint32_t earlier) {
        return job.done[earlier] == job.job.steps[earlier].taskCount;
    });
}

std::vector<RunScheduler::Candidate> RunScheduler::candidates(const Job &job, std::size_t stepIndex,
                                                              Milliseconds now)
{
    return candidates(job.rule.service, job.job.steps[stepIndex],
                      taskNamePrefix(job.job.id, stepIndex), renewalLimitOf(lastWantedAt(job, now)),
                      now);
}

std::vector<RunScheduler::Candidate>
RunScheduler::candidates(const std::string &service, const JobStep &step, const std::string &prefix,
                         Milliseconds renewalLimit, Milliseconds now)
{
    std::vector<Candidate> found;
    for (auto &[id, instance] : m_instances) {
        const auto &report = instance.report();
        const bool isMatch = report.service == service && !m_drains.contains(report.domain)
            && instance.isUsable(now) && !instance.isLeasedBeyond(renewalLimit)
            && !instance.hasExclusiveRun() && step.demand.fitsInto(instance.freeCapacity())
            && (step.requiredLabel.empty() || report.hasLabel(step.requiredLabel));
        if (!isMatch)
            continue;
        Candidate candidate{&instance, instance.freeCapacity(), 1.0, instance.runCount() == 0,
                            step.taskCount};
        if (!m_health.isTrusted(id)) {
            if (!m_health.mayRunTrial(id, now) || instance.runCount() > 0)
                continue;
            candidate.maxNewTasks = 1;
            candidate.cost = runTimeFactor(id) + 1.0;
        } else {
            candidate.cost = runTimeFactor(id);
        }
        if (!step.preferredRack.empty() && !report.hasLabel(step.preferredRack))
            candidate.cost *= RemoteDataFactor;
        if (report.warmupMs > 0)
            candidate.cost *= WarmupFactor;
        if (step.maxPerInstance > 0) {
            const auto present = instance.runsWithPrefix(prefix);
            candidate.maxNewTasks = step.maxPerInstance > present
                ? std::min<std::size_t>(candidate.maxNewTasks, step.maxPerInstance - present)
                : 0;
        }
        found.push_back(candidate);
    }
    return found;
}

bool RunScheduler::PlacementGoal::isLateAt(const Candidate &candidate) const
{
    return expected * candidate.cost * RunTimeMargin > timeLeft;
}

bool RunScheduler::isRoomScarce(const std::string &service) const
{
    std::int64_t total = 0;
    std::int64_t free = 0;
    for (const auto &[id, instance] : m_instances) {
        if (instance.report().service != service)
            continue;
        total += instance.report().capacity.cpuMillicores;
        free += instance.freeCapacity().cpuMillicores;
    }
    return static_cast<double>(free)
        < static_cast<double>(total) * (1 - m_settings.scarceRoomShare);
}

double RunScheduler::runTimeFactor(const std::string &instance) const
{
    return m_health.slowdown(instance) * m_speeds.factor(instance);
}

RunScheduler::PlacementGoal RunScheduler::makeGoal(Milliseconds expected, Milliseconds timeLeft,
                                                   const std::string &service) const
{
    if (!m_settings.learnsInstanceSpeeds)
        return {};
    return {expected, timeLeft, isRoomScarce(service)};
}

RunScheduler::PlacementGoal RunScheduler::makeGoal(const Job &job, std::size_t step,
                                                   Milliseconds now) const
{
    return makeGoal(expectedTime(job, job.job.steps[step]), job.responseDueAt - now,
                    job.rule.service);
}

RunScheduler::Candidate *RunScheduler::pick(std::vector<Candidate> &found, const JobStep &step,
                                            const std::vector<std::string> &avoid,
                                            TaskSuspicion suspicion, const PlacementGoal &goal)
{
    if (suspicion == TaskSuspicion::AtFault)
        return nullptr;
    Candidate *best = nullptr;
    // Whether the task would not be alone, whether it would be late, and the cost.
    std::tuple<bool, bool, double> bestScore;
    for (auto &candidate : found) {
        const auto &id = candidate.instance->report().key.id;
        if (candidate.maxNewTasks == 0 || !step.demand.fitsInto(candidate.free)
            || std::ranges::find(avoid, id) != avoid.end()
            || (suspicion == TaskSuspicion::StrongSuspect && !candidate.isIdle))
            continue;
        // Cost is compared in coarse steps, so that noise does not degrade the packing: among
        // instances of about equal speed, the one with the least remaining CPU is chosen.
        const auto roundedCost = std::round(candidate.cost * CostStepsPerUnit) / CostStepsPerUnit;
        const auto remainingCpu = candidate.free.cpuMillicores - step.demand.cpuMillicores;
        const auto totalCpu =
            std::max<std::int64_t>(1, candidate.instance->report().capacity.cpuMillicores);
        const bool isLate = goal.isLateAt(candidate);
        const auto speedCost = goal.sparesFast && !isLate ? -roundedCost : roundedCost;
        const auto cost = speedCost
            + RemainingCpuWeight * static_cast<double>(remainingCpu)
                / static_cast<double>(totalCpu);
        const bool isBeside = suspicion != TaskSuspicion::None && !candidate.isIdle;
        const std::tuple score{isBeside, isLate, cost};
        if (best == nullptr || score < bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best;
}

void RunScheduler::take(Candidate &candidate, const JobStep &step, TaskSuspicion suspicion)
{
    candidate.free -= step.demand;
    candidate.isIdle = false;
    candidate.maxNewTasks = suspicion == TaskSuspicion::None ? candidate.maxNewTasks - 1 : 0;
}

TaskSuspicion RunScheduler::suspicionOf(const Job &job, std::size_t step, std::size_t index) const
{
    const auto known = job.tasks[step][index].suspicion;
    if (m_crashes.size() == 0)
        return known;
    return std::max(known, m_crashes.suspicion(taskName(job.job.id, step, index)));
}

std::size_t RunScheduler::countPlaceable(const Job &job, std::size_t step, Milliseconds now)
{
    auto found = candidates(job, step, now);
    const auto goal = makeGoal(job, step, now);
    std::size_t count = 0;
    for (std::size_t index = 0; index < job.tasks[step].size(); ++index) {
        const auto &task = job.tasks[step][index];
        if (task.state != Task::State::Waiting)
            continue;
        const auto suspicion = suspicionOf(job, step, index);
        auto *candidate = pick(found, job.job.steps[step], task.avoid, suspicion, goal);
        if (candidate == nullptr)
            continue;
        take(*candidate, job.job.steps[step], suspicion);
        ++count;
    }
    return count;
}

std::size_t RunScheduler::countWaiting(const Job &job, std::size_t step)
{
    return static_cast<std::size_t>(
        std::ranges::count(job.tasks[step], Task::State::Waiting, &Task::state));
}

bool RunScheduler::canStartAll(const Job &job, Milliseconds now)
{
    if (job.hasEarlierRuns)
        return false;
    for (std::size_t step = 0; step < job.tasks.size(); ++step) {
        if (isEligible(job, step) && countPlaceable(job, step, now) < countWaiting(job, step))
            return false;
    }
    return true;
}

void RunScheduler::chargeQueue(const std::string &queue, const JobStep &step, Milliseconds expected)
{
    m_virtualTimes[queue] += static_cast<double>(step.demand.cpuMillicores) * expected.count();
}

void RunScheduler::startTask(Job &job, std::size_t step, std::size_t index,
                             LeasedInstance &instance, TaskSuspicion suspicion, Milliseconds now)
{
    auto &task = job.tasks[step][index];
    const auto &jobStep = job.job.steps[step];
    const auto &id = instance.report().key.id;
    ++task.runs;
    task.state = Task::State::Running;
    task.instance = id;
    job.hasStarted = true;
    const auto expected = expectedTime(job, jobStep) * runTimeFactor(id);
    const RunKey key{taskName(job.job.id, step, index), task.runs};
    chargeQueue(job.rule.name, jobStep, expected);
    const bool isExclusive = suspicion != TaskSuspicion::None;
    const auto limit = std::min(renewalLimit(instance, now), renewalLimit(key, now));
    m_starts.push_back(
        instance.start(key, job.job.payload, jobStep.demand, expected, now, isExclusive, limit));
    addEvent({ScheduleEvent::Kind::Started, job.job.id, key, id, startReason("room", id),
              (now - job.arrivedAt).count()});
}

bool RunScheduler::startTasks(Job &job, Milliseconds now)
{
    if (job.hasEarlierRuns) {
        job.hasEarlierRuns =
            !job.hasStarted && std::ranges::any_of(m_instances, [&](const auto &it) {
                return it.second.runsWithPrefix(job.job.id + '.') > 0;
            });
        if (job.hasEarlierRuns)
            return false;
    }
    bool isComplete = true;
    for (std::size_t step = 0; step < job.tasks.size(); ++step) {
        const auto isWaitingTask = [](const Task &it) { return it.state == Task::State::Waiting; };
        if (!isEligible(job, step) || std::ranges::none_of(job.tasks[step], isWaitingTask))
            continue;
        auto found = candidates(job, step, now);
        const auto goal = makeGoal(job, step, now);
        for (std::size_t index = 0; index < job.tasks[step].size(); ++index) {
            auto &task = job.tasks[step][index];
            if (!isWaitingTask(task))
                continue;
            const auto suspicion = suspicionOf(job, step, index);
            auto *candidate = pick(found, job.job.steps[step], task.avoid, suspicion, goal);
            if (candidate == nullptr) {
                isComplete = false;
                continue;
            }
            take(*candidate, job.job.steps[step], suspicion);
            startTask(job, step, index, *candidate->instance, suspicion, now);
        }
    }
    return isComplete;
}

std::vector<std::string> RunScheduler::jobsInStartOrder() const
{
    // Max-min fairness between queues: the least served queue goes first, so that a flood on one
    // queue uses only the capacity that the others leave. Within a queue, jobs that have started go
    // first, because the resources that they use are wasted if they end late; then the job with the
    // earliest start deadline.
    using Rank = std::tuple<double, bool, Milliseconds>;
    std::vector<std::pair<Rank, std::string>> order;
    for (const auto &[id, job] : m_jobs) {
        if ((job.isOffered && !job.hasStarted) || !hasWaitingTask(job))
            continue;
        const auto served = m_virtualTimes.find(job.rule.name);
        const double virtualTime = served == m_virtualTimes.end() ? 0.0 : served->second;
        order.push_back({{virtualTime, !job.hasStarted, job.startDeadline}, id});
    }
    std::ranges::sort(order);
    std::vector<std::string> ids;
    std::ranges::transform(order, std::back_inserter(ids),
                           [](const auto &it) { return it.second; });
    return ids;
}

void RunScheduler::startWaitingJobs(Milliseconds now)
{
    std::map<std::string, int> partiallyStarted; // Started jobs that wait for room, by queue.
    for (const auto &id : jobsInStartOrder()) {
        auto &job = m_jobs.at(id);
        if (!job.hasStarted && canStartAll(job, now)) {
            (void)startTasks(job, now);
            continue;
        }
        auto &collecting = partiallyStarted[job.rule.name];
        if ((job.hasStarted || collecting < MaxCollectingJobs) && !startTasks(job, now)
            && job.hasStarted)
            ++collecting;
    }
}

void RunScheduler::raiseVirtualTime(const std::string &queue)
{
    // A queue must not claim service for the time in which it was idle.
    const bool isWaiting =
        std::ranges::any_of(m_jobs, [&](const auto &it) { return it.second.rule.name == queue; });
    if (isWaiting)
        return;
    std::optional<double> least;
    for (const auto &[id, job] : m_jobs) {
        const auto served = m_virtualTimes[job.rule.name];
        least = least ? std::min(*least, served) : served;
    }
    if (least)
        m_virtualTimes[queue] = std::max(m_virtualTimes[queue], *least);
}

bool RunScheduler::hasWaitingTask(const Job &job) const
{
    for (std::size_t step = 0; step < job.tasks.size(); ++step) {
        const bool isWaiting = std::ranges::any_of(
            job.tasks[step], [](const Task &it) { return it.state == Task::State::Waiting; });
        if (isWaiting && isEligible(job, step))
            return true;
    }
    return false;
}

} // namespace Camphor
