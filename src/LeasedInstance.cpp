#include "LeasedInstance.h"

#include "Result.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Camphor {

namespace {

/// A list of ends is truncated at this length; a run that is not listed may then still exist.
constexpr std::size_t MaxListedEnds = 500;
/// After this many consecutive missing replies, nothing is started until the instance replies.
constexpr int MaxMissedReplies = 1;
/// If the instance has replied within this share of a lease, the expiry of its lease is no loss.
constexpr double RecentReplyShare = 0.5;
/// Nothing is started unless the renewal limits of the abandoned runs leave this share of a lease.
constexpr double MinLeaseShare = 0.5;
/// Delay of new starts after an instance unexpectedly had no room.
constexpr Milliseconds NoRoomDelay{20};

} // namespace

const char *abandonReasonName(AbandonReason reason)
{
    switch (reason) {
    case AbandonReason::Unwanted:
        return "unwanted";
    case AbandonReason::Stalled:
        return "stalled";
    case AbandonReason::Unanswered:
        return "unanswered";
    }
    return "unknown";
}

LeasedInstance::LeasedInstance(InstanceReport report, std::uint64_t token,
                               const LeaseSettings &settings, std::uint64_t session)
    : m_settings(settings)
    , m_report(std::move(report))
    , m_token(token)
    , m_session(session)
{
}

void LeasedInstance::update(const InstanceReport &report, Milliseconds now)
{
    if (report.key.startTimeMs < m_report.key.startTimeMs)
        return;
    onIncarnation(report.key.startTimeMs, now);
    m_report = report;
    m_isReportOutdated = false;
}

void LeasedInstance::onIncarnation(std::uint64_t startTimeMs, Milliseconds now)
{
    if (startTimeMs == 0 || startTimeMs <= m_report.key.startTimeMs)
        return;
    // Runs that the earlier incarnation has listed ended with it. The others may have been started
    // by the later one, because replies to starts need not name the incarnation; its lists will
    // show them.
    recordLoss();
    std::size_t endedRuns = 0;
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        auto &run = it->second;
        if (run.wasListed) {
            ++endedRuns;
            finish(it, RunEnd::LeaseExpired, now);
        } else {
            // A stop that the earlier incarnation has acknowledged does not bind the later one.
            run.stopAckedAt.reset();
            run.isStopInFlight = false;
            run.nextStopAt = std::min(run.nextStopAt, now);
        }
        it = next;
    }
    m_notices.push_back({InstanceNotice::Kind::Restarted, {}, endedRuns});
    beginSession();
    m_report.key.startTimeMs = startTimeMs;
    m_isReportOutdated = true;
    m_processedThrough = m_ackedThrough = m_ackInFlight = 0;
    m_clockMs.reset();
    m_leaseUntilMs = 0;
    m_incarnationKnownAt = now;
}

bool LeasedInstance::isUsable(Milliseconds now) const
{
    return isSynced() && !m_isFenced && !m_isOtherIncarnation && !m_isReportOutdated && m_clockMs
        && m_report.state == InstanceState::Ready && m_missedReplies < MaxMissedReplies
        && now >= m_backoffUntil
        && abandonedRenewalLimit() - now >= m_settings.lease * MinLeaseShare;
}

std::size_t LeasedInstance::runsWithPrefix(const std::string &prefix) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_runs, [&](const auto &it) { return it.first.task.starts_with(prefix); }));
}

bool LeasedInstance::hasRunOf(const std::string &task) const
{
    const auto it = m_runs.lower_bound({task, 0});
    return it != m_runs.end() && it->first.task == task;
}

bool LeasedInstance::hasExclusiveRun() const
{
    return std::ranges::any_of(m_runs, [](const auto &it) { return it.second.isExclusive; });
}

// --- Clock and lease

double LeasedInstance::clockAt(Milliseconds now) const
{
    return *m_clockMs + (now - m_clockAt).count();
}

void LeasedInstance::updateClock(const std::optional<double> &clockMs, Milliseconds now)
{
    // Replies can arrive out of order, so an earlier clock reading can arrive later.
    if (!clockMs || (m_clockMs && *clockMs < *m_clockMs))
        return;
    m_clockMs = clockMs;
    m_clockAt = now;
}

