// Guards against a ledger server that ends its drain while connections are open: the loop may stop
// then, and each connection and the server's state keep each other alive.
#include "LedgerServer.h"
#include "StaticReplicaSetStore.h"
#include "Wire.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>

using namespace Camphor;

namespace {

std::shared_ptr<LedgerServer> makeServer(boost::asio::io_context &io)
{
    LedgerServerSettings settings;
    settings.cluster = "test";
    settings.instance = "ledger-a";
    settings.domain = "north";
    settings.listen = {"127.0.0.1", 0};
    settings.incarnation = 1;
    const auto makeStore = [](const ReplicaMember &self, std::uint64_t lastEpoch) {
        ReplicaSet set;
        set.primary = self;
        return std::make_shared<StaticReplicaSetStore>(set, self, lastEpoch);
    };
    return LedgerServer::make(io, settings, nullptr, makeStore).value();
}

} // namespace

TEST_CASE("a ledger server ends its drain when its connections are closed", "[ledger]")
{
    boost::asio::io_context io;
    const auto server = makeServer(io);
    boost::asio::ip::tcp::socket caller(io);
    caller.connect({boost::asio::ip::make_address("127.0.0.1"), server->port()});
    boost::asio::write(caller,
                       boost::asio::buffer(
                           encodeFrame({}, encodeMessage(Hello{WireVersion, "test", "entry", 1}))));
    io.run_for(std::chrono::milliseconds(50)); // The server accepts the connection.
    boost::system::error_code ec;
    server->drain(Milliseconds{100}, [&] {
        caller.non_blocking(true);
        std::array<char, 1> byte{};
        (void)caller.read_some(boost::asio::buffer(byte), ec);
        io.stop();
    });
    io.restart();
    io.run();
    CHECK(ec == boost::asio::error::eof);
}
