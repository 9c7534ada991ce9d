/// @file A control instance of a fleet: a member of the replicated group that keeps the
/// configuration and the holders of the cells, and that hears the instances' reports.
#pragma once

#include "CellAssignment.h"
#include "ControlNode.h"
#include "FleetMetrics.h"
#include "FleetProtocol.h"
#include "GroupMembership.h"
#include "InstanceDirectory.h"
#include "InstanceFile.h"
#include "RpcServer.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
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
    Milliseconds instanceSilence{5'000};
    /// Between members. A vote costs two synced writes, which are a few tens of milliseconds.
    Milliseconds heartbeat{80};
    Milliseconds electionTimeout{400};
    Milliseconds startElectionTimeout{170}; ///< See RaftSettings.
    GroupMembershipSettings membership;
    CellAssignmentSettings assignment;
};

using OperatorCallback = std::function<void(OperatorAnswer)>;

/// All calls must come from the thread of the io_context.
class FleetControl : public std::enable_shared_from_this<FleetControl>
{
public:
    /// Opens the data folder and starts to serve.
    [[nodiscard]] static Result<std::shared_ptr<FleetControl>>
    make(boost::asio::io_context &io, const FleetControlSettings &settings);

    /// Stores a checked configuration; the callback comes when it is on a majority of disks. A
    /// member that does not lead asks the leader: a redirect would cost the operator a second
    /// answer that can be lost.
    void storeDocument(std::uint64_t version, std::string text, OperatorCallback callback);
    /// Reads the newest configuration, confirmed by a majority.
    void readDocument(OperatorCallback callback);
    /// Takes other addresses at which to ask for the group. The founders stay who they were.
    void replaceSeeds(std::vector<Address> seeds);
    void reportInstance(const InstanceReport &report);
    void instanceLeft(const std::string &id, std::uint64_t bornMs);
    /// Counts a report that could not be read.
    void countUnreadableReport() { m_metrics.countReport(false); }
    /// The text of /metrics.
    [[nodiscard]] std::string metricsText();

private:
    struct Watcher
    {
        WatchFleetRequest request;
        RpcReply reply;
        Milliseconds until;
    };

    FleetControl(boost::asio::io_context &io, FleetControlSettings settings);

    Status open();
    /// Opens the data folder and joins the group under the name found there, or a new one.
    Status openMember();
    /// The group has removed this member: it comes back empty, under a new name.
    void startAnew();
    /// The disk failed. What it holds is read again after a pause; until then this process keeps
    /// hearing instances and serving entries, and answers nothing that depends on the disk.
    void reopenLater(const Error &reason);
    [[nodiscard]] Result<std::string> readOrMakeName(const RaftStorage &storage) const;
    void onRpc(const Hello &peer, MessageKind kind, const std::string &payload,
               const RpcReply &reply);
    void onWatch(const std::string &payload, const RpcReply &reply);
    void onJoin(const std::string &payload, const RpcReply &reply);
    [[nodiscard]] bool hasNews(const WatchFleetRequest &request) const;
    [[nodiscard]] FleetUpdate makeUpdate(const WatchFleetRequest &request) const;
    void answerWatchers(bool all);
    void restoreInstances();
    /// Keeps the known instances on disk, so that a restart of all need not wait for reports.
    void storeInstances();
    void armTimer();
    void tick();
    void leadGroup();
    void changeMembers(Milliseconds now);
    void grantCells(Milliseconds now);
    void joinGroup();
    void askToJoin(const std::string &address);
    void onJoinReply(const JoinGroupReply &reply);
    /// RPC addresses of the members and of candidates that were heard from directly.
    [[nodiscard]] std::vector<std::string> controlAddresses() const;
    [[nodiscard]] RaftMember self() const;
    void onStore(const std::string &payload, const RpcReply &reply);
    void onRead(const RpcReply &reply);
    /// Asks the leader on an operator's behalf.
    void askLeader(MessageKind kind, std::string payload, OperatorCallback callback);
    void storeAsLeader(StoreDocumentRequest request, OperatorCallback callback);
    void readAsLeader(OperatorCallback callback);

    boost::asio::io_context &m_io;
    FleetControlSettings m_settings;
    std::string m_name; ///< Of this member; another one after a lost disk.
    std::shared_ptr<ControlNode> m_node;
    std::shared_ptr<RpcServer> m_rpc;
    RpcSettings m_rpcSettings;
    SteadyClock m_clock;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_reopenTimer;
    FleetMetrics m_metrics;
    InstanceDirectory m_directory;
    std::uint64_t m_epoch = 0; ///< Of m_directory: differs for each process.
    std::uint64_t m_storedRevision = 0; ///< Of m_directory, that is on disk.
    Milliseconds m_nextStoreAt;
    std::list<Watcher> m_watchers;

    std::vector<Address> m_seeds; ///< As the settings name them now.
    std::map<std::string, EntryContact> m_entries;
    std::map<std::string, MemberCandidate> m_candidates;
    /// RPC addresses that another member named, with when. They are only asked, and never passed
    /// on, or the address of a replaced machine would go round for ever.
    std::map<std::string, Milliseconds> m_heardOf;
    std::map<std::string, std::shared_ptr<RpcClient>> m_joinClients;
    std::shared_ptr<RpcClient> m_leaderClient; ///< For operators' calls.
    Milliseconds m_leaderSince{-1};
    bool m_wasLeader = false;
    std::size_t m_grantsInFlight = 0;
    Milliseconds m_nextJoinAt;
};

} // namespace Camphor