double LeasedInstance::slowClockAt(Milliseconds time) const
{
    return *m_clockMs + (time - m_clockAt).count() * (1.0 - m_settings.clockDrift);
}

bool LeasedInstance::isLeasedBeyond(Milliseconds time) const
{
    return !m_clockMs || m_leaseUntilMs > slowClockAt(time);
}

Milliseconds LeasedInstance::abandonedRenewalLimit() const
{
    auto limit = NoRenewalLimit;
    for (const auto &[key, run] : m_runs)
        limit = std::min(limit, run.renewalLimit);
    return limit;
}

double LeasedInstance::renewableUntil(Milliseconds now, Milliseconds renewalLimit) const
{
    const auto limit = std::min(renewalLimit, abandonedRenewalLimit());
    // The instance's clock may be slow, so the time to the limit is shortened by the drift. The
    // drift since the last reading is not deducted: after a long idle time it would exceed the
    // lease.
    const auto untilLimit = (limit - now) * (1.0 - m_settings.clockDrift);
    const auto until = clockAt(now) + std::min(m_settings.lease, untilLimit).count();
    return std::max(0.0, std::floor(until));
}

void LeasedInstance::assumeMaxLease(Milliseconds now)
{
    if (m_clockMs)
        m_leaseUntilMs = std::max(m_leaseUntilMs, clockAt(now) + m_settings.maxLease.count());
}

void LeasedInstance::expireLeases(Milliseconds now)
{
    const bool isLeaseValid = m_clockMs && slowClockAt(now) <= m_leaseUntilMs;
    const bool mayOutlive = std::ranges::any_of(
        m_runs, [&](const auto &it) { return mayOutliveLease(it.second, now); });
    if (m_runs.empty() || isLeaseValid || mayOutlive)
        return;
    // A lease also runs out on an instance that replies, if an abandoned run has limited its
    // renewal. That is no loss of the instance.
    const bool hasReplied = m_clockMs && now - m_clockAt < m_settings.lease * RecentReplyShare;
    if (!hasReplied)
        recordLoss();
    endRuns(now);
    // The reply to a hold in flight is one of the former session.
    invalidate();
    // Starts without a reply may have been among them.
    ++m_session;
}

bool LeasedInstance::mayOutliveLease(const Run &run, Milliseconds now) const
{
    // The order of a run that no list has shown may have been carried out by a later incarnation
    // than the one whose clock is known. Its deadline then lies far ahead on the instance's clock,
    // and the instance has granted its longest lease.
    if (run.wasListed && m_clockMs)
        return false;
    const auto knownAt = std::max({run.confirmedAt.value_or(run.startedAt), run.listedAt,
                                   m_incarnationKnownAt.value_or(run.startedAt)});
    return now < knownAt + m_settings.maxLease / (1.0 - m_settings.clockDrift);
}

void LeasedInstance::invalidate()
{
    m_isSynced = false;
    m_isHoldInFlight = false;
}

void LeasedInstance::beginSession()
{
    invalidate();
    ++m_session;
    // The missing replies were those of the earlier incarnation. The sooner the first order
    // arrives, the sooner the instance refuses those that are late.
    m_missedReplies = 0;
    m_backoffUntil = Milliseconds{-1e18};
}

void LeasedInstance::onDisconnect() { beginSession(); }

void LeasedInstance::raiseToken(std::uint64_t token)
{
    if (token <= m_token)
        return;
    m_token = token;
    m_isFenced = false;
    beginSession();
}

void LeasedInstance::recordLoss()
{
    // An instance that leaves as planned ends what it still runs, whatever that is.
    if (m_report.state != InstanceState::Ready)
        return;
    std::set<std::string> tasks;
    for (const auto &[key, run] : m_runs)
        tasks.insert(key.task);
    if (!tasks.empty())
        m_losses.push_back({m_report.key, {tasks.begin(), tasks.end()}});
}

void LeasedInstance::endAll(Milliseconds now)
{
    recordLoss();
    endRuns(now);
}

void LeasedInstance::endRuns(Milliseconds now)
{
    while (!m_runs.empty())
        finish(m_runs.begin(), RunEnd::LeaseExpired, now);
}

