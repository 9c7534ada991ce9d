/// @file Callers that have disconnected before the server reads their request or that fact.
#include "EventLoops.h"
#include "HttpServer.h"
#include "TestProcess.h"

#include <catch2/catch.hpp>

#include <boost/asio/write.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr const char *Request = "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";

constexpr std::size_t MaxConnections = 3;

/// A server whose event loop runs only when asked to.
struct Server
{
    Server()
    {
        HttpServerSettings settings;
        settings.listen = address;
        settings.detectsDisconnects = true;
        settings.maxConnections = MaxConnections;
        server = HttpServer::make(io, settings,
                                  [this](const HttpRequest &request, const HttpRespond &respond) {
                                      caller = request.caller;
                                      isGoneAtHandling = caller->isDisconnected();
                                      respondLater = respond;
                                      ++handled;
                                  })
                     .value();
    }

    bool runUntil(const std::function<bool()> &condition) { return pollUntil({&io}, condition); }

    boost::asio::io_context io;
    Address address{"127.0.0.1", freePort()};
    std::shared_ptr<HttpServer> server;
    std::shared_ptr<CallerConnection> caller;
    bool isGoneAtHandling = false;
    int handled = 0;
    HttpRespond respondLater;
};

} // namespace

TEST_CASE("a caller that left before its request was read counts as disconnected", "[http]")
{
    // Guards against an entry that was paused and runs the jobs of callers that have resent them.
    const auto *how = GENERATE("stays", "closes", "resets");
    CAPTURE(how);
    Server server;
    boost::asio::io_context io;
    Tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address(server.address.host), server.address.port});
    boost::asio::write(socket, boost::asio::buffer(std::string_view(Request)));
    const std::string_view leaves = how;
    if (leaves == "resets")
        socket.set_option(boost::asio::socket_base::linger(true, 0));
    if (leaves != "stays")
        socket.close();
    const bool isHandled = server.runUntil([&] {
        return server.caller != nullptr
            || (leaves == "resets" && server.server->connections() == 0);
    });
    CHECK(isHandled);
    CHECK((server.caller == nullptr || server.isGoneAtHandling == (leaves != "stays")));
    if (server.respondLater)
        server.respondLater(makeResponse(200, "text/plain", ""));
    socket.close();
    CHECK(server.runUntil([&] { return server.server->connections() == 0; }));
}

TEST_CASE("a disconnection shows before the server has read it", "[http]")
{
    // Guards against decisions right after a pause that are made for callers which have left.
    Server server;
    boost::asio::io_context io;
    Tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address(server.address.host), server.address.port});
    boost::asio::write(socket, boost::asio::buffer(std::string_view(Request)));
    REQUIRE(server.runUntil([&] { return server.caller != nullptr; }));
    CHECK_FALSE(server.caller->isDisconnected());
    socket.close();
    CHECK(waitUntil([&] { return server.caller->isDisconnected(); })); // The loop does not run.
    server.respondLater(makeResponse(200, "text/plain", ""));
    CHECK(server.runUntil([&] { return server.server->connections() == 0; }));
}

TEST_CASE("a caller that leaves at any point of its request costs no session", "[http]")
{
    // Guards against an entry that closes each new connection, for good, after thousands of callers
    // have left before their response.
    const std::string_view request = Request;
    const auto sent =
        GENERATE_COPY(std::size_t{0}, std::size_t{10}, request.size() - 1, request.size());
    CAPTURE(sent);
    Server server;
    boost::asio::io_context io;
    for (std::size_t n = 0; n < 4 * MaxConnections; ++n) {
        Tcp::socket socket(io);
        socket.connect({boost::asio::ip::make_address(server.address.host), server.address.port});
        boost::asio::write(socket, boost::asio::buffer(request.substr(0, sent)));
        const auto before = server.handled;
        if (sent == request.size())
            REQUIRE(server.runUntil([&] { return server.handled > before; }));
        socket.close();
        REQUIRE(server.runUntil([&] { return server.server->connections() == 0; }));
        CHECK(server.server->requestsInFlight() == 0);
    }
    CHECK(server.server->hasRoom());
    // A response that comes too late is discarded.
    if (server.respondLater)
        server.respondLater(makeResponse(200, "text/plain", ""));
    CHECK(server.runUntil([&] { return server.server->requestsInFlight() == 0; }));
}
