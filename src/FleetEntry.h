/// @file An entry of a fleet: accepts jobs from callers, submits them to the holders of the cells,
/// and schedules the instances of the cells that it holds itself.
#pragma once

#include "ControlWatch.h"
#include "FleetMetrics.h"
#include "HolderLink.h"
#include "Http.h"
#include "HttpServer.h"
#include "InstanceOrders.h"
#include "RpcServer.h"
#include "RunOfferClient.h"
#include "RunScheduler.h"
#include "RunWaiters.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Camphor {

struct FleetEntrySettings
{
    std::string cluster;
    EntryIdentity self;
    std::vector<std::string> seeds; ///< RPC addresses of control instances.
    SchedulerSettings scheduler;
    HolderLinkSettings link;
    /// How long jobs in progress may delay the release of a leaving entry's cells.
    Milliseconds cellReleaseTimeout{1'500};
    /// A holder that had no room is not tried again before this time.
    Milliseconds fullHolderBackoff{20};
    /// Maximum number of other holders that the runs of a job are offered to before they may start
    /// here again.
    std::size_t maxOffers = 3;
    /// For this long after its start an entry lets callers wait for the configuration and for
    /// holders instead of refusing them: after a power failure of all machines, members start a
    /// third of a second later than entries and need another third to elect a leader.
    Milliseconds startGrace{1'000};
    /// Maximum number of callers that wait for the configuration after the start.
    std::size_t maxStartWaiters = 1'000;
    /// Delay before holders are tried again.
    Milliseconds rerouteDelay{30};
    /// A submission or an offer of another entry that is older is refused, and that entry decides
    /// anew. Together with SchedulerSettings::renewalTimeout, this must be shorter than
    /// the time after which callers resend.
    Milliseconds maxRequestAge{300};
    /// Processor of this entry, in cores. Cells are assigned in proportion to it.
    double cpuShare = 1.0;
    /// For the jobs in progress, of callers and of other entries.
    std::shared_ptr<MemoryBudget> jobMemory = MemoryBudget::forJobs(DefaultJobMemoryBytes);

    static constexpr std::size_t DefaultJobMemoryBytes = std::size_t{32} * 1024 * 1024;
};

/// All calls must come from the thread of the io_context.
class FleetEntry : public std::enable_shared_from_this<FleetEntry>, private HolderChoice
{
public:
    using OutcomeCallback = std::function<void(JobOutcome)>;

    [[nodiscard]] static Result<std::shared_ptr<FleetEntry>>
    make(boost::asio::io_context &io, const FleetEntrySettings &settings,
         std::shared_ptr<InstanceClient> instances);

    /// The configuration in force, or null while none is known.
    [[nodiscard]] const FleetConfiguration *configuration() const { return m_configuration.get(); }
    /// Calls back when a configuration is known, with the time that it took. Does not wait for one
    /// after startGrace, or if maxStartWaiters callers already wait.
    void whenConfigured(std::function<void(Milliseconds waited)> callback);
    /// Runs a job; calls back when it has ended or was refused. Joins a job with the same id that
    /// is in progress here.
    /// @param caller whose disconnection, with that of all other callers of the job, ends the job;
    /// may be null.
    void submit(const FleetJob &job, OutcomeCallback callback,
                std::shared_ptr<CallerConnection> caller = nullptr);
    /// A caller of a job has disconnected: cancels the job unless another caller waits for it.
    void onDisconnect(const std::string &jobId);
    /// Whether jobs can be served.
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::size_t jobsInProgress() const { return m_pendingJobs.size(); }
    /// The response body of /metrics.
    /// @param callerConnections number of open connections of callers.
    [[nodiscard]] std::string metricsText(std::size_t callerConnections,
                                          const HttpServerCounters &callers = {});
    /// After leave(): whether the entry has no job any more, and either has no cell or has waited
    /// long enough for the release of its cells.
    [[nodiscard]] bool hasLeft() const { return m_hasLeft; }
    void addSeeds(const std::vector<std::string> &seeds) { m_watch->addSeeds(seeds); }
    /// Accepts no new jobs from other entries, and releases its cells when its runs have ended.
    void leave();
    /// Refuses jobs of callers from now on.
    void stopAccepting() { m_hasStoppedAccepting = true; }
    /// Responds to all jobs in progress as unknown, and stops their runs.
    void abandonAll();
    /// Closes all connections and cancels all timers; the entry must not be used afterwards.
    void stop();

private:
    /// A caller that waits for the outcome of a job.
    struct Caller
    {
        OutcomeCallback respond;
        std::shared_ptr<CallerConnection> connection; ///< Null if it cannot disconnect.

        [[nodiscard]] bool isGone() const { return connection && connection->isDisconnected(); }
    };

    /// A job whose callers wait for a response here.
    struct PendingJob
    {
        FleetJob job;
        std::vector<Caller> callers;
        std::vector<std::string> tried; ///< Addresses of holders that were tried.
        std::string address; ///< Address of the holder that has the job; empty for this entry.
        /// Identifies this submission, for what arrives after it has ended: the replies of holders,
        /// and the results of the own scheduler.
        std::uint64_t submission = 0;
        JobKey scheduled; ///< Of the own scheduler, if it has the job.
        Milliseconds arrivedAt; ///< When the caller's request arrived.
        MemoryReservation memory;

        /// Whether no caller waits any longer.
        [[nodiscard]] bool isAbandoned() const
        {
            return std::ranges::all_of(callers, &Caller::isGone);
        }
    };

    /// A caller that waits for the first configuration.
    struct StartWaiter
    {
        Milliseconds since;
        std::function<void(Milliseconds waited)> callback;
    };

    FleetEntry(boost::asio::io_context &io, FleetEntrySettings settings,
               std::shared_ptr<InstanceClient> instances);

    Status open();
    void onViewChanged();
    void readConfiguration();
    [[nodiscard]] bool isHolder() const { return !m_heldCells.empty(); }
    [[nodiscard]] bool isOwn(const CellGrant &grant) const;
    /// The next holder to try: cells of the own domain in turn, then those of others.
    [[nodiscard]] const CellGrant *nextGrant(const std::vector<std::string> &tried, bool skipsFull);
    [[nodiscard]] std::optional<std::string>
    nextHolder(const std::vector<std::string> &tried) override;
    void onHolderFull(const std::string &address) override;
    [[nodiscard]] bool isWanted(const JobKey &job) const override;
    /// Cancels a job whose callers wait no longer.
    void abandon(const std::string &jobId);
    /// After a pause of this process: cancels the jobs whose callers have disconnected meanwhile.
    void abandonUnwantedJobs();
    void route(const JobKey &key);
    /// No holder can be tried now: tries again later during the start grace period, and refuses the
    /// job after it.
    void onNoHolder(const JobKey &key);
    [[nodiscard]] bool isStarting() const;
    void releaseStartWaiters();
    /// The job of a caller, or null if this submission of it has ended.
    [[nodiscard]] PendingJob *find(const JobKey &key);
    void onForwardResult(const JobKey &key, const std::variant<JobOutcome, ForwardFailure> &it);
    void respond(const std::string &jobId, const JobOutcome &outcome);

    /// @param readAt when the request was read; its sender was in contact then.
    void onRpc(const RequestOrigin &peer, MessageKind kind, const std::string &payload,
               const RpcReply &reply, Milliseconds readAt);
    void onSubmit(const std::string &requester, const std::string &payload, const RpcReply &reply);
    /// Whether a request was made too long ago to be handled; counts and logs it.
    [[nodiscard]] bool isExpired(const RequestOrigin &peer, MessageKind kind);
    /// Whether there was so long no scheduling pass that callers may have left unnoticed.
    [[nodiscard]] bool wasUnnoticedPause(Milliseconds now) const;
    /// The requesters of the jobs with runs at another holder, for it; empty if there are none.
    [[nodiscard]] std::string pingPayload(const std::string &address) const;
    void onPing(const std::string &requester, const std::string &payload, const RpcReply &reply,
                Milliseconds contactAt);

    void schedule();
    /// Tells the control group under which tasks instances were lost.
    void reportLosses();
    void sendOrders();
    /// Counts a reply to an order without a wait, or its lack.
    void countReply(const char *order, OrderResult result, Milliseconds elapsed);
    void deliverResults();
    /// Exchanges offers, stops and ends of runs with the holders of other cells.
    void makeOffers(Milliseconds now);
    void onOfferRuns(const std::string &requester, const std::string &payload,
                     const RpcReply &reply);
    void onAwaitRuns(const std::string &requester, const std::string &payload,
                     const RpcReply &reply);
    void onStopRuns(const std::string &requester, const std::string &payload, const RpcReply &reply,
                    Milliseconds sentAfter);
    void logEvents();
    void armTimer(Milliseconds now);
    void checkLeaving();

    boost::asio::io_context &m_io;
    FleetEntrySettings m_settings;
    std::shared_ptr<InstanceClient> m_instances;
    SteadyClock m_clock;
    std::shared_ptr<const FleetConfiguration> m_configuration;
    std::shared_ptr<ControlWatch> m_watch;
    std::shared_ptr<HolderLink> m_link;
    std::shared_ptr<RpcServer> m_rpc;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_graceTimer;

    FleetMetrics m_metrics;
    RunScheduler m_scheduler;
    ReplyTimeout m_replyTimeout; ///< Of orders to instances.
    std::uint64_t m_lossRevision = 0; ///< Of the losses in the view that the scheduler has.
    CellMap m_cells;
    std::vector<std::string> m_heldCells; ///< Names of the cells that this entry holds.
    std::size_t m_roundRobin = 0; ///< Round-robin position that spreads jobs over the cells.
    std::map<std::string, PendingJob> m_pendingJobs;
    std::uint64_t m_lastSubmission = 0;
    /// Pending replies to other entries.
    std::map<JobKey, std::vector<RpcReply>> m_replies;
    std::shared_ptr<RunOfferClient> m_offers;
    RunWaiters m_waiters; ///< Other holders that wait for runs which this entry has accepted.
    /// Until when a holder without room is not tried, by address.
    std::map<std::string, Milliseconds> m_fullUntil;
    bool m_isScheduling = false;
    bool m_isLeaving = false;
    bool m_hasLeft = false;
    bool m_hasStoppedAccepting = false;
    Milliseconds m_leavingSince;
    Milliseconds m_startedAt = m_clock.now();
    Milliseconds m_scheduledAt = m_clock.now(); ///< Last scheduling pass.
    std::vector<StartWaiter> m_startWaiters;
};

} // namespace Camphor