void LeasedInstance::fence()
{
    m_isFenced = true;
    while (!m_runs.empty())
        finish(m_runs.begin(), RunEnd::LeaseExpired, m_runs.begin()->second.startedAt);
}

// --- Orders

StartOrder LeasedInstance::start(RunKey key, const std::string &payload,
                                 const ResourceVector &demand, Milliseconds expected,
                                 Milliseconds now, bool isExclusive, Milliseconds renewalLimit)
{
    CAMPHOR_ASSERT(isUsable(now));
    Run run;
    run.demand = demand;
    run.isExclusive = isExclusive;
    run.session = m_session;
    run.startedAt = run.progressAt = run.listedAt = now;
    run.expectedEnd = now + expected;
    m_used += demand;
    m_runs.emplace(key, run);
    const auto until = renewableUntil(now, renewalLimit);
    m_leaseUntilMs = std::max(m_leaseUntilMs, until);
    return {target(), std::move(key), payload, static_cast<std::uint64_t>(until)};
}

void LeasedInstance::abandon(const RunKey &key, AbandonReason reason, Milliseconds now,
                             Milliseconds renewalLimit)
{
    const auto it = m_runs.find(key);
    if (it == m_runs.end())
        return;
    it->second.renewalLimit = std::min(it->second.renewalLimit, renewalLimit);
    if (it->second.phase == Phase::Abandoned)
        return;
    it->second.phase = Phase::Abandoned;
    it->second.nextStopAt = now;
    m_notices.push_back(
        {InstanceNotice::Kind::Abandoned, key, 0, reason, now - it->second.startedAt});
}

std::vector<StopOrder> LeasedInstance::nextStops(Milliseconds now)
{
    std::vector<StopOrder> orders;
    if (m_isFenced || m_isOtherIncarnation)
        return orders;
    for (auto &[key, run] : m_runs) {
        if (run.phase != Phase::Abandoned || run.isStopInFlight || run.stopAckedAt
            || now < run.nextStopAt)
            continue;
        run.isStopInFlight = true;
        orders.push_back({target(), key});
    }
    return orders;
}

bool LeasedInstance::needsHold(Milliseconds now) const
{
    if (m_isFenced || m_isOtherIncarnation || (m_isHoldInFlight && !isHoldOutdated()))
        return false;
    // A single lost reply does not delay the next hold, whose list shows what has ended meanwhile.
    if (now < m_backoffUntil && m_missedReplies > 1)
        return false;
    const bool hasOldEnds =
        m_processedThrough > m_ackedThrough && now - m_firstUnackedAt >= m_settings.idleAckDelay;
    return !m_isSynced || !m_runs.empty() || hasOldEnds;
}

std::optional<HoldOrder> LeasedInstance::nextHold(Milliseconds now, Milliseconds renewalLimit)
{
    if (!needsHold(now))
        return std::nullopt;
    const bool isUncertain = std::ranges::any_of(
        m_runs, [](const auto &it) { return it.second.phase == Phase::Abandoned; });
    const bool isUnanswered = std::ranges::any_of(
        m_runs, [](const auto &it) { return it.second.unansweredAt.has_value(); });
    // An acknowledgement without news could make a later incarnation, which numbers its ends from 1
    // again, discard ends that were never read.
    const auto acked = m_processedThrough > m_ackedThrough ? m_processedThrough : 0;
    HoldOrder order{target(), std::nullopt, acked, 0, ++m_holdSerial};
    if (m_isSynced && !m_runs.empty()) {
        const auto wait = isUncertain ? m_settings.uncertainHoldWait : m_settings.holdWait;
        order.waitMs = isUnanswered ? 0 : static_cast<std::uint32_t>(wait.count());
        const auto until = renewableUntil(now, renewalLimit);
        if (until > clockAt(now)) {
            m_leaseUntilMs = std::max(m_leaseUntilMs, until);
            order.leaseUntilMs = static_cast<std::uint64_t>(until);
        }
    }
    m_isHoldInFlight = true;
    m_holdSentAt = now;
    m_ackInFlight = order.ackedThrough;
    return order;
}

