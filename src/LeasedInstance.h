/// @file The holder's view of one instance: its runs, their lease, and what is certain about them.
#pragma once

#include "CrashHistory.h"
#include "InstanceOrders.h"
#include "ReplyTimeout.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

namespace Camphor {

/// Lease and retry timing from the settings, in milliseconds of the holder's clock.
struct LeaseSettings
{
    /// Lease duration. Short, so that the runs of a lost holder end before the caller resubmits.
    Milliseconds lease{800};
    /// The longest lease that an instance grants; it shortens longer ones.
    Milliseconds maxLease{1'000};
    /// Maximum wait of a hold. Short, because a lost reply hides all ends until then.
    Milliseconds holdWait{150};
    /// Wait of a hold while the state of a run is uncertain, so that it is resolved soon.
    Milliseconds uncertainHoldWait{40};
    /// An instance's clock may run slower than the holder's clock by this fraction.
    double clockDrift = 0.02;
    /// When an order counts as unanswered; for a hold, beyond its wait.
    ReplyTimeoutSettings replyTimeout;
    /// Ends are acknowledged after this time if no other hold is due.
    Milliseconds idleAckDelay{300};
    /// Delay after the first missing reply of an instance; it doubles up to maxRetryDelay.
    Milliseconds retryDelay{100};
    Milliseconds maxRetryDelay{1'600};

    auto operator<=>(const LeaseSettings &) const = default;
};

/// A renewal limit that limits nothing.
constexpr Milliseconds NoRenewalLimit{1e18};

/// How a run ended, for the scheduler.
struct RunResult
{
    RunKey key;
    RunEnd end = RunEnd::LeaseExpired;
    Milliseconds elapsed; ///< Time since its start order.

    auto operator<=>(const RunResult &) const = default;
};

/// Why a run is to be stopped.
enum class AbandonReason : std::uint8_t {
    Unwanted, ///< Its job has ended, or nobody waits for it any longer.
    Stalled, ///< It makes no progress.
    Unanswered, ///< Its start order had no reply, and a list lacks it.
};

[[nodiscard]] const char *abandonReasonName(AbandonReason reason);

/// Something about an instance beside the ends of this holder's runs, for the log.
struct InstanceNotice
{
    enum class Kind : std::uint8_t {
        Restarted, ///< A later incarnation is known.
        UnknownRun, ///< A list shows a run that this holder has not started, or has given up.
        Abandoned, ///< A run is to be stopped.
    };

    Kind kind = Kind::Restarted;
    RunKey run; ///< Of UnknownRun and Abandoned.
    /// Of Restarted: number of runs that have ended with the former incarnation.
    std::size_t endedRuns = 0;
    AbandonReason reason = AbandonReason::Unwanted; ///< Of Abandoned.
    Milliseconds elapsed{0}; ///< Of Abandoned: time since the start order.

    auto operator<=>(const InstanceNotice &) const = default;
};

/// State of one leased instance. Performs no I/O: next...() methods return the orders to send,
/// on...() methods process the replies, and takeResults() returns the runs that have certainly
/// ended.
class LeasedInstance
{
public:
    /// @param session must be higher than in all orders of this holder to earlier incarnations.
    LeasedInstance(InstanceReport report, std::uint64_t token, const LeaseSettings &settings,
                   std::uint64_t session = 0);

    /// Processes a newer report. After one of a later incarnation, its lists show which runs have
    /// ended with the earlier one.
    void update(const InstanceReport &report, Milliseconds now);

    [[nodiscard]] const InstanceReport &report() const { return m_report; }
    [[nodiscard]] std::uint64_t token() const { return m_token; }
    [[nodiscard]] std::uint64_t session() const { return m_session; }
    /// Whether an order of this holder was given in an earlier session. Its reply says nothing
    /// about the present incarnation but whether the order was carried out.
    [[nodiscard]] bool isSuperseded(const OrderTarget &order) const
    {
        return order.session < m_session;
    }
    /// Whether new runs may be started here now.
    [[nodiscard]] bool isUsable(Milliseconds now) const;
    /// Whether the lease that was granted so far may last beyond a time.
    [[nodiscard]] bool isLeasedBeyond(Milliseconds time) const;
    /// Its lists were read under this holder's token, and no run unknown to it remains.
    [[nodiscard]] bool isSynced() const { return m_isSynced && m_foreignRuns == 0; }
    [[nodiscard]] bool isFenced() const { return m_isFenced; }
    [[nodiscard]] bool isOtherIncarnation() const { return m_isOtherIncarnation; }
    [[nodiscard]] ResourceVector freeCapacity() const { return m_report.capacity - m_used; }
    [[nodiscard]] std::size_t runCount() const { return m_runs.size(); }
    /// Number of runs with this prefix of the task name, such as those of one step of a job.
    [[nodiscard]] std::size_t runsWithPrefix(const std::string &prefix) const;
    /// Whether a run of this task is here that may not have ended.
    [[nodiscard]] bool hasRunOf(const std::string &task) const;
    /// Whether a run is here beside which no other may start.
    [[nodiscard]] bool hasExclusiveRun() const;

    /// The runs that are here, the abandoned ones included.
    [[nodiscard]] auto runKeys() const { return m_runs | std::views::keys; }

    /// Records a run and returns the order to send. Requires isUsable().
    /// @param isExclusive whether hasExclusiveRun() is to be true while the run is here.
    /// @param renewalLimit the order must not renew the lease beyond this time.
    [[nodiscard]] StartOrder start(RunKey key, const std::string &payload,
                                   const ResourceVector &demand, Milliseconds expected,
                                   Milliseconds now, bool isExclusive = false,
                                   Milliseconds renewalLimit = NoRenewalLimit);
    /// Abandons a run; nextStops() then orders its stop until the run has ended.
    /// @param renewalLimit until the run has ended, no order renews the lease beyond this time. The
    /// lease is that of all runs, so the others expire too if the stop goes unanswered.
    void abandon(const RunKey &key, AbandonReason reason, Milliseconds now,
                 Milliseconds renewalLimit = NoRenewalLimit);

    [[nodiscard]] std::vector<StopOrder> nextStops(Milliseconds now);
    /// A run whose stop was acknowledged, or whose start was not, makes a hold urgent, which then
    /// replaces the one in flight.
    /// @param renewalLimit as for start().
    [[nodiscard]] std::optional<HoldOrder> nextHold(Milliseconds now,
                                                    Milliseconds renewalLimit = NoRenewalLimit);
    /// Whether nextHold() returns an order.
    [[nodiscard]] bool needsHold(Milliseconds now) const;
    /// When nextStops() or nextHold() may return an order without a new event.
    [[nodiscard]] Milliseconds nextDeadline(Milliseconds now) const;

    /// @param session of the order; nothing for the present one.
    void onStartReply(const RunKey &key, const OrderReply &reply, Milliseconds now,
                      std::optional<std::uint64_t> session = std::nullopt);
    void onStopReply(const RunKey &key, const OrderReply &reply, Milliseconds now,
                     std::optional<std::uint64_t> session = std::nullopt);
    /// @param serial of the order, which must be of the present session; a reply to any order but
    /// the last one is ignored.
    void onHoldReply(std::uint64_t serial, const HoldReply &reply, Milliseconds now);

    /// Ends runs whose lease has certainly expired on the instance's clock.
    void expireLeases(Milliseconds now);
    /// This process was paused for so long that its view is outdated: the lists are read again.
    void invalidate();
    /// The connections to the instance have ended, so another incarnation may reply from now on.
    void onDisconnect();
    /// The instance is gone: ends all its runs.
    void endAll(Milliseconds now);
    /// Another holder has taken over: ends all runs without a known result and orders nothing more.
    void fence();
    /// This holder was granted a token. After a higher one the lists are read again, because
    /// another holder may have had the instance in between.
    void raiseToken(std::uint64_t token);

    /// Runs that have ended since the last call.
    [[nodiscard]] std::vector<RunResult> takeResults() { return std::exchange(m_results, {}); }
    [[nodiscard]] std::vector<InstanceNotice> takeNotices() { return std::exchange(m_notices, {}); }
    /// Incarnations that were lost with runs since the last call.
    [[nodiscard]] std::vector<InstanceLoss> takeLosses() { return std::exchange(m_losses, {}); }
    /// Runs that took more than twice their expected time and were listed without progress for the
    /// given time.
    [[nodiscard]] std::vector<RunKey> stalledRuns(Milliseconds stallTimeout) const;
    /// Consecutive orders and holds without a reply.
    [[nodiscard]] int missedReplies() const { return m_missedReplies; }

private:
    enum class Phase : std::uint8_t {
        Starting, ///< No reply to the start order yet.
        Running, ///< Accepted or listed.
        Abandoned, ///< To be stopped, including after a start order without a reply.
    };

    struct Run
    {
        Phase phase = Phase::Starting;
        ResourceVector demand;
        Milliseconds startedAt;
        Milliseconds expectedEnd;
        /// Listed by the instance but unknown to this holder: another holder has started it, or an
        /// order was carried out late.
        bool isForeign = false;
        bool isStopInFlight = false;
        bool isExclusive = false; ///< No other run may start beside it.
        std::uint64_t session = 0; ///< In which it was ordered; 0 for a foreign run.
        /// A list has shown it, so it was started on the incarnation that is known.
        bool wasListed = false;
        /// When a reply or a list first showed that the run has started.
        std::optional<Milliseconds> confirmedAt;
        /// When the start order turned out to have no reply. The next list shows whether it was
        /// carried out.
        std::optional<Milliseconds> unansweredAt;
        std::optional<Milliseconds> stopAckedAt;
        Milliseconds nextStopAt; ///< No stop order is sent before.
        Milliseconds renewalLimit = NoRenewalLimit; ///< Of an abandoned run.
        std::uint32_t percent = 0;
        Milliseconds progressAt; ///< When a list last showed a different percentage.
        Milliseconds listedAt; ///< When it was last listed.
    };

    [[nodiscard]] OrderTarget target() const
    {
        return {m_report.key, m_report.address, m_token, m_session};
    }
    [[nodiscard]] double clockAt(Milliseconds now) const;
    /// A lower bound of the instance's clock, which may be slow.
    [[nodiscard]] double slowClockAt(Milliseconds time) const;
    /// The earliest renewal limit of the abandoned runs.
    [[nodiscard]] Milliseconds abandonedRenewalLimit() const;
    /// Until when the next order may renew the lease, on the instance's clock.
    [[nodiscard]] double renewableUntil(Milliseconds now, Milliseconds renewalLimit) const;
    /// The instance may have granted its longest lease.
    void assumeMaxLease(Milliseconds now);
    void updateClock(const std::optional<double> &clockMs, Milliseconds now);
    void onReplyResult(OrderResult result, Milliseconds now);
    /// Begins a session: the instance may have restarted, or another holder may have had it.
    void beginSession();
    /// What a reply says about the instance itself, unless it is to an order of an earlier session.
    void onOrderReply(const OrderReply &reply, Milliseconds now,
                      std::optional<std::uint64_t> session);
    /// Whether the hold in flight was sent before a stop was acknowledged or a start turned out to
    /// be unanswered, so that its list cannot show the state of that run.
    [[nodiscard]] bool isHoldOutdated() const;
    /// Handles a start time in a report or reply that may belong to a later incarnation.
    void onIncarnation(std::uint64_t startTimeMs, Milliseconds now);
    /// Whether the lease of a run may end later than the known clock says.
    [[nodiscard]] bool mayOutliveLease(const Run &run, Milliseconds now) const;
    void finish(std::map<RunKey, Run>::iterator it, RunEnd end, Milliseconds now);
    /// The known incarnation is lost, with all runs that it may have. Does nothing if it was about
    /// to leave.
    void recordLoss();
    void endRuns(Milliseconds now);
    void onEnds(const std::vector<EndedRun> &ended, Milliseconds now);
    void onRunning(const HoldReply &reply, Milliseconds now);

    LeaseSettings m_settings;
    InstanceReport m_report;
    std::uint64_t m_token;
    std::uint64_t m_session;
    std::map<RunKey, Run> m_runs;
    ResourceVector m_used;
    std::size_t m_foreignRuns = 0;
    std::vector<RunResult> m_results;
    std::vector<InstanceNotice> m_notices;
    std::vector<InstanceLoss> m_losses;

    bool m_isSynced = false;
    bool m_isFenced = false;
    bool m_isOtherIncarnation = false;
    /// The report is of an earlier incarnation, which may have had another service, capacity and
    /// other labels.
    bool m_isReportOutdated = false;
    std::optional<double> m_clockMs; ///< Lower bound of the instance's clock at m_clockAt.
    Milliseconds m_clockAt;
    double m_leaseUntilMs = 0; ///< Latest lease expiry in any order, on the instance's clock.
    /// When the last change of the incarnation became known. Runs that were ordered before may be
    /// running on it, under a lease that is not known.
    std::optional<Milliseconds> m_incarnationKnownAt;

    bool m_isHoldInFlight = false;
    std::uint64_t m_holdSerial = 0;
    Milliseconds m_holdSentAt;
    std::uint64_t m_ackInFlight = 0; ///< Acknowledgement in the last hold that was sent.
    std::uint64_t m_processedThrough = 0; ///< Number of the last end that was processed.
    std::uint64_t m_ackedThrough = 0; ///< Number of the last end that was acknowledged in a hold.
    Milliseconds m_firstUnackedAt;

    int m_missedReplies = 0;
    Milliseconds m_backoffUntil{-1e18};
};

} // namespace Camphor
