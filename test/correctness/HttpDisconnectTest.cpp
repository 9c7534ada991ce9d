/// @file Connections of an HTTP client that end, because the process at their address may be
/// another one afterwards.
#include "EventLoops.h"
#include "HttpClient.h"
#include "HttpServer.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// A client and a server that can be replaced, with an event loop each.
struct World
{
    explicit World(const HttpClientSettings &settings)
        : client(HttpClient::make(clientIo, settings))
    {
        client->setOnDisconnect([this](const Address &it) { disconnected.push_back(it); });
        startServer();
    }

    ~World()
    {
        client->closeIdle();
        (void)runUntil([&] { return client->openConnections() == 0; });
    }
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    void startServer()
    {
        server = HttpServer::make(serverIo, {address},
                                  [this](const HttpRequest &, const HttpRespond &respond) {
                                      ++handled;
                                      respond(makeResponse(200, "text/plain", ""));
                                  })
                     .value();
    }

    /// The process at the address ends and another one starts, before the client runs again.
    void restartServer()
    {
        server->stopAccepting();
        REQUIRE(pollUntil({&serverIo}, [&] { return !server->isAccepting(); }));
        server->closeIdleConnections();
        REQUIRE(pollUntil({&serverIo}, [&] { return server->connections() == 0; }));
        startServer();
    }

    std::optional<HttpResult> call()
    {
        std::optional<HttpResult> result;
        HttpRequest request;
        request.method = "GET";
        request.target = "/";
        client->send(address, request, Milliseconds{30'000},
                     [&](const HttpResult &it) { result = it; });
        CHECK(runUntil([&] { return result.has_value(); }));
        return result;
    }

    [[nodiscard]] bool runUntil(const std::function<bool()> &condition)
    {
        return pollUntil({&clientIo, &serverIo}, condition);
    }

    boost::asio::io_context clientIo;
    boost::asio::io_context serverIo;
    Address address{"127.0.0.1", freePort()};
    std::shared_ptr<HttpServer> server;
    std::shared_ptr<HttpClient> client;
    std::vector<Address> disconnected;
    int handled = 0;
};

} // namespace

TEST_CASE("a client reports a connection that its peer has ended", "[http]")
{
    // Guards against orders to an instance that has restarted, unnoticed, since it was last heard.
    World world({});
    REQUIRE(std::holds_alternative<HttpResponse>(*world.call()));
    CHECK(world.disconnected.empty());
    world.restartServer();
    CHECK(world.runUntil([&] { return !world.disconnected.empty(); }));
    CHECK(world.disconnected == std::vector{world.address});
}

TEST_CASE("a client that must not replace an ended connection sends nothing on a new one", "[http]")
{
    // Guards against a start that reaches a later incarnation of an instance.
    HttpClientSettings settings;
    settings.replacesEndedConnections = false;
    World world(settings);
    REQUIRE(std::holds_alternative<HttpResponse>(*world.call()));
    const auto handled = world.handled;
    world.restartServer();
    CHECK(std::holds_alternative<HttpFailure>(*world.call()));
    CHECK(world.handled == handled);
    CHECK(world.disconnected == std::vector{world.address});
    CHECK(std::holds_alternative<HttpResponse>(*world.call()));
}
