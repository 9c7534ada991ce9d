/// @file A control instance of a fleet: a member of the replicated group that stores the
/// configuration and the holders of the cells, and that receives the instances' reports.
#pragma once

#include "CellAssignment.h"
#include "ControlNode.h"
#include "CrashHistory.h"
#include "DocumentHistory.h"
#include "EntryContacts.h"
#include "FleetMetrics.h"
#include "FleetProtocol.h"
#include "GroupMembership.h"
#include "Http.h"
#include "InstanceDirectory.h"
#include "InstanceFile.h"
#include "RpcServer.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Camphor {

struct FleetControlSettings
{
    std::string cluster;
    Address listen; ///< RPC.
    Address operatorAddress; ///< Where operators and instances call this process.
    /// Operator addresses of control instances. At the first start these are the founders.
    std::vector<Address> seeds;
    bool isFirstStart = false; ///< The whole system starts for the first time, with empty disks.
    std::string dataFolder;
    std::vector<std::string> domains; ///< All failure domains.
    Milliseconds instanceTimeout{5'000};
    /// Heartbeat between members. A vote costs two synced writes, which take a few tens of
    /// milliseconds.
    Milliseconds heartbeat{80};
    Milliseconds electionTimeout{400};
    Milliseconds startElectionTimeout{120}; ///< See RaftSettings.
    GroupMembershipSettings membership;
    CellAssignmentSettings assignment;
};

using OperatorCallback = std::function<void(OperatorResponse)>;

/// All calls must come from the thread of the io_context.
class FleetControl : public std::enable_shared_from_this<FleetControl>
{
public:
    /// Opens the data folder and starts to serve.
    [[nodiscard]] static Result<std::shared_ptr<FleetControl>>
    make(boost::asio::io_context &io, const FleetControlSettings &settings);

    /// Stores a validated configuration; calls back when it is on a majority of disks. A follower
    /// forwards the request to the leader: a redirect would cost the operator a second response
    /// that can be lost.
    /// @param text of the configuration as the operator sent it.
    void storeDocument(const FleetConfiguration &configuration, std::string text,
                       OperatorCallback callback);
    /// Reads the newest configuration, confirmed by a majority.
    void readDocument(OperatorCallback callback);
    /// Whether the settings name this failure domain.
    [[nodiscard]] bool hasDomain(const std::string &domain) const;
    /// Starts or ends a drain; calls back when the order is on a majority of disks.
    /// @param caller the operator. One that has disconnected sends the order again, or has sent a
    /// later one meanwhile, so its order is dropped. May be null.
    void drainDomain(const DrainDomainCommand &order, std::shared_ptr<CallerConnection> caller,
                     OperatorCallback callback);
    /// Prepares the end of this process: a member with a vote goes on until the leader has replaced
    /// it, or for the time limit. Calls back when the process may end. Call it once.
    void leave(Milliseconds limit, std::function<void()> onLeft);
    /// Replaces the addresses at which to find the group. The founders do not change.
    void replaceSeeds(std::vector<Address> seeds);
    void reportInstance(const InstanceReport &report);
    void instanceLeft(const std::string &id, std::uint64_t startTimeMs);
    /// Counts a report that could not be read.
    void countUnreadableReport() { m_metrics.countReport(false); }
    /// The response body of /metrics.
    [[nodiscard]] std::string metricsText();

private:
    struct Watcher
    {
        WatchFleetRequest request;
        RpcReply reply;
        Milliseconds until;
    };

    /// Set while this process is about to end.
    struct Departure
    {
        Milliseconds until;
        std::function<void()> onLeft; ///< Empty once it was called.
    };

    FleetControl(boost::asio::io_context &io, FleetControlSettings settings);

