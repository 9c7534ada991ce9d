#include "DispatcherCore.h"

#include "Ownership.h"

#include <algorithm>

namespace Camphor {

namespace {

/// A queued task is forwarded only if the wait at the peer is shorter by this much, because digests
/// are up to 100 ms old and a forwarded task cannot be forwarded again.
constexpr Milliseconds WaitHysteresis{20};
/// Tasks that one step may forward; bounds the duration of a step.
constexpr int MaxForwardsPerStep = 256;

void incrementAt(std::vector<std::uint16_t> &counts, std::uint32_t index)
{
    if (index >= counts.size())
        counts.resize(index + 1);
    ++counts[index];
}

} // namespace

bool Dispatcher::Core::isServiceOpen(std::uint32_t index, Milliseconds now) const
{
    if (m_registry.freeSlots(index) > 0)
        return true;
    return std::ranges::any_of(m_health.limitedTargets(), [&](TargetIndex it) {
        return m_health.isTrialDue(it, false, now) && m_registry.hasSlotIgnoringCap(it, index);
    });
}

bool Dispatcher::Core::isWithinQuota(FlowId flow) const
{
    return !m_hasQuota[flow.team] || m_queue.teamSlotsInUse(flow.team) < m_quotas[flow.team];
}

std::optional<TargetIndex> Dispatcher::Core::trialTarget(std::uint32_t index, const Task &task,
                                                         Milliseconds now) const
{
    const auto isRepeatable = task.isRepeatable && !task.isJobTask && !task.isFromPeer;
    const auto &limited = m_health.limitedTargets();
    const auto it = std::ranges::find_if(limited, [&](TargetIndex target) {
        return m_health.isTrialDue(target, isRepeatable, now)
            && m_registry.hasSlotIgnoringCap(target, index)
            && std::ranges::count(task.avoid, target) == 0;
    });
    return it == limited.end() ? std::nullopt : std::optional(*it);
}

std::optional<TargetIndex> Dispatcher::Core::chooseTarget(const Task &task)
{
    PlacementRequest request;
    request.service = task.flow.service;
    request.avoid = task.avoid;
    request.isJobTask = task.isJobTask;
    request.racks = task.request->racks;
    request.targets = task.request->targets;
    return m_policy->choose(m_registry, request);
}

void Dispatcher::Core::startLocal(Milliseconds now)
{
    std::vector<TaskHandle> skipped;
    while (m_queue.size() > 0 && skipped.size() < MaxSkippedTasks
           && (m_registry.freeSlots() > 0 || !m_health.limitedTargets().empty())) {
        const auto ticket =
            m_queue.next([&](std::uint32_t index) { return isServiceOpen(index, now); },
                         [&](FlowId flow) { return isWithinQuota(flow); });
        if (!ticket)
            break;
        auto &task = m_tasks.find(m_queue.task(*ticket).handle)->second;
        if (task.deadline <= now) {
            deadlinePassed(task, now);
            eraseIfDone(task);
            continue;
        }
        const auto trial = trialTarget(task.flow.service, task, now);
        const auto target = trial ? trial : chooseTarget(task);
        if (!target) {
            dequeue(task);
            skipped.push_back(task.handle);
            continue;
        }
        const auto charged = m_queue.pop(*task.ticket, now).estimateMs;
        task.ticket.reset();
        startAttempt(task, *target, charged, trial.has_value(),
                     trial ? "trial-of-target" : "free-slot", now);
    }
    for (const auto handle : skipped)
        enqueue(m_tasks.find(handle)->second, true);
}

void Dispatcher::Core::startAttempt(Task &task, TargetIndex target, double chargedMs, bool isTrial,
                                    std::string_view reason, Milliseconds now, bool isHedge)
{
    Attempt attempt;
    attempt.number = task.nextAttempt++;
    attempt.target = target;
    attempt.key = attemptKey(attemptId(task.request->id, task.taskIndex, attempt.number));
    attempt.startedAt = now;
    attempt.chargedMs = chargedMs;
    attempt.isTrial = isTrial;
    m_registry.acquireSlot(target, task.flow.service, attempt.key);
    m_queue.slotAcquired(task.flow);
    if (isTrial)
        m_health.trialStarted(target);
    task.avoid.push_back(target);
    task.lastPeer.reset();
    if (task.isJobTask) {
        incrementAt(task.request->racks, m_registry.rack(target));
        incrementAt(task.request->targets, target);
    }
    if (task.attempts.empty())
        ++m_running;
    ++task.started;
    ++task.attemptCount;
    ++m_stats.starts;
    m_hedging.attemptStarted();
    task.since = now;
    task.lastDecision = reason;
    m_actions.emplace_back(StartAttempt{task.handle, attempt.number, m_registry.id(target),
                                        m_registry.address(target), reason, isHedge});
    if (!isHedge)
        scheduleHedge(task, attempt.number, now);
    task.attempts.push_back(std::move(attempt));
}

void Dispatcher::Core::scheduleHedge(const Task &task, std::uint32_t attempt, Milliseconds now)
{
    if (!m_settings.isHedging || !task.isRepeatable || task.isJobTask || task.isFromPeer)
        return;
    if (const auto after = Hedging::checkAfter(m_serviceStates[task.flow.service].runTimes))
        m_timers.add(now + *after, {task.handle, attempt, TimerQueue::Kind::Hedge});
}

void Dispatcher::Core::tryHedge(Task &task, std::uint32_t number, Milliseconds now)
{
    const auto isCandidate = task.attempts.size() == 1 && task.attempts.front().number == number
        && !task.attempts.front().isStopped && mayResend(task) && isWithinQuota(task.flow);
    const auto index = task.flow.service;
    if (!isCandidate
        || !m_hedging.isWorthwhile(task.deadline, m_serviceStates[index].runTimes,
                                   m_registry.freeSlots(index), m_queue.size(), now))
        return;
    const auto target = chooseTarget(task);
    if (!target)
        return;
    const auto charged = estimateMs(index);
    m_queue.settle(task.flow, 0, charged);
    m_hedging.hedgeStarted();
    ++m_stats.hedges;
    startAttempt(task, *target, charged, false, "slower-than-p95", now, true);
}

const std::string *Dispatcher::Core::peerWithFreeSlot(std::uint32_t index)
{
    const auto total = m_peers.freeSlots(index, m_settings.domain);
    if (total < 1)
        return nullptr;
    // At random, weighted by free slots: if all entries chose the peer with the most free slots,
    // they would overload it before its next digest.
    auto pick = static_cast<double>(m_random() % 1'000'000) / 1e6 * total;
    const std::string *last = nullptr;
    for (const auto &[instance, peer] : m_peers.peers()) {
        if (!isInSameDomain(peer) || index >= peer.services.size() || peer.services[index].free < 1)
            continue;
        last = &instance;
        pick -= peer.services[index].free;
        if (pick < 0)
            break;
    }
    return last;
}

void Dispatcher::Core::forwardToFreePeers(Milliseconds now)
{
    if (m_peers.peers().empty())
        return;
    for (int n = 0; n < MaxForwardsPerStep && m_queue.size() > 0; ++n) {
        const auto ticket = m_queue.next(
            [&](std::uint32_t index) { return m_peers.freeSlots(index, m_settings.domain) >= 1; },
            [&](FlowId flow) { return !m_hasQuota[flow.team]; }, true);
        if (!ticket)
            return;
        auto &task = m_tasks.find(m_queue.task(*ticket).handle)->second;
        const auto *peer = peerWithFreeSlot(task.flow.service);
        if (peer == nullptr)
            return;
        forward(task, *peer, "free-slot-at-peer", now);
    }
}

Milliseconds Dispatcher::Core::localWait(FlowId flow) const
{
    const auto rate = m_queue.backloggedShare(flow) * m_registry.slots(flow.service);
    return Milliseconds{m_queue.queuedMs(flow) / std::max(rate, 1e-3)};
}

const std::string *Dispatcher::Core::peerWithShorterWait(FlowId flow) const
{
    const auto own = m_isDraining ? Milliseconds{1e12} : localWait(flow);
    const auto &team = m_rules.teamAt(flow.team);
    const std::string *best = nullptr;
    Milliseconds bestWait;
    for (const auto &[instance, peer] : m_peers.peers()) {
        const auto wait = PeerTable::expectedWait(peer, flow);
        if (!wait || (m_hasQuota[flow.team] && quotaShare(team, instance) == 0))
            continue;
        // Forwarding to another domain costs a network round trip.
        const auto roundTrip = peer.domain == m_settings.domain
            ? Milliseconds{0}
            : m_rules.delayTo(peer.domain) * 2 + WaitHysteresis;
        if (*wait + roundTrip + WaitHysteresis < own
            && (best == nullptr || *wait + roundTrip < bestWait)) {
            best = &instance;
            bestWait = *wait + roundTrip;
        }
    }
    return best;
}

void Dispatcher::Core::forwardToShorterQueues(Milliseconds now)
{
    for (int n = 0; n < MaxForwardsPerStep && m_queue.size() > 0 && !m_peers.peers().empty(); ++n) {
        const std::string *peer = nullptr;
        const auto ticket = m_queue.next([](std::uint32_t) { return true; },
                                         [&](FlowId flow) {
                                             const auto *found = peerWithShorterWait(flow);
                                             if (found != nullptr)
                                                 peer = found;
                                             return found != nullptr;
                                         },
                                         true);
        if (!ticket)
            return;
        auto &task = m_tasks.find(m_queue.task(*ticket).handle)->second;
        forward(task, *peerWithShorterWait(task.flow), m_isDraining ? "draining" : "shorter-wait",
                now);
    }
}

void Dispatcher::Core::forward(Task &task, const std::string &peer, std::string_view reason,
                               Milliseconds now)
{
    Attempt attempt;
    attempt.number = task.nextAttempt++;
    attempt.peer = peer;
    attempt.startedAt = now;
    attempt.chargedMs = m_queue.pop(*task.ticket, now).estimateMs;
    task.ticket.reset();
    m_peers.taskSent(peer, task.flow.service, attempt.chargedMs);
    ++m_running;
    ++task.started;
    ++task.attemptCount;
    ++m_stats.forwards;
    task.since = now;
    task.lastDecision = reason;
    task.lastPeer = std::make_unique<std::string>(peer);
    m_actions.emplace_back(ForwardTask{task.handle, attempt.number, peer, reason});
    scheduleHedge(task, attempt.number, now);
    task.attempts.push_back(std::move(attempt));
}

void Dispatcher::Core::forwardToPeer(const std::string &instance, std::uint32_t slots,
                                     Milliseconds now)
{
    const auto *peer = m_peers.find(instance);
    if (peer == nullptr)
        return;
    for (std::uint32_t n = 0; n < slots && n < MaxForwardsPerStep && m_queue.size() > 0; ++n) {
        const auto ticket = m_queue.next(
            [&](std::uint32_t index) {
                return index < peer->services.size() && peer->services[index].slots > 0;
            },
            [&](FlowId flow) { return !m_hasQuota[flow.team]; }, true);
        if (!ticket)
            return;
        forward(m_tasks.find(m_queue.task(*ticket).handle)->second, instance, "pulled", now);
    }
}

void Dispatcher::Core::pullTasks(Milliseconds now)
{
    const auto free = m_registry.freeSlots();
    if (m_isDraining || m_queue.size() > 0 || free == 0)
        return;
    const std::string *longest = nullptr;
    double longestQueue = 0;
    for (const auto &[instance, peer] : m_peers.peers()) {
        const auto isDue = now - peer.pulledAt >= PeerTable::PullInterval;
        if (!isInSameDomain(peer) || !isDue || peer.queuedTasks <= longestQueue)
            continue;
        longest = &instance;
        longestQueue = peer.queuedTasks;
    }
    if (longest == nullptr)
        return;
    const auto slots = std::min(free, static_cast<std::uint32_t>(longestQueue));
    m_peers.pullSent(*longest, now);
    ++m_stats.pulls;
    m_actions.emplace_back(PullFromPeer{*longest, slots, "free-slots"});
}

} // namespace Camphor
