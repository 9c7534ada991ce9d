#include "PeerLink.h"

#include "Wire.h"

#include <algorithm>
#include <utility>

namespace Camphor {

namespace {

/// The reply for a task that ends at its deadline arrives shortly after the deadline.
constexpr Milliseconds ReplyMargin{250};
constexpr Milliseconds ShortCallTimeout{1'000};

ForwardResult makeForwardResult(AttemptOutcome outcome, std::string reason)
{
    ForwardResult result;
    result.report.outcome = outcome;
    result.report.reason = std::move(reason);
    return result;
}

} // namespace

ForwardResult classifyPeerResult(RpcResult result)
{
    if (const auto *failure = std::get_if<RpcFailure>(&result)) {
        return failure->maybeSent
            ? makeForwardResult(AttemptOutcome::Unknown, "peer-lost")
            : makeForwardResult(AttemptOutcome::NotStarted, "peer-unreachable");
    }
    auto message = decodeMessage<TaskOutcome>(std::get<std::string>(result));
    if (!message)
        return makeForwardResult(AttemptOutcome::Unknown, "peer-answer-invalid");
    auto outcome = std::move(message).value();
    if (outcome.outcome > static_cast<std::uint8_t>(AttemptOutcome::NotStarted))
        return makeForwardResult(AttemptOutcome::Unknown, "peer-answer-invalid");
    auto forwardResult =
        makeForwardResult(static_cast<AttemptOutcome>(outcome.outcome), std::move(outcome.reason));
    forwardResult.report.runTime = Milliseconds{outcome.runTimeMs};
    forwardResult.report.peerFreeSlots = static_cast<long>(outcome.freeSlots);
    forwardResult.body = std::move(outcome.body);
    return forwardResult;
}

PeerLink::PeerLink(boost::asio::io_context &io, const EntrySettings &settings,
                   const RpcSettings &rpc, EntryMetrics &metrics)
    : m_metrics(metrics)
{
    for (const auto &peer : settings.peers)
        m_clients[peer.instance] = RpcClient::make(io, peer.rpc, rpc);
}

template <typename T>
void PeerLink::call(const std::string &peer, MessageKind kind, const T &message,
                    Milliseconds timeout, RpcCallback callback)
{
    const auto it = m_clients.find(peer);
    if (it == m_clients.end()) {
        callback(RpcFailure{Error{ErrorCode::NotFound, "unknown peer " + peer}, false});
        return;
    }
    m_metrics.countPeerMessage();
    it->second->call(kind, encodeMessage(message), timeout, std::move(callback));
}

void PeerLink::place(const std::string &peer, PlaceTask task,
                     std::function<void(ForwardResult)> callback)
{
    const auto timeout = std::max(Milliseconds{task.timeLeftMs}, Milliseconds{}) + ReplyMargin;
    call(peer, MessageKind::PlaceTask, task, timeout,
         [callback = std::move(callback)](RpcResult result) {
             callback(classifyPeerResult(std::move(result)));
         });
}

void PeerLink::cancel(const std::string &peer, const std::string &attempt)
{
    call(peer, MessageKind::CancelTask, CancelTask{attempt, {}}, ShortCallTimeout,
         [](const RpcResult &) { });
}

void PeerLink::pull(const std::string &peer, const std::string &pool, std::uint32_t slots)
{
    call(peer, MessageKind::PullTasks, PullTasks{pool, slots}, ShortCallTimeout,
         [](const RpcResult &) { });
}

void PeerLink::cancelSubmission(const std::string &peer, const std::string &key)
{
    call(peer, MessageKind::CancelTask, CancelTask{{}, key}, ShortCallTimeout,
         [](const RpcResult &) { });
}

void PeerLink::handOver(const std::string &peer, const OwnerHandover &message)
{
    call(peer, MessageKind::OwnerHandover, message, ShortCallTimeout, [](const RpcResult &) { });
}

void PeerLink::stop()
{
    for (const auto &[instance, client] : m_clients)
        client->stop();
}

} // namespace Camphor