    Status open();
    /// Opens the data folder and joins the group under the name stored there, or a new one.
    Status openMember();
    /// The group has removed this member: erases its data and rejoins under a new name.
    void rejoinAsNewMember();
    /// The disk failed. Opens it again after a delay; until then this process still receives
    /// reports and serves entries, but replies to nothing that depends on the disk.
    void scheduleReopen(const Error &reason);
    [[nodiscard]] Result<std::string> loadOrCreateName(const RaftStorage &storage) const;
    void onRpc(const RequestOrigin &peer, MessageKind kind, const std::string &payload,
               const RpcReply &reply);
    void onWatch(const std::string &payload, const RpcReply &reply);
    void onReportLosses(const std::string &payload, const RpcReply &reply);
    /// @return whether the loss was not known yet.
    bool addLoss(const InstanceLoss &loss);
    void onFetch(const std::string &payload, const RpcReply &reply);
    void onJoin(const std::string &payload, const RpcReply &reply);
    [[nodiscard]] bool hasUpdate(const WatchFleetRequest &request) const;
    [[nodiscard]] FleetUpdate makeUpdate(const WatchFleetRequest &request) const;
    void replyToWatchers(bool all);
    void restoreInstances();
    /// Stores the known instances on disk, so that a restart of all processes need not wait for
    /// reports.
    void storeInstances();
    void armTimer();
    void tick();
    void runLeaderDuties();
    void changeMembers(Milliseconds now);
    [[nodiscard]] MembershipView membershipView(const std::set<std::string> &leaving,
                                                Milliseconds now) const;
    /// Members that have announced lately that their processes are about to end.
    [[nodiscard]] std::set<std::string> leavingMembers(Milliseconds now) const;
    /// Whether the leader, which this member is, has nothing left to do for a leaving member.
    [[nodiscard]] bool mayLeave(const std::string &member) const;
    void noteCandidate(const RaftMember &member);
    void noteLeaving(const std::string &member);
    void evictCandidates();
    /// Ends the departure if nothing is left to wait for.
    void checkDeparture();
    void finishDeparture(const std::string &reason);
    void grantCells(Milliseconds now);
    void joinGroup();
    void sendJoinRequest(const std::string &address);
    void onJoinReply(const JoinGroupReply &reply);
    /// RPC addresses of the members, and of candidates that contacted this member directly.
    [[nodiscard]] std::vector<std::string> controlAddresses() const;
    [[nodiscard]] RaftMember self() const;
    void onStore(const std::string &payload, const RpcReply &reply);
    void onRead(const RpcReply &reply);
    void onDrain(const RequestOrigin &peer, const std::string &payload, const RpcReply &reply);
    /// Returns a callback that also logs the answer to an operator's change.
    [[nodiscard]] OperatorCallback logAnswer(std::uint64_t version, OperatorCallback callback);
    /// Forwards an operator's request to the leader.
    void forwardToLeader(MessageKind kind, std::string payload, OperatorCallback callback);
    void storeAsLeader(StoredDocument document, OperatorCallback callback);
    void readAsLeader(OperatorCallback callback);
    void drainAsLeader(const DrainDomainCommand &order, OperatorCallback callback);

    boost::asio::io_context &m_io;
    FleetControlSettings m_settings;
    std::string m_name; ///< Name of this member; changes after the loss of its disk.
    std::shared_ptr<ControlNode> m_node;
    std::shared_ptr<RpcServer> m_rpc;
    RpcSettings m_rpcSettings;
    SteadyClock m_clock;
    Milliseconds m_startedAt{0};
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_reopenTimer;
    FleetMetrics m_metrics;
    DocumentHistory m_documents;
    InstanceDirectory m_directory;
    CrashHistory m_losses;
    /// Epoch of the revisions of m_directory and m_losses; differs for each process.
    std::uint64_t m_epoch = 0;
    std::uint64_t m_storedRevision = 0; ///< Revision of m_directory that is on disk.
    Milliseconds m_nextStoreAt;
    std::list<Watcher> m_watchers;

    std::vector<Address> m_seeds; ///< The seeds that the settings name now.
    EntryContacts m_entries;
    std::map<std::string, MemberCandidate> m_candidates;
    /// Time of the last announcement of each member whose process is about to end.
    std::map<std::string, Milliseconds> m_leaving;
    std::optional<Departure> m_departure;
    /// RPC addresses that another member named, with the time. They are only contacted and never
    /// passed on, because members would otherwise pass the address of a replaced machine to each
    /// other forever.
    std::map<std::string, Milliseconds> m_namedAddresses;
    std::map<std::string, std::shared_ptr<RpcClient>> m_joinClients;
    std::shared_ptr<RpcClient> m_leaderClient; ///< For forwarded requests of operators.
    Milliseconds m_leaderSince{-1};
    bool m_wasLeader = false;
    std::size_t m_grantsInFlight = 0;
    Milliseconds m_nextJoinAt;
};

} // namespace Camphor
