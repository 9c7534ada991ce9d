/// @file A control instance at the address of a member whose disk was lost.
#include "ControlProtocol.h"
#include "EventLoops.h"
#include "FleetControl.h"
#include "RaftCore.h"
#include "RpcClient.h"
#include "RpcSupport.h"
#include "TestProcess.h"
#include "Wire.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

constexpr Milliseconds Hour{3'600'000};
constexpr const char *Leader = "leader";

/// A process that starts with an empty disk at a member's address, and its leader.
struct World
{
    World()
    {
        FleetControlSettings settings;
        settings.cluster = makeRpc({}).cluster;
        settings.listen = address;
        settings.operatorAddress = address;
        settings.seeds = {leaderAddress};
        settings.dataFolder = (folder.path() / "data").string();
        // The process asks for its membership at the address of its seed, with its own RPC port.
        leaderAddress.port = address.port;
        leader = RpcServer::make(
                     io, leaderAddress, makeRpc(Leader),
                     [this](const Hello &, MessageKind kind, const std::string &payload,
                            const RpcReply &reply) {
                         if (kind == MessageKind::JoinGroup)
                             name =
                                 decodeMessage<JoinGroupRequest>(payload).value().member.instance;
                         reply(encodeMessage(JoinGroupReply{}));
                     })
                     .value();
        control = FleetControl::make(io, settings).value();
        client = RpcClient::make(io, address, makeRpc(Leader));
        REQUIRE(runUntil([&] { return name.has_value(); }));
    }

    bool runUntil(const std::function<bool()> &condition) { return pollUntil({&io}, condition); }

    template <typename T>
    RpcResult call(MessageKind kind, const std::string &to, const T &message)
    {
        std::optional<RpcResult> result;
        client->call(kind, encodeMessage(MemberCall{to, encodeMessage(message)}), Hour,
                     [&](const RpcResult &it) { result = it; });
        REQUIRE(runUntil([&] { return result.has_value(); }));
        return *result;
    }

    TemporaryFolder folder;
    boost::asio::io_context io;
    Address address{"127.0.0.1", freePort()};
    Address leaderAddress{"127.0.0.2", 0};
    std::shared_ptr<RpcServer> leader;
    std::shared_ptr<FleetControl> control;
    std::shared_ptr<RpcClient> client;
    std::optional<std::string> name; ///< The present name of the process.
};

bool isReply(const RpcResult &result) { return std::holds_alternative<std::string>(result); }

} // namespace

TEST_CASE("a process answers no call for the former name at its address", "[membership]")
{
    // Guards against a vote that is cast twice: before the disk was lost under the former name, and
    // again by the process that has its address now and was sent the group's state.
    World world;
    const auto former = world.address.toString();
    REQUIRE(world.name != former);
    RaftSnapshotRequest request;
    request.term = 5;
    request.snapshot.index = 9;
    request.snapshot.term = 5;
    request.snapshot.configuration.members = {{Leader, "127.0.0.2:1", "127.0.0.2:2", true},
                                              {former, former, former, true}};
    const RaftVoteRequest vote{false, 6, 9, 5};
    CHECK_FALSE(isReply(world.call(MessageKind::InstallSnapshot, former, request)));
    CHECK_FALSE(isReply(world.call(MessageKind::Vote, former, vote)));
    // As a learner under its present name, it is sent the state.
    request.snapshot.configuration.members.back() = {*world.name, former, former, false};
    CHECK(isReply(world.call(MessageKind::InstallSnapshot, *world.name, request)));
    CHECK_FALSE(isReply(world.call(MessageKind::Vote, former, vote)));
}