bool LeasedInstance::isHoldOutdated() const
{
    return std::ranges::any_of(m_runs, [&](const auto &it) {
        return std::max(it.second.stopAckedAt, it.second.unansweredAt) > m_holdSentAt;
    });
}

Milliseconds LeasedInstance::nextDeadline(Milliseconds now) const
{
    constexpr Milliseconds Idle{1'000};
    auto deadline = now + Idle;
    if (m_backoffUntil > now)
        deadline = std::min(deadline, m_backoffUntil);
    if (m_processedThrough > m_ackedThrough && !m_isHoldInFlight)
        deadline = std::min(deadline, m_firstUnackedAt + m_settings.idleAckDelay);
    for (const auto &[key, run] : m_runs) {
        const bool needsStop =
            run.phase == Phase::Abandoned && !run.isStopInFlight && !run.stopAckedAt;
        if (needsStop)
            deadline = std::min(deadline, run.nextStopAt);
    }
    return std::max(deadline, now);
}

// --- Replies

void LeasedInstance::onReplyResult(OrderResult result, Milliseconds now)
{
    const bool isReply = result != OrderResult::NoReply && result != OrderResult::NotSent;
    // A reply shows that the instance is reachable, so the delay after missing ones is over.
    if (isReply && m_missedReplies > 0)
        m_backoffUntil = now;
    switch (result) {
    case OrderResult::NoReply:
    case OrderResult::NotSent: {
        const auto delay = m_settings.retryDelay * std::exp2(std::min(m_missedReplies, 8));
        m_backoffUntil = now + std::min(delay, m_settings.maxRetryDelay);
        ++m_missedReplies;
        return;
    }
    case OrderResult::Unhealthy:
        m_backoffUntil = now + m_settings.retryDelay;
        m_missedReplies = 0;
        return;
    case OrderResult::NoRoom:
        // A run that is unknown to this holder uses the room; a list will show it soon.
        m_backoffUntil = now + NoRoomDelay;
        m_missedReplies = 0;
        return;
    case OrderResult::Fenced:
        fence();
        return;
    case OrderResult::WrongInstance:
        m_isOtherIncarnation = true;
        return;
    default:
        m_missedReplies = 0;
    }
}

void LeasedInstance::onOrderReply(const OrderReply &reply, Milliseconds now,
                                  std::optional<std::uint64_t> session)
{
    onIncarnation(reply.startTimeMs, now);
    if (session && *session < m_session)
        return;
    updateClock(reply.clockMs, now);
    onReplyResult(reply.result, now);
}

void LeasedInstance::onStartReply(const RunKey &key, const OrderReply &reply, Milliseconds now,
                                  std::optional<std::uint64_t> session)
{
    onOrderReply(reply, now, session);
    const auto it = m_runs.find(key);
    if (it == m_runs.end() || it->second.session > session.value_or(m_session))
        return;
    auto &run = it->second;
    switch (reply.result) {
    case OrderResult::Accepted:
        if (run.phase == Phase::Starting)
            run.phase = Phase::Running;
        if (!run.confirmedAt)
            run.confirmedAt = now;
        return;
    case OrderResult::NoReply:
        if (run.phase == Phase::Starting)
            run.unansweredAt = now;
        return;
    default:
        // The order was refused or not sent, so this run did not start. A late copy of the order
        // cannot start it either, because every order is sent once.
        finish(it, RunEnd::Stopped, now);
    }
}

void LeasedInstance::onStopReply(const RunKey &key, const OrderReply &reply, Milliseconds now,
                                 std::optional<std::uint64_t> session)
{
    onOrderReply(reply, now, session);
    const auto it = m_runs.find(key);
    if (it == m_runs.end())
        return;
    it->second.isStopInFlight = false;
    if (reply.result == OrderResult::Accepted)
        it->second.stopAckedAt = now;
    else
        it->second.nextStopAt = std::max(now + m_settings.retryDelay, m_backoffUntil);
}

void LeasedInstance::onHoldReply(std::uint64_t serial, const HoldReply &reply, Milliseconds now)
{
    // An outdated list would not contain runs that were started after it was made.
    if (!m_isHoldInFlight || serial != m_holdSerial)
        return;
    m_isHoldInFlight = false;
    if (reply.startTimeMs > m_report.key.startTimeMs) {
        // This list was requested from the earlier incarnation; the next hold acknowledges none of
        // its ends.
        onIncarnation(reply.startTimeMs, now);
        return;
    }
    updateClock(reply.clockMs, now);
    onReplyResult(reply.result, now);
    if (reply.result != OrderResult::Accepted)
        return;
    m_isSynced = true;
    m_ackedThrough = std::max(m_ackedThrough, m_ackInFlight);
    onEnds(reply.ended, now);
    onRunning(reply, now);
}

void LeasedInstance::onEnds(const std::vector<EndedRun> &ended, Milliseconds now)
{
    for (const auto &end : ended) {
        if (end.number <= m_processedThrough)
            continue;
        if (m_processedThrough == m_ackedThrough)
            m_firstUnackedAt = now;
        m_processedThrough = end.number;
        if (const auto it = m_runs.find(end.key); it != m_runs.end())
            finish(it, end.end, now);
    }
}

void LeasedInstance::onRunning(const HoldReply &reply, Milliseconds now)
{
    std::set<RunKey> listed;
    for (const auto &row : reply.running) {
        listed.insert(row.key);
        auto it = m_runs.find(row.key);
        if (it == m_runs.end()) {
            // Started by an earlier holder, or by an order that was carried out late.
            Run run;
            run.phase = Phase::Abandoned;
            run.isForeign = true;
            run.startedAt = run.expectedEnd = run.nextStopAt = run.renewalLimit = now;
            ++m_foreignRuns;
            m_notices.push_back({InstanceNotice::Kind::UnknownRun, row.key, 0});
            it = m_runs.emplace(row.key, run).first;
            // The lease that this run was started under is unknown.
            assumeMaxLease(now);
        }
        auto &run = it->second;
        if (run.phase == Phase::Starting)
            run.phase = Phase::Running;
        run.unansweredAt.reset();
        // The lease that it was ordered under was not computed for the clock of this incarnation.
        const bool isLeaseUnknown =
            !run.wasListed && m_incarnationKnownAt && run.startedAt <= *m_incarnationKnownAt;
        if (isLeaseUnknown)
            assumeMaxLease(now);
        run.wasListed = true;
        run.listedAt = now;
        if (!run.confirmedAt)
            run.confirmedAt = now;
        if (row.percent != run.percent) {
            run.percent = row.percent;
            run.progressAt = now;
        }
    }
    if (reply.ended.size() >= MaxListedEnds)
        return;
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        const auto &run = it->second;
        // A hold can overtake a start on another connection, so only a start that was confirmed
        // before the hold was sent must appear in its list.
        const bool shouldBeListed =
            run.phase == Phase::Running && run.confirmedAt && *run.confirmedAt <= m_holdSentAt;
        const bool wasStopped = run.stopAckedAt && *run.stopAckedAt <= m_holdSentAt;
        // The order may still be carried out; only a stop ensures that it is not.
        if (run.unansweredAt && *run.unansweredAt <= m_holdSentAt) {
            it->second.unansweredAt.reset();
            abandon(it->first, AbandonReason::Unanswered, now);
        }
        if (!listed.contains(it->first) && (shouldBeListed || wasStopped))
            finish(it, wasStopped ? RunEnd::Stopped : RunEnd::LeaseExpired, now);
        it = next;
    }
}

void LeasedInstance::finish(std::map<RunKey, Run>::iterator it, RunEnd end, Milliseconds now)
{
    const auto &run = it->second;
    m_used -= run.demand;
    if (run.isForeign)
        --m_foreignRuns;
    else
        m_results.push_back({it->first, end, now - run.startedAt});
    m_runs.erase(it);
}

std::vector<RunKey> LeasedInstance::stalledRuns(Milliseconds stallTimeout) const
{
    std::vector<RunKey> keys;
    for (const auto &[key, run] : m_runs) {
        const auto expected = run.expectedEnd - run.startedAt;
        const bool isOverdue = run.listedAt - run.startedAt > expected * 2.0;
        if (run.phase == Phase::Running && isOverdue
            && run.listedAt - run.progressAt > stallTimeout)
            keys.push_back(key);
    }
    return keys;
}

} // namespace Camphor
