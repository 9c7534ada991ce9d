/// @file An entry's long polls of control instances that start and stop.
#include "ControlWatch.h"
#include "DocumentHistory.h"
#include "EventLoops.h"
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

/// Announces a version of the configuration, and counts how often it is fetched.
struct Announcer
{
    Announcer(boost::asio::io_context &io, bool sendsText)
    {
        server =
            RpcServer::make(io, address, makeRpc("control"),
                            [this, sendsText](const Hello &, MessageKind kind,
                                              const std::string &payload, const RpcReply &reply) {
                                if (kind == MessageKind::FetchDocument)
                                    onFetch(payload, sendsText, reply);
                                else
                                    onWatch(payload, reply);
                            })
                .value();
    }

    void onWatch(const std::string &payload, const RpcReply &reply)
    {
        const auto request = decodeMessage<WatchFleetRequest>(payload).value();
        FleetUpdate update;
        update.documentVersion = documents.replyTo({0}).version;
        if (request.documentVersion < update.documentVersion)
            reply(encodeMessage(update));
        else
            waiting.push_back(reply);
    }

    void onFetch(const std::string &payload, bool sendsText, const RpcReply &reply)
    {
        ++fetches;
        if (sendsText)
            reply(encodeMessage(
                documents.replyTo(decodeMessage<FetchDocumentRequest>(payload).value())));
        else
            reply(Error{ErrorCode::Unavailable, "stopped"});
    }

    /// Stores a version and replies to all polls.
    void announce(std::uint64_t version, const std::string &text)
    {
        documents.add(version, text);
        FleetUpdate update;
        update.documentVersion = version;
        for (const auto &reply : std::exchange(waiting, {}))
            reply(encodeMessage(update));
    }

    Address address{"127.0.0.1", freePort()};
    DocumentHistory documents;
    std::vector<RpcReply> waiting;
    int fetches = 0;
    std::shared_ptr<RpcServer> server;
};

} // namespace

TEST_CASE("a large configuration that all members announce at once is fetched from one", "[watch]")
{
    // The load: every change of a configuration with thousands of queues reaches every entry from
    // every member, and the links to the entries are full for seconds.
    const bool doesFirstFail = GENERATE(false, true);
    CAPTURE(doesFirstFail);
    boost::asio::io_context io;
    Announcer first(io, !doesFirstFail);
    Announcer second(io, true);
    ControlWatchSettings settings;
    settings.rpc = makeRpc("entry");
    settings.seeds = {first.address.toString(), second.address.toString()};
    const auto watch = std::make_shared<ControlWatch>(io, settings, [] { });
    watch->start();
    REQUIRE(waitUntil([&] {
        runBriefly(io);
        return first.waiting.size() + second.waiting.size() == 2;
    }));
    const std::string large(100'000, 'x');
    for (const std::uint64_t version : {3, 7}) {
        const auto text = large + std::to_string(version);
        first.announce(version, text);
        second.announce(version, text);
        REQUIRE(waitUntil([&] {
            runBriefly(io);
            return watch->view().documentVersion == version;
        }));
        CHECK(watch->view().documentContent == text);
        REQUIRE(waitUntil([&] {
            runBriefly(io);
            return first.waiting.size() + second.waiting.size() == 2;
        }));
    }
    if (!doesFirstFail)
        CHECK(first.fetches + second.fetches == 2);
    watch->stop();
    first.server->stop();
    second.server->stop();
    io.restart();
    io.run();
}

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
    settings.connect.retryDelay = Milliseconds{5};
    settings.addressRetention = Milliseconds{100};
    const auto watch = std::make_shared<ControlWatch>(io, settings, [] { });
    watch->start();
    CHECK(watch->sourceCount() == 3);
    CHECK(waitUntil([&] {
        runBriefly(io);
        return watch->sourceCount() == 2;
    }));
    // Far longer than the time after which an address that neither the settings nor a member names
    // is removed.
    for (int n = 0; n < 40; ++n) {
        runBriefly(io);
    }
    CHECK(watch->sourceCount() == 2);
    watch->stop();
    control->stop();
    io.restart();
    io.run();
}

TEST_CASE("a grant to a holder whose address cannot be called is ignored", "[watch]")
{
    // Guards against a malformed grant that ends every entry that wants to call the holder.
    boost::asio::io_context io;
    const Address address{"127.0.0.1", freePort()};
    const auto control =
        RpcServer::make(io, address, makeRpc("control"),
                        [](const Hello &, MessageKind, const std::string &, const RpcReply &reply) {
                            FleetUpdate update;
                            update.grants.push_back(
                                {"north", 0, 2, "entry-1", "127.0.0.1:7000", 1, 5});
                            update.grants.push_back({"north", 1, 2, "entry-2", "unreadable", 1, 6});
                            reply(encodeMessage(update));
                        })
            .value();
    ControlWatchSettings settings;
    settings.rpc = makeRpc("entry");
    settings.seeds = {address.toString()};
    const auto watch = std::make_shared<ControlWatch>(io, settings, [] { });
    watch->start();
    REQUIRE(waitUntil([&] {
        runBriefly(io);
        return !watch->view().grants.empty();
    }));
    CHECK(watch->view().grants.size() == 1);
    watch->stop();
    control->stop();
    io.restart();
    io.run();
}
