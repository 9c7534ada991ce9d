/// @file A TCP connection that carries frames in both directions.
#pragma once

#include "Frame.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace Camphor {

/// Reads and writes frames on one socket. All calls must run on the socket's strand.
class FrameStream : public std::enable_shared_from_this<FrameStream>
{
public:
    using OnFrame = std::function<void(const FrameHeader &, std::string payload)>;
    /// Called once with the reason when the connection is closed.
    using OnClosed = std::function<void(const Error &)>;

    FrameStream(boost::asio::ip::tcp::socket socket, std::size_t maxFrameBytes);

    void start(OnFrame onFrame, OnClosed onClosed);
    /// Queues a frame for writing.
    void send(std::string frame);
    void close(const Error &reason);

    [[nodiscard]] bool isOpen() const { return m_isOpen; }
    [[nodiscard]] auto executor() { return m_socket.get_executor(); }

private:
    void readHeader();
    void readPayload(const FrameHeader &header);
    void writeNext();

    boost::asio::ip::tcp::socket m_socket;
    std::size_t m_maxFrameBytes;
    OnFrame m_onFrame;
    OnClosed m_onClosed;
    std::array<char, FrameHeaderBytes> m_header{};
    std::string m_payload;
    std::deque<std::string> m_outgoing;
    bool m_isOpen = true;
    bool m_isWriting = false;
};

} // namespace Camphor
