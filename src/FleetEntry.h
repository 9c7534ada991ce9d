/// @file An entry of a fleet: takes jobs from callers, hands them to the holders of the cells,
/// and schedules the instances of those that it holds itself.
#pragma once

#include "ControlWatch.h"
#include "FleetMetrics.h"
#include "HolderLink.h"
#include "InstanceOrders.h"
#include "RpcServer.h"
#include "RunScheduler.h"

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
    /// Longest time that jobs in progress keep a leaving entry from giving its cells away.
    Milliseconds handOverTime{1'500};
    /// A holder that had no room is not asked again before this time.
    Milliseconds fullPause{20};
    /// Other holders that are asked about one job at a time.
    std::size_t maxOffers = 3;
    /// For this long after its start an entry lets callers wait for the configuration and for
    /// holders in place of refusing them: after a loss of power of all, members start a third of
    /// a second later than entries and need another third to elect a leader.
    Milliseconds startGrace{1'000};
    /// Callers that may wait so.
    std::size_t maxStartWaiters = 1'000;
    /// Pause before holders are looked for again.
    Milliseconds reroutePause{30};
};

/// Reads a configuration's text. Implemented by the adapter that also accepted it.
using ConfigurationReader =
    std::function<Result<FleetConfiguration>(const std::string &text, std::uint64_t version)>;

/// All calls must come from the thread of the io_context.
class FleetEntry : public std::enable_shared_from_this<FleetEntry>
{
public:
    using OutcomeCallback = std::function<void(JobOutcome)>;

    [[nodiscard]] static Result<std::shared_ptr<FleetEntry>>
    make(boost::asio::io_context &io, const FleetEntrySettings &settings,
         std::shared_ptr<InstanceClient> instances, ConfigurationReader reader);

    /// The configuration in force, or null while none is known.
    [[nodiscard]] const FleetConfiguration *configuration() const { return m_configuration.get(); }
    /// Calls back when there is a configuration, or when waiting for one has no use.
    void whenConfigured(std::function<void()> callback);
    /// Runs a job; calls back when it has ended or was refused. A job that is in progress here
    /// is joined.
    void submit(const FleetJob &job, OutcomeCallback callback);
    /// The caller of a job has gone.
    void abandon(const std::string &jobId);
    /// Whether jobs can be served.
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::size_t jobsInProgress() const { return m_waiting.size(); }
    /// The text of /metrics.
    [[nodiscard]] std::string metricsText();
    /// After leave(): it holds no cell and no job any more.
    [[nodiscard]] bool hasLeft() const { return m_hasLeft; }
    void addSeeds(const std::vector<std::string> &seeds) { m_watch->addSeeds(seeds); }
    /// Takes no new jobs of other entries, and gives its cells away when its runs have ended.
    void leave();
    /// Refuses jobs of callers from now on.
    void stopIntake() { m_isIntakeStopped = true; }
    /// Answers all jobs in progress as unknown, and stops their runs.
    void abandonAll();
    /// Closes all connections and ends all timers; nothing may be asked of the entry afterwards.
    void stop();

private:
    /// A job that callers wait for here.
    struct Waiting
    {
        FleetJob job;
        std::vector<OutcomeCallback> callbacks;
        std::vector<std::string> tried; ///< Addresses that were asked.
        std::string address; ///< Of the holder that has it; empty for this entry.
        Milliseconds submittedAt;
    };

    /// A job of this scheduler that another cell's holder was asked to run.
    struct Offered
    {
        FleetJob job;
        std::vector<std::string> tried; ///< Addresses.
        std::string address;
    };

    FleetEntry(boost::asio::io_context &io, FleetEntrySettings settings,
               std::shared_ptr<InstanceClient> instances, ConfigurationReader reader);

    Status open();
    void onBelief();
    [[nodiscard]] bool isHolder() const { return !m_heldCells.empty(); }
    [[nodiscard]] bool isOwn(const CellGrant &grant) const;
    /// The next holder to ask: cells of the own domain in turn, then those of others.
    [[nodiscard]] const CellGrant *nextGrant(const std::vector<std::string> &tried, bool skipsFull);
    void route(const std::string &jobId);
    /// No holder can be asked now: waits a moment after the start, and refuses the job otherwise.
    void onNoHolder(const std::string &jobId);
    [[nodiscard]] bool isStarting() const;
    void releaseStartWaiters();
    void onHandedOver(const std::string &jobId,
                      const std::variant<JobOutcome, HandOverFailure> &it);
    void answer(const std::string &jobId, const JobOutcome &outcome);

    void onRpc(const Hello &peer, MessageKind kind, const std::string &payload,
               const RpcReply &reply);
    void onSubmit(const std::string &requester, const std::string &payload, const RpcReply &reply);

    void schedule();
    void sendOrders();
    void giveResults();
    void makeOffers();
    void offerNext(const std::string &jobId);
    void onOffered(const std::string &jobId, const std::variant<JobOutcome, HandOverFailure> &it);
    void logEvents();
    void armTimer(Milliseconds now);
    void checkLeaving();

    boost::asio::io_context &m_io;
    FleetEntrySettings m_settings;
    std::shared_ptr<InstanceClient> m_instances;
    ConfigurationReader m_reader;
    SteadyClock m_clock;
    std::shared_ptr<const FleetConfiguration> m_configuration;
    std::shared_ptr<ControlWatch> m_watch;
    std::shared_ptr<HolderLink> m_link;
    std::shared_ptr<RpcServer> m_rpc;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_graceTimer;

    FleetMetrics m_metrics;
    RunScheduler m_scheduler;
    CellMap m_cells;
    std::vector<std::string> m_heldCells; ///< Names.
    std::size_t m_turn = 0; ///< Spreads jobs over the cells.
    std::map<std::string, Waiting> m_waiting;
    std::map<std::string, std::vector<RpcReply>> m_replies; ///< Of jobs of other entries.
    std::map<std::string, Offered> m_offered;
    std::map<std::string, Milliseconds> m_fullUntil; ///< By address.
    bool m_isScheduling = false;
    bool m_isLeaving = false;
    bool m_hasLeft = false;
    bool m_isIntakeStopped = false;
    Milliseconds m_leavingSince;
    Milliseconds m_startedAt = m_clock.now();
    std::vector<std::function<void()>> m_startWaiters;
};

} // namespace Camphor
