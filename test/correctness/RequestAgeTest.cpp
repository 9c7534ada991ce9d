/// @file Requests of other processes whose age is unknown, because they may have waited in a socket
/// while this process was paused or a link was cut.
#include "AsioSupport.h"
#include "RpcClient.h"
#include "RpcSupport.h"
#include "TestProcess.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

constexpr Milliseconds Hour{3'600'000};

/// A server and a client with an event loop each, so that either can be paused.
struct Ends
{
    explicit Ends(Milliseconds maxRequestAge)
    {
        auto settings = makeRpc("server");
        settings.maxRequestAge = maxRequestAge;
        server = RpcServer::make(serverIo, address, settings,
                                 [this](const Hello &, MessageKind kind, const std::string &payload,
                                        const RpcReply &reply) {
                                     handled.emplace_back(kind, payload);
                                     reply(std::string("done"));
                                 })
                     .value();
        connect();
    }

    ~Ends()
    {
        client->stop();
        server->stop();
        (void)runUntil([&] { return server->connections() == 0; });
    }
    Ends(const Ends &) = delete;
    Ends &operator=(const Ends &) = delete;

    void connect() { client = RpcClient::make(clientIo, address, makeRpc("client")); }

    void call(MessageKind kind, const std::string &payload)
    {
        client->call(kind, payload, Hour, [this](const RpcResult &it) { results.push_back(it); });
    }

    static void poll(boost::asio::io_context &io)
    {
        io.restart();
        io.poll();
    }

    /// Runs the client alone; the server is paused.
    void runClient()
    {
        constexpr auto LongEnough = std::chrono::milliseconds(50);
        clientIo.restart();
        clientIo.run_for(LongEnough);
    }

    /// Runs both ends until a condition holds.
    bool runUntil(const std::function<bool()> &condition)
    {
        return waitUntil([&] {
            poll(clientIo);
            poll(serverIo);
            return condition();
        });
    }

    boost::asio::io_context serverIo;
    boost::asio::io_context clientIo;
    Address address{"127.0.0.1", freePort()};
    std::shared_ptr<RpcServer> server;
    std::shared_ptr<RpcClient> client;
    std::vector<std::pair<MessageKind, std::string>> handled;
    std::vector<RpcResult> results;
};

} // namespace

TEST_CASE("requests whose sender disconnected while the server was paused are dropped", "[rpc]")
{
    // Guards against a paused holder that resumes and runs jobs which their requesters have given
    // up, and which run elsewhere.
    const bool wasConnected = GENERATE(false, true);
    CAPTURE(wasConnected);
    constexpr Milliseconds MaxAge{500};
    Ends ends(MaxAge);
    if (wasConnected) {
        ends.call(MessageKind::Ping, {});
        REQUIRE(ends.runUntil([&] { return ends.results.size() == 1; }));
        std::this_thread::sleep_for(toChrono(MaxAge + Milliseconds{1}));
        ends.handled.clear();
    }
    ends.call(MessageKind::SubmitJob, "job");
    ends.runClient();
    ends.client->stop();
    ends.runClient();
    const auto held = ends.server->heldRequests();
    CHECK(ends.runUntil(
        [&] { return ends.server->heldRequests() > held && ends.server->connections() == 0; }));
    CHECK(ends.handled.empty());
}

TEST_CASE("requests of unknown age are handled in order if their sender still waits", "[rpc]")
{
    // Guards against a cancellation that overtakes the job that it cancels.
    Ends ends(Hour);
    ends.call(MessageKind::SubmitJob, "job");
    ends.call(MessageKind::CancelJob, "job");
    ends.runClient();
    CHECK(ends.runUntil([&] { return ends.results.size() == 2; }));
    REQUIRE(ends.handled.size() == 2);
    CHECK(ends.handled[0].first == MessageKind::SubmitJob);
    CHECK(ends.handled[1].first == MessageKind::CancelJob);
    CHECK(ends.server->heldRequests() == 2);
    // The age of a request is known once the sender has received the server's clock.
    ends.call(MessageKind::Ping, {});
    CHECK(ends.runUntil([&] { return ends.results.size() == 3; }));
    CHECK(ends.server->heldRequests() == 2);
}

TEST_CASE("the clock of an earlier connection says nothing about a request's age", "[rpc]")
{
    // Guards against the clock of a server's former process, which may be ahead of the present one.
    Ends ends(Hour);
    ends.call(MessageKind::Ping, {});
    REQUIRE(ends.runUntil([&] { return ends.results.size() == 1; }));
    ends.client->stop();
    ends.connect();
    ends.call(MessageKind::Ping, {});
    CHECK(ends.runUntil([&] { return ends.results.size() == 2; }));
    CHECK(ends.server->heldRequests() == 2);
}

TEST_CASE("a server that accepts any age holds no request", "[rpc]")
{
    Ends ends(Milliseconds{0});
    ends.call(MessageKind::Ping, {});
    CHECK(ends.runUntil([&] { return ends.results.size() == 1; }));
    CHECK(ends.server->heldRequests() == 0);
}
