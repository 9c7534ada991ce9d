/// @file Runs a RaftCore with its storage, peers, timer and state machine.
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
                                    StoreDocumentCommand, GrantCellCommand>;
using ControlReply =
    std::variant<ApplyReply, ReplicaSetReply, MoveBucketReply, StoreDocumentReply, GrantCellReply>;

/// One member of the control group. All calls must run on strand().
class ControlNode : public std::enable_shared_from_this<ControlNode>
{
public:
    /// Nothing when it is not known whether the command was accepted.
    using CommandCallback = std::function<void(std::optional<ControlReply>)>;
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    /// @param onFatal called once when the disk fails. The member then answers nothing any more,
    /// and the program has to end.
    ControlNode(boost::asio::io_context &io, const ControlSettings &settings,
                std::unique_ptr<RaftStorage> storage, std::function<void(const Error &)> onFatal);

    void start();
    /// Ends this member: it answers nothing any more and closes its files.
    void stop();
    /// Called on the strand after anything was applied or the role or leader has changed.
    void setOnChange(std::function<void()> onChange) { m_onChange = std::move(onChange); }

    /// Handles a call of another member; the reply goes back on the same call.
    /// @return whether the call is one between members; others are left to the caller.
    [[nodiscard]] bool onMemberCall(const std::string &from, MessageKind kind,
                                    const std::string &payload, const RpcReply &reply);
    /// Commits a command. Must only be called on the leader.
    void propose(const ControlCommand &command, CommandCallback callback);
    /// Calls back with true when the applied state is at least as new as the call.
    void read(std::function<void(bool isConfirmed)> callback);
    void subscribe(const SubscribeRequest &request, std::function<void(SubscribeReply)> callback);
    Status addMember(const RaftMember &member);
    Status removeMember(const std::string &instance);

    [[nodiscard]] Strand &strand() { return m_strand; }
    [[nodiscard]] const ControlState &state() const { return m_state; }
    [[nodiscard]] const RaftConfiguration &group() const { return m_core.configuration(); }
    /// When a leader was last heard from.
    [[nodiscard]] Milliseconds lastLeaderContact() const { return m_core.lastLeaderContact(); }
    /// When a member last answered this leader; before everything when it never did.
    [[nodiscard]] Milliseconds lastReply(const std::string &instance) const
    {
        return m_core.lastReply(instance);
    }
    [[nodiscard]] bool isLeader() const { return m_core.isLeader() && !m_hasFailed; }
    [[nodiscard]] const RaftMember *leader() const;
    /// Whether a leader was heard from in the last seconds.
    [[nodiscard]] bool isCurrent() const;
    /// Role, members and replica sets as a JSON object.
    [[nodiscard]] std::string statusJson() const;

private:
    struct Proposal
    {
        std::uint64_t term = 0;
        CommandCallback callback;
    };

    struct Waiter
    {
        SubscribeRequest request;
        std::function<void(SubscribeReply)> callback;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    struct Peer
    {
        std::shared_ptr<RpcClient> client;
        int timeouts = 0; ///< In a row.
    };

    template <typename T>
    bool receiveAs(const std::string &from, const std::string &payload, const RpcReply &reply);
    void receive(const std::string &from, const RaftMessage &message, RpcReply reply);
    void scheduleFlush();
    /// Carries out the core's actions until there are none.
    void flush();
    bool carryOut(const RaftActions &actions);
    void deliver(const RaftOutgoing &outgoing);
    void onPeerResult(const std::string &peer, MessageKind kind, const RpcResult &result);
    Peer &peerOf(const RaftMember &member);
    void applyEntry(const RaftEntry &entry);
    bool restore(const RaftSnapshot &snapshot);
    void answerReads(const std::vector<RaftReadResult> &results);
    void afterFlush();
    bool compactIfLarge();
    void armTimer();
    void fail(const Error &error);
    [[nodiscard]] bool hasNews(const SubscribeRequest &request) const;
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
    std::map<std::uint64_t, Proposal> m_proposals; ///< By index.
    std::map<std::uint64_t, std::function<void(bool)>> m_reads;
    std::uint64_t m_lastRead = 0;
    std::list<Waiter> m_waiters;
    /// The call that is being handled; the core's answer to its sender goes there.
    std::optional<std::pair<std::string, RpcReply>> m_openCall;
    RaftRole m_loggedRole = RaftRole::Follower;
    std::string m_loggedLeader;
    std::uint64_t m_sentBytes = 0; ///< To other members, with frame headers.
    bool m_isLostDiskLogged = false;
    bool m_isFlushScheduled = false;
    bool m_hasFailed = false;
};

} // namespace Camphor
