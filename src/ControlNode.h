/// @file Runs a RaftCore together with its storage, peers, timer and state machine.
#pragma once

#include "ControlProtocol.h"
#include "ControlSettings.h"
#include "ControlState.h"
#include "RaftCore.h"
#include "RaftStorage.h"
#include "RpcClient.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Camphor {

using ControlCommand = std::variant<ApplyCommand, CompareAndSetCommand, MoveBucketCommand,
                                    StoreDocumentCommand, GrantCellCommand, DrainDomainCommand>;
using ControlReply = std::variant<ApplyReply, ReplicaSetReply, MoveBucketReply, StoreDocumentReply,
                                  GrantCellReply, DrainDomainReply>;

/// One member of the control group. All functions must be called on strand().
class ControlNode : public std::enable_shared_from_this<ControlNode>
{
public:
    /// Called with nothing if it is unknown whether the command was accepted.
    using CommandCallback = std::function<void(std::optional<ControlReply>)>;
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    /// @param onFatal called once when the disk fails. The member then sends no more replies, and
    /// the process has to end.
    ControlNode(boost::asio::io_context &io, const ControlSettings &settings,
                std::unique_ptr<RaftStorage> storage, std::function<void(const Error &)> onFatal);

    void start();
    /// Stops this member: it sends no more replies and closes its files.
    void stop();
    /// Sets a callback that runs on the strand after entries were applied or the role or leader has
    /// changed.
    void setOnChange(std::function<void()> onChange) { m_onChange = std::move(onChange); }

    /// Handles a call from another member; the reply is sent on the same call. @return whether the
    /// call is one between members; all others are left to the caller.
    [[nodiscard]] bool onMemberCall(const std::string &from, MessageKind kind,
                                    const std::string &payload, const RpcReply &reply);
    /// Proposes a command and calls back when it has been applied. Must only be called on the
    /// leader.
    void propose(const ControlCommand &command, CommandCallback callback);
    /// Starts a linearizable read: calls back with true once the applied state is at least as new
    /// as this call, and with false if that can't be confirmed.
    void read(std::function<void(bool isConfirmed)> callback);
    void subscribe(const SubscribeRequest &request, std::function<void(SubscribeReply)> callback);
    /// Whether a membership change may be proposed: this member leads, and the last change is
    /// committed.
    [[nodiscard]] bool canChangeMembers() const { return m_core.canChangeMembers(); }
    Status addMember(const RaftMember &member);
    Status removeMember(const std::string &instance);

    [[nodiscard]] Strand &strand() { return m_strand; }
    [[nodiscard]] const ControlState &state() const { return m_state; }
    [[nodiscard]] const RaftConfiguration &configuration() const { return m_core.configuration(); }
    /// Whether the group has removed a name for good; see RaftCore.
    [[nodiscard]] bool isRemoved(const std::string &instance) const
    {
        return m_core.isRemoved(instance);
    }
    /// Time of the last contact with a leader.
    [[nodiscard]] Milliseconds lastLeaderContact() const { return m_core.lastLeaderContact(); }
    /// Time of a member's last reply to this leader or, before its first one, the time since which
    /// this leader has known the member; far in the past for an unknown member.
    [[nodiscard]] Milliseconds lastReply(const std::string &instance) const
    {
        return m_core.lastReply(instance);
    }
    [[nodiscard]] bool isLeader() const { return m_core.isLeader() && !m_isStopped; }
    [[nodiscard]] const RaftMember *leader() const;
    /// Whether the last contact with a leader is recent enough that this member's state is not
    /// stale.
    [[nodiscard]] bool isCurrent() const;
    /// Role, members and replica sets as a JSON object.
    [[nodiscard]] std::string statusJson() const;

private:
    struct Proposal
    {
        std::uint64_t term = 0;
        CommandCallback callback;
    };

    struct PendingSubscription
    {
        SubscribeRequest request;
        std::function<void(SubscribeReply)> callback;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    struct Peer
    {
        std::shared_ptr<RpcClient> client;
        int consecutiveTimeouts = 0;
    };

    /// Handles a call if it is for this member's present name.
    void onCall(const std::string &from, MessageKind kind, const MemberCall &call,
                const RpcReply &reply);
    template <typename T>
    void receiveAs(const std::string &from, const std::string &payload, const RpcReply &reply);
    void receive(const std::string &from, const RaftMessage &message, RpcReply reply);
    void scheduleFlush();
    /// Executes the core's actions until none are left.
    void flush();
    bool executeActions(const RaftActions &actions);
    void sendMessage(const RaftOutgoingMessage &outgoing);
    void onPeerResult(const std::string &peer, MessageKind kind, const RpcResult &result);
    Peer &peerOf(const RaftMember &member);
    void applyEntry(const RaftEntry &entry);
    bool restore(const RaftSnapshot &snapshot);
    static void logMembers(std::uint64_t index, const RaftConfiguration &group);
    void completeReads(const std::vector<RaftReadResult> &results);
    void afterFlush();
    bool compactLogIfLarge();
    void armTimer();
    void stopAfterError(const Error &error);
    [[nodiscard]] bool hasUpdate(const SubscribeRequest &request) const;
    [[nodiscard]] SubscribeReply makeUpdate(const SubscribeRequest &request) const;

    boost::asio::io_context &m_io;
    Strand m_strand;
    ControlSettings m_settings;
    RpcSettings m_rpcSettings;
    SteadyClock m_clock;
    std::unique_ptr<RaftStorage> m_storage;
    RaftCore m_core;
    ControlState m_state;
    std::function<void(const Error &)> m_onFatal;
    std::function<void()> m_onChange;
    boost::asio::steady_timer m_timer;
    std::map<std::string, Peer> m_peers;
    std::map<std::uint64_t, Proposal> m_proposals; ///< By log index.
    std::map<std::uint64_t, std::function<void(bool)>> m_pendingReads;
    std::uint64_t m_lastReadId = 0;
    std::list<PendingSubscription> m_pendingSubscriptions;
    /// The sender and reply callback of the call that is being handled; the core's reply to that
    /// sender goes there.
    std::optional<std::pair<std::string, RpcReply>> m_currentCall;
    RaftRole m_loggedRole = RaftRole::Follower;
    std::string m_loggedLeader;
    std::string m_loggedAddressee; ///< The other name for which a call was refused last.
    std::uint64_t m_sentBytes = 0; ///< Bytes sent to other members, including frame headers.
    bool m_isLostDiskLogged = false;
    bool m_isFlushScheduled = false;
    bool m_isStopped = false;
};

} // namespace Camphor
