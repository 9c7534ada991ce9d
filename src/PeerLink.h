/// @file Requests from this entry to its peers.
#pragma once

#include "ClusterView.h"
#include "EntryMetrics.h"
#include "PoolShard.h"
#include "RpcClient.h"

#include <map>
#include <memory>
#include <string>

namespace Camphor {

/// Maintains one connection to each peer. Thread-safe.
class PeerLink : public PeerCalls
{
public:
    PeerLink(boost::asio::io_context &io, const EntrySettings &settings, const RpcSettings &rpc,
             EntryMetrics &metrics);

    void place(const std::string &peer, PlaceTask task,
               std::function<void(ForwardResult)> callback) override;
    void cancel(const std::string &peer, const std::string &attempt) override;
    void pull(const std::string &peer, const std::string &pool, std::uint32_t slots) override;
    /// Cancels a submission that the peer is executing.
    void cancelSubmission(const std::string &peer, const std::string &key);
    /// Sends the attempts in flight on a target to its new owner.
    void handOver(const std::string &peer, const OwnerHandover &message);
    void stop();

private:
    template <typename T>
    void call(const std::string &peer, MessageKind kind, const T &message, Milliseconds timeout,
              RpcCallback callback);

    EntryMetrics &m_metrics;
    std::map<std::string, std::shared_ptr<RpcClient>> m_clients;
};

/// Derives from the reply to a PlaceTask what is known about the attempt. A pure function.
[[nodiscard]] ForwardResult classifyPeerResult(RpcResult result);

} // namespace Camphor
