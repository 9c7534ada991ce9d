/// @file The memory budget, and a server whose callers use it up.
#include "HostileCallers.h"
#include "HttpServer.h"

#include <catch2/catch.hpp>

#include <variant>

using namespace Camphor;
using namespace Camphor::Testing;

TEST_CASE("large reservations stop growing before small ones find no room", "[memory]")
{
    // Guards against a crowd of large requests that leaves nothing for ordinary ones.
    constexpr std::size_t Budget = 1'000'000;
    constexpr std::size_t Ordinary = 1'000;
    const auto budget = std::make_shared<MemoryBudget>(Budget, 2 * Ordinary);
    std::vector<MemoryReservation> crowd;
    for (int n = 0; n < 100; ++n) {
        crowd.emplace_back(budget);
        std::size_t bytes = Ordinary;
        while (crowd.back().resize(bytes))
            bytes += Ordinary;
    }
    // Beside a third for the large ones, each has an ordinary size at least.
    CHECK(budget->used() < Budget / 3 + crowd.size() * 2 * Ordinary);
    MemoryReservation ordinary(budget);
    CHECK(ordinary.resize(Ordinary));
    const auto used = budget->used();
    CHECK_FALSE(crowd.front().resize(Budget));
    CHECK(budget->used() == used);
    crowd.clear();
    CHECK(budget->used() == Ordinary);
    CHECK(ordinary.resize(0));
    CHECK(budget->used() == 0);
    MemoryReservation unbounded;
    CHECK(unbounded.resize(Budget * Budget));
}

namespace {

constexpr std::size_t AmpleBudget = 10'000'000;

/// A server with a small budget that answers with the host that it was called for.
struct SmallServer
{
    explicit SmallServer(std::size_t budgetBytes, std::size_t maxConnections = 4'096)
    {
        settings.listen = {"127.0.0.1", freePort()};
        settings.maxBodyBytes = std::size_t{256} * 1024;
        settings.maxConnections = maxConnections;
        settings.memory = MemoryBudget::forRequests(budgetBytes);
        server = HttpServer::make(io, settings,
                                  [](const HttpRequest &request, const HttpRespond &respond) {
                                      respond(makeResponse(200, "text/plain",
                                                           std::string(request.header("host"))));
                                  })
                     .value();
        thread = std::thread([this] { io.run(); });
    }
    ~SmallServer()
    {
        io.stop();
        thread.join();
    }
    SmallServer(const SmallServer &) = delete;
    SmallServer &operator=(const SmallServer &) = delete;

    HttpResult call() const
    {
        auto request = makeRequest("POST", "/", std::string(600, 'x'));
        request.headers["host"] = "h.example";
        return callHttp(settings.listen, request);
    }

    boost::asio::io_context io{1};
    HttpServerSettings settings;
    std::shared_ptr<HttpServer> server;
    std::thread thread;
};

} // namespace

TEST_CASE("unfinished requests within the limits use no more than the budget", "[memory][http]")
{
    // The load: each body is within the limit for one, and all together exceed the budget.
    constexpr std::size_t Budget = 2'000'000;
    SmallServer small(Budget);
    std::vector<std::unique_ptr<HostileCaller>> callers;
    for (int n = 0; n < 60; ++n) {
        callers.push_back(std::make_unique<HostileCaller>(small.settings.listen));
        (void)callers.back()->send(
            "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 200000\r\n\r\n"
            + std::string(100'000, 'b'));
    }
    REQUIRE(waitUntil([&] { return small.server->counters().memoryRefusals > 0; }));
    CHECK(small.settings.memory->used() < Budget);
    const auto result = small.call();
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).status == 200);
    callers.clear();
    CHECK(waitUntil([&] { return small.settings.memory->used() == 0; }));
}

TEST_CASE("a new connection replaces one that waits", "[memory][http]")
{
    // Guards against ordinary callers that are kept out by connections without requests.
    constexpr std::size_t MaxConnections = 5;
    SmallServer small(AmpleBudget, MaxConnections);
    std::vector<std::unique_ptr<HostileCaller>> callers;
    for (std::size_t n = 0; n < 3 * MaxConnections; ++n) {
        callers.push_back(std::make_unique<HostileCaller>(small.settings.listen));
        (void)callers.back()->send("POST / HT");
    }
    CHECK(std::holds_alternative<HttpResponse>(small.call()));
    CHECK(small.server->connections() <= MaxConnections);
    CHECK(small.server->counters().evictedConnections >= MaxConnections);
}

TEST_CASE("trailers are discarded", "[memory][http]")
{
    // Guards against a trailer that replaces a field of the header, such as the host.
    SmallServer small(AmpleBudget);
    HostileCaller caller(small.settings.listen);
    REQUIRE(caller.send("POST / HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nxx\r\n0\r\n"
                        "Host: other.example\r\n\r\n"));
    const auto response = caller.receiveAll();
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.ends_with("h.example"));
    CHECK(response.find("other") == std::string::npos);
}
