#include "DigestSocket.h"

#include "Frame.h"
#include "Log.h"
#include "Wire.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>
#include <vector>

namespace Camphor {

namespace {

namespace Asio = boost::asio;
using Udp = Asio::ip::udp;
using ErrorCodeAsio = boost::system::error_code;

/// Largest payload of a UDP datagram over IPv4.
constexpr std::size_t MaxDatagramBytes = 65'507;

struct DigestDatagram
{
    std::uint16_t version = WireVersion;
    std::string cluster;
    Digest digest;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, cluster, digest);
    }
};

class UdpDigestSocket : public DigestSocket, public std::enable_shared_from_this<UdpDigestSocket>
{
public:
    UdpDigestSocket(Asio::io_context &io, std::string cluster, Callback callback)
        : m_socket(Asio::make_strand(io))
        , m_cluster(std::move(cluster))
        , m_callback(std::move(callback))
    {
    }

    Status bind(const Address &listen, const std::vector<PeerSettings> &peers)
    {
        ErrorCodeAsio ec;
        const auto ip = Asio::ip::make_address(listen.host, ec);
        const Udp::endpoint endpoint(ip, listen.port);
        if (!ec)
            m_socket.open(endpoint.protocol(), ec);
        if (!ec)
            m_socket.bind(endpoint, ec);
        for (const auto &peer : peers) {
            if (!ec)
                m_peers.emplace_back(Asio::ip::make_address(peer.digest.host, ec),
                                     peer.digest.port);
        }
        if (ec) {
            return Error{ErrorCode::Unavailable,
                         "cannot use digestListen " + listen.toString() + ": " + ec.message()
                             + ". Fix: choose a free address and specify peers by IP address"};
        }
        return okStatus();
    }

    void receive()
    {
        m_socket.async_receive_from(Asio::buffer(m_buffer), m_sender,
                                    [self = shared_from_this()](ErrorCodeAsio ec, std::size_t n) {
                                        if (!self->m_socket.is_open())
                                            return;
                                        // An error here is an ICMP error about an earlier
                                        // datagram, so receiving continues.
                                        if (!ec)
                                            self->onDatagram(
                                                std::string_view(self->m_buffer.data(), n));
                                        self->receive();
                                    });
    }

    void send(const Digest &digest) override
    {
        auto bytes = encodeMessage(DigestDatagram{WireVersion, m_cluster, digest});
        if (bytes.size() > MaxDatagramBytes) {
            // Without its pools the digest still carries liveness and draining, which matter more
            // than the load.
            Log::warning(LogEvent::DigestTooLarge).kv("bytes", bytes.size());
            auto withoutPools = digest;
            withoutPools.pools.clear();
            bytes = encodeMessage(DigestDatagram{WireVersion, m_cluster, withoutPools});
        }
        Asio::post(m_socket.get_executor(), [self = shared_from_this(), bytes = std::move(bytes)] {
            for (const auto &peer : self->m_peers) {
                ErrorCodeAsio ignored;
                self->m_socket.send_to(Asio::buffer(bytes), peer, 0, ignored);
            }
        });
    }

    [[nodiscard]] std::uint64_t droppedDatagrams() const override { return m_dropped; }

    void stop() override
    {
        Asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            ErrorCodeAsio ignored;
            self->m_socket.close(ignored);
        });
    }

private:
    void onDatagram(std::string_view bytes)
    {
        const auto datagram = decodeMessage<DigestDatagram>(bytes);
        if (!datagram || datagram.value().version != WireVersion
            || datagram.value().cluster != m_cluster) {
            m_dropped.fetch_add(1);
            return;
        }
        m_callback(datagram.value().digest);
    }

    Udp::socket m_socket;
    const std::string m_cluster;
    Callback m_callback;
    std::vector<Udp::endpoint> m_peers;
    std::array<char, MaxDatagramBytes> m_buffer{};
    Udp::endpoint m_sender;
    std::atomic<std::uint64_t> m_dropped{0};
};

} // namespace

Result<std::shared_ptr<DigestSocket>>
DigestSocket::make(boost::asio::io_context &io, const EntrySettings &settings, Callback callback)
{
    auto socket = std::make_shared<UdpDigestSocket>(io, settings.cluster, std::move(callback));
    if (const auto status = socket->bind(*settings.digestListen, settings.peers); !status)
        return status.error();
    socket->receive();
    return std::shared_ptr<DigestSocket>(std::move(socket));
}

} // namespace Camphor
