/// @file An entry's long polls of control instances that start and stop.
#include "ControlWatch.h"
#include "RpcSupport.h"
#include "TestProcess.h"
#include "Wire.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// Replies to every poll at once and names the given members.
std::shared_ptr<RpcServer> makeControl(boost::asio::io_context &io, const Address &address,
                                       const std::vector<std::string> &named)
{
    return RpcServer::make(
               io, address, makeRpc("control"),
               [named](const Hello &, MessageKind, const std::string &, const RpcReply &reply) {
                   FleetUpdate update;
                   update.controlAddresses = named;
                   reply(encodeMessage(update));
               })
        .value();
}

} // namespace

TEST_CASE("a replaced control instance is removed, one that members still name is not", "[watch]")
{
    // Guards against polls of every machine that was ever a control instance.
    boost::asio::io_context io;
    const Address present{"127.0.0.1", freePort()};
    const Address replaced{"127.0.0.1", freePort()};
    const Address down{"127.0.0.1", freePort()};
    const auto control = makeControl(io, present, {present.toString(), down.toString()});
    ControlWatchSettings settings;
    settings.rpc = makeRpc("entry");
    settings.seeds = {present.toString(), replaced.toString(), down.toString()};
    settings.retryDelay = Milliseconds{5};
    settings.addressRetention = Milliseconds{100};
    const auto watch = std::make_shared<ControlWatch>(io, settings, [] { });
    watch->start();
    const auto poll = [&] {
        io.restart();
        io.run_for(std::chrono::milliseconds(10));
    };
    CHECK(watch->sourceCount() == 3);
    CHECK(waitUntil([&] {
        poll();
        return watch->sourceCount() == 2;
    }));
    // Far longer than the time after which an address that neither the settings nor a member names
    // is removed.
    for (int n = 0; n < 40; ++n) {
        poll();
    }
    CHECK(watch->sourceCount() == 2);
    watch->stop();
    control->stop();
    io.restart();
    io.run();
}
