/// @file Connections to other entries that hold cells, with failure detection.
#pragma once

#include "FleetProtocol.h"
#include "RpcClient.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace Camphor {

struct HolderLinkSettings
{
    Milliseconds pingPeriod{200};
    Milliseconds pingTimeout{250};
    /// A holder without contact for this long is lost: the outcome of the jobs submitted to it is
    /// unknown. Must be shorter than the time after which callers resend.
    Milliseconds contactTimeout{600};
    /// A lost holder gets no job until it replies to a ping or this time has passed: it may hold no
    /// cell any more, and is then not contacted again.
    Milliseconds lostHolderBackoff{15'000};
    /// Timeout for a whole job; liveness is checked by pings.
    Milliseconds jobTimeout{120'000};

    auto operator<=>(const HolderLinkSettings &) const = default;
};

/// Why a job has no outcome from a holder.
enum class ForwardFailure : std::uint8_t {
    NotHandled, ///< The holder has certainly not handled it and won't.
    Unknown,
};

/// The payload of a reply, or the reason why there is none.
using CallResult = std::variant<std::string, ForwardFailure>;

/// Submits jobs to holders, and calls them. All calls must come from the thread of the io_context.
class HolderLink : public std::enable_shared_from_this<HolderLink>
{
public:
    using Callback = std::function<void(std::variant<JobOutcome, ForwardFailure>)>;

    HolderLink(boost::asio::io_context &io, const RpcSettings &rpc,
               const HolderLinkSettings &settings);

    /// Calls back once, with the job's outcome or the reason why there is none.
    void submit(const std::string &address, const SubmitJobRequest &request, Callback callback);
    void cancel(const std::string &address, const std::string &jobId);
    /// Calls a holder; calls back once. While a call is outstanding, the holder is pinged, and the
    /// call fails when it is lost.
    void call(const std::string &address, MessageKind kind, std::string payload,
              std::function<void(const CallResult &)> callback);
    /// Sets what returns the payload of a ping to an address. While it is not empty, the holder is
    /// pinged also if other calls show that it is alive.
    void setPingPayload(std::function<std::string(const std::string &address)> pingPayload)
    {
        m_pingPayload = std::move(pingPayload);
    }
    /// Closes all connections; outstanding jobs end as unknown.
    void stop();
    /// False from the loss of a holder until it replies to a ping or the backoff has passed,
    /// because a job would have to wait for the connection.
    [[nodiscard]] bool isUsable(const std::string &address) const;
    /// Whether the last contact with the holder is within the timeout. A new connection, and a job
    /// submitted while none is outstanding, count as contact.
    [[nodiscard]] bool hadRecentContact(const std::string &address) const;

private:
    struct Peer
    {
        std::shared_ptr<RpcClient> client;
        std::size_t outstanding = 0;
        Milliseconds lastContactAt{-1e18};
        Milliseconds sentAt{-1e18}; ///< When a job or a ping was last sent.
        Milliseconds backoffUntil{-1e18}; ///< In the future while the holder is lost.
        bool isPinging = false;
    };

    Peer &peerOf(const std::string &address);
    /// Notes what the result of a call says of the holder.
    [[nodiscard]] CallResult onResult(const std::string &address,
                                      const std::shared_ptr<RpcClient> &client,
                                      const RpcResult &result);
    void ping(const std::string &address, std::string payload);
    void onPong(const std::string &address, const std::shared_ptr<RpcClient> &client, bool isReply);
    void markLost(const std::string &address, const std::string &reason);
    void armTimer();
    void tick();

    boost::asio::io_context &m_io;
    RpcSettings m_rpc;
    HolderLinkSettings m_settings;
    SteadyClock m_clock;
    boost::asio::steady_timer m_timer;
    bool m_isTimerArmed = false;
    std::function<std::string(const std::string &address)> m_pingPayload = [](const std::string &) {
        return std::string();
    };
    std::map<std::string, Peer> m_peers; ///< By address.
};

} // namespace Camphor
