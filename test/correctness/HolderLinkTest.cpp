/// @file The link to cell holders: what is known when one is lost, and when it is asked again.
#include "HolderLink.h"
#include "RpcSupport.h"
#include "TestProcess.h"
#include "Wire.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// Answers pings, and jobs only if told to.
std::shared_ptr<RpcServer> makeHolder(boost::asio::io_context &io, const Address &address,
                                      bool answersJobs)
{
    return RpcServer::make(io, address, makeRpc("holder"),
                           [answersJobs](const Hello &, MessageKind kind, const std::string &,
                                         const RpcReply &reply) {
                               if (kind == MessageKind::Ping)
                                   reply(std::string());
                               else if (answersJobs)
                                   reply(encodeMessage(JobOutcome{JobVerdict::Completed, {}, 0}));
                           })
        .value();
}

/// Runs the event loop until a condition holds.
void runUntil(boost::asio::io_context &io, const std::function<bool()> &condition)
{
    REQUIRE(waitUntil([&] {
        io.restart();
        io.poll();
        return condition();
    }));
}

/// Ends both sides; connections that are open keep each other alive otherwise.
void stop(boost::asio::io_context &io, HolderLink &link, RpcServer &holder)
{
    link.stop();
    holder.stop();
    io.restart();
    io.run();
}

} // namespace

TEST_CASE("a lost holder gets no job until it answers a ping", "[holder]")
{
    // Guards against jobs that wait for a connection into a partition, one after the other.
    boost::asio::io_context io;
    const Address address{"127.0.0.1", freePort()};
    const auto link = std::make_shared<HolderLink>(io, makeRpc("entry"), HolderLinkSettings{});
    std::optional<std::variant<JobOutcome, HandOverFailure>> result;
    const auto submit = [&] {
        result.reset();
        link->submit(address.toString(), {}, [&](const auto &it) { result = it; });
        runUntil(io, [&] { return result.has_value(); });
    };
    CHECK(link->isUsable(address.toString()));
    submit();
    CHECK(std::get<HandOverFailure>(*result) == HandOverFailure::NotSent);
    CHECK_FALSE(link->isUsable(address.toString()));
    const auto holder = makeHolder(io, address, true);
    runUntil(io, [&] { return link->isUsable(address.toString()); });
    submit();
    CHECK(std::get<JobOutcome>(*result).verdict == JobVerdict::Completed);
    stop(io, *link, *holder);
}

TEST_CASE("a holder that ends with a job makes the job unknown", "[holder]")
{
    boost::asio::io_context io;
    const Address address{"127.0.0.1", freePort()};
    const auto link = std::make_shared<HolderLink>(io, makeRpc("entry"), HolderLinkSettings{});
    auto holder = makeHolder(io, address, false);
    std::optional<std::variant<JobOutcome, HandOverFailure>> result;
    link->submit(address.toString(), {}, [&](const auto &it) { result = it; });
    // Pings go on while the job runs, so the holder does not count as silent.
    runUntil(io, [&] { return link->wasHeard(address.toString()); });
    holder->stop();
    runUntil(io, [&] { return result.has_value(); });
    CHECK(std::holds_alternative<HandOverFailure>(*result));
    CHECK_FALSE(link->isUsable(address.toString()));
    stop(io, *link, *holder);
}
