#include "AsioSupport.h"

#include <algorithm>
#include <cstdint>

namespace Camphor {

std::chrono::microseconds toChrono(Milliseconds duration)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(duration.count() * 1000.0));
}

Status listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Address &address)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address.host, ec);
    const boost::asio::ip::tcp::endpoint endpoint(ip, address.port);
    if (!ec)
        acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (!ec)
        return okStatus();
    return Error{ErrorCode::Unavailable,
                 "cannot listen on " + address.toString() + ": " + ec.message()
                     + ". Fix: choose a free address"};
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return lower;
}

} // namespace Camphor
