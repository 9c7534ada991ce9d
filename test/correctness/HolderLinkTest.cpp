/// @file Connections to cell holders: detection of a lost holder, and when it is used again.
#include "HolderLink.h"
#include "EventLoops.h"
#include "RpcSupport.h"
#include "TestProcess.h"
#include "Wire.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// Replies to pings, and optionally to jobs.
std::shared_ptr<RpcServer> makeHolder(boost::asio::io_context &io, const Address &address,
                                      bool repliesToJobs)
{
    return RpcServer::make(io, address, makeRpc("holder"),
                           [repliesToJobs](const Hello &, MessageKind kind, const std::string &,
                                           const RpcReply &reply) {
                               if (kind == MessageKind::Ping)
                                   reply(std::string());
                               else if (repliesToJobs)
                                   reply(encodeMessage(JobOutcome{JobVerdict::Completed, {}, 0}));
                           })
        .value();
}

/// Runs the event loop until a condition holds.
void runUntil(boost::asio::io_context &io, const std::function<bool()> &condition)
{
    REQUIRE(pollUntil({&io}, condition));
}

/// Stops both sides; otherwise open connections keep each other alive.
void stop(boost::asio::io_context &io, HolderLink &link, RpcServer &holder)
{
    link.stop();
    holder.stop();
    io.restart();
    io.run();
}

} // namespace

TEST_CASE("a lost holder gets no job until it replies to a ping", "[holder]")
{
    // Guards against jobs that wait, one after the other, for a connection into a partition.
    boost::asio::io_context io;
    const Address address{"127.0.0.1", freePort()};
    const auto link = std::make_shared<HolderLink>(io, makeRpc("entry"), HolderLinkSettings{});
    std::optional<std::variant<JobOutcome, ForwardFailure>> result;
    const auto submit = [&] {
        result.reset();
        link->submit(address.toString(), {}, [&](const auto &it) { result = it; });
        runUntil(io, [&] { return result.has_value(); });
    };
    CHECK(link->isUsable(address.toString()));
    submit();
    CHECK(std::get<ForwardFailure>(*result) == ForwardFailure::NotHandled);
    CHECK_FALSE(link->isUsable(address.toString()));
    const auto holder = makeHolder(io, address, true);
    runUntil(io, [&] { return link->isUsable(address.toString()); });
    submit();
    CHECK(std::get<JobOutcome>(*result).verdict == JobVerdict::Completed);
    stop(io, *link, *holder);
}

TEST_CASE("the outcome of a job is unknown if its holder stops while the job is in flight",
          "[holder]")
{
    boost::asio::io_context io;
    const Address address{"127.0.0.1", freePort()};
    const auto link = std::make_shared<HolderLink>(io, makeRpc("entry"), HolderLinkSettings{});
    auto holder = makeHolder(io, address, false);
    std::optional<std::variant<JobOutcome, ForwardFailure>> result;
    link->submit(address.toString(), {}, [&](const auto &it) { result = it; });
    // Pings continue while the job runs, so the holder does not time out.
    runUntil(io, [&] { return link->hadRecentContact(address.toString()); });
    holder->stop();
    runUntil(io, [&] { return result.has_value(); });
    CHECK(std::holds_alternative<ForwardFailure>(*result));
    CHECK_FALSE(link->isUsable(address.toString()));
    stop(io, *link, *holder);
}

TEST_CASE("a ping with a payload is sent although other calls show that the holder is alive",
          "[holder]")
{
    // Guards against a holder that hears nothing of the requesters of offered runs while it hears
    // other things from their holder.
    boost::asio::io_context io;
    const Address address{"127.0.0.1", freePort()};
    HolderLinkSettings settings;
    settings.pingPeriod = Milliseconds{5};
    const auto link = std::make_shared<HolderLink>(io, makeRpc("entry"), settings);
    link->setPingPayload([&](const std::string &it) { return it; });
    std::vector<RpcReply> jobs;
    std::vector<std::string> pings;
    const auto holder = RpcServer::make(io, address, makeRpc("holder"),
                                        [&](const Hello &, MessageKind kind,
                                            const std::string &payload, const RpcReply &reply) {
                                            if (kind == MessageKind::AwaitRuns) {
                                                jobs.push_back(reply);
                                                return;
                                            }
                                            if (kind == MessageKind::Ping)
                                                pings.push_back(payload);
                                            reply(std::string());
                                        })
                            .value();
    link->call(address.toString(), MessageKind::AwaitRuns, {}, [](const CallResult &) { });
    runUntil(io, [&] {
        link->call(address.toString(), MessageKind::OfferRuns, {}, [](const CallResult &) { });
        return pings.size() >= 2;
    });
    CHECK(pings == std::vector<std::string>(pings.size(), address.toString()));
    stop(io, *link, *holder);
}
