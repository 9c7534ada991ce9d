/// @file Requests between processes of a fleet that can be decoded but cannot be served.
#include "FleetProtocol.h"
#include "Frame.h"
#include "RpcDecode.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace Camphor;

namespace {

/// Whether a receiver accepts the request, and replies with an error if not.
template <typename T>
bool isAccepted(const T &request)
{
    std::optional<Result<std::string>> answer;
    const auto decoded = decodeOrReject<T>(
        encodeMessage(request), [&](Result<std::string> reply) { answer = std::move(reply); });
    CHECK(answer.has_value() == !decoded.has_value());
    return decoded.has_value();
}

WatchFleetRequest makeWatch()
{
    WatchFleetRequest request;
    request.entry = {"entry-1", "north", "127.0.0.1:7000", 1};
    return request;
}

} // namespace

TEST_CASE("an entry whose address cannot be called gets no cell", "[fleet]")
{
    // All entries call the holder of a cell, and control instances name it in every update.
    CHECK(isAccepted(makeWatch()));
    const std::string address = GENERATE("", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "north");
    CAPTURE(address);
    auto request = makeWatch();
    request.entry.address = address;
    CHECK_FALSE(isAccepted(request));
    request = makeWatch();
    request.entry.name.clear();
    CHECK_FALSE(isAccepted(request));
}

TEST_CASE("a control instance whose address cannot be called does not join the group", "[fleet]")
{
    // A member is stored in the log of the group, so that a bad one would remain after a restart.
    const RaftMember member{"m1", "127.0.0.1:7000", "127.0.0.1:7001", true};
    CHECK(isAccepted(JoinGroupRequest{member}));
    CHECK_FALSE(isAccepted(JoinGroupRequest{{"m1", "127.0.0.1", "127.0.0.1:7001", true}}));
    CHECK_FALSE(isAccepted(JoinGroupRequest{{"m1", "127.0.0.1:7000", "x", true}}));
    CHECK_FALSE(isAccepted(JoinGroupRequest{{"", "127.0.0.1:7000", "127.0.0.1:7001", true}}));
}

TEST_CASE("a control instance accepts no more or larger losses than it can keep", "[fleet]")
{
    // Control instances keep losses in memory and pass them on to every entry.
    const InstanceLoss largest{
        {std::string(MaxLostInstanceIdBytes, 'i'), 1'000},
        std::vector<std::string>(MaxTasksPerLoss, std::string(MaxTaskNameBytes, 't'))};
    const ReportLossesRequest valid{std::vector<InstanceLoss>(MaxLossesPerMessage, largest)};
    CHECK(isAccepted(valid));
    CHECK(encodeMessage(valid).size() < DefaultMaxFrameBytes);

    auto request = valid;
    request.losses.push_back(largest);
    CHECK_FALSE(isAccepted(request));
    request = valid;
    request.losses.back().tasks.emplace_back("task");
    CHECK_FALSE(isAccepted(request));
    request = valid;
    request.losses.back().tasks.back().push_back('t');
    CHECK_FALSE(isAccepted(request));
    request = valid;
    request.losses.back().instance.id.push_back('i');
    CHECK_FALSE(isAccepted(request));
    request = valid;
    request.losses.back().instance.id.clear();
    CHECK_FALSE(isAccepted(request));
}
