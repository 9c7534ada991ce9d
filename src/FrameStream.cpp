#include "FrameStream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace Camphor {

namespace {
using ErrorCodeAsio = boost::system::error_code;

Error connectionError(const ErrorCodeAsio &ec)
{
    return Error{ErrorCode::ConnectionLost, "connection lost: " + ec.message()};
}
} // namespace

FrameStream::FrameStream(boost::asio::ip::tcp::socket socket, std::size_t maxFrameBytes)
    : m_socket(std::move(socket))
    , m_maxFrameBytes(maxFrameBytes)
{
    ErrorCodeAsio ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void FrameStream::start(OnFrame onFrame, OnClosed onClosed)
{
    m_onFrame = std::move(onFrame);
    m_onClosed = std::move(onClosed);
    readHeader();
}

void FrameStream::send(std::string frame)
{
    if (!m_isOpen)
        return;
    m_outgoing.push_back(std::move(frame));
    if (!m_isWriting)
        writeNext();
}

void FrameStream::close(const Error &reason)
{
    if (!std::exchange(m_isOpen, false))
        return;
    ErrorCodeAsio ignored;
    m_socket.close(ignored);
    m_onFrame = nullptr;
    if (const auto onClosed = std::exchange(m_onClosed, nullptr))
        onClosed(reason);
}

void FrameStream::readHeader()
{
    boost::asio::async_read(m_socket, boost::asio::buffer(m_header),
                            [self = shared_from_this()](ErrorCodeAsio ec, std::size_t) {
                                if (!self->m_isOpen)
                                    return;
                                if (ec) {
                                    self->close(connectionError(ec));
                                    return;
                                }
                                const auto header = decodeFrameHeader(
                                    std::string_view(self->m_header.data(), self->m_header.size()),
                                    self->m_maxFrameBytes);
                                if (header)
                                    self->readPayload(header.value());
                                else
                                    self->close(header.error());
                            });
}

void FrameStream::readPayload(const FrameHeader &header)
{
    m_payload.resize(header.payloadBytes);
    boost::asio::async_read(m_socket, boost::asio::buffer(m_payload),
                            [self = shared_from_this(), header](ErrorCodeAsio ec, std::size_t) {
                                if (!self->m_isOpen)
                                    return;
                                if (ec) {
                                    self->close(connectionError(ec));
                                    return;
                                }
                                const auto onFrame = self->m_onFrame;
                                onFrame(header, std::exchange(self->m_payload, {}));
                                if (self->m_isOpen)
                                    self->readHeader();
                            });
}

void FrameStream::writeNext()
{
    m_isWriting = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_outgoing.front()),
                             [self = shared_from_this()](ErrorCodeAsio ec, std::size_t) {
                                 self->m_isWriting = false;
                                 if (ec) {
                                     self->close(connectionError(ec));
                                     return;
                                 }
                                 self->m_outgoing.pop_front();
                                 if (!self->m_outgoing.empty() && self->m_isOpen)
                                     self->writeNext();
                             });
}

} // namespace Camphor
