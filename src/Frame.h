/// @file Length-bounded frames of the protocol between processes of the cluster.
#pragma once

#include "Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Camphor {

/// Version of the wire protocol. A peer with another version is refused.
inline constexpr std::uint16_t WireVersion = 8;

/// Kinds of messages. Numbers are part of the wire format and are never reused.
enum class MessageKind : std::uint16_t {
    Hello = 1,
    // Entry to entry.
    PlaceTask = 10,
    CancelTask = 11,
    PullTasks = 12,
    OwnerHandover = 13,
    RunningQuery = 14,
    // Entry to ledger.
    Claim = 20,
    Finish = 21,
    Query = 22,
    LedgerStatus = 23,
    // Ledger to ledger.
    Replicate = 30,
    Catchup = 31,
    LeaseRenew = 32,
    // Control to control.
    PreVote = 40,
    Vote = 41,
    AppendEntries = 42,
    InstallSnapshot = 43,
    // Entry, ledger or operator tool to control.
    Subscribe = 50,
    Apply = 51,
    CompareAndSet = 52,
    ReadReplicaSet = 53,
    ControlStatus = 54,
    History = 55,
    MoveBucket = 56,
    // Fleet: entry to control, control to control, entry to entry.
    WatchFleet = 60,
    JoinGroup = 61,
    StoreDocument = 62,
    ReadDocument = 63,
    FetchDocument = 64,
    ReportLosses = 65,
    DrainDomain = 66,
    SubmitJob = 70,
    CancelJob = 71,
    Ping = 72,
    OfferRuns = 73,
    AwaitRuns = 74,
    StopRuns = 75,
};

/// The role of a frame.
enum class FrameType : std::uint16_t {
    Request = 0,
    Reply = 1,
    Refusal = 2,
    ClockRequest = 3, ///< The client asks for the server's clock.
    Clock = 4, ///< The server's clock, at once.
    Expired = 5, ///< The server has not handled the request, because it had become too old.
};

/// Size of a frame header: magic (4 bytes), payload length (4), correlation id (8), server clock
/// (8), kind (2), type (2).
inline constexpr std::size_t FrameHeaderBytes = 28;

/// Default limit of a frame's payload.
inline constexpr std::size_t DefaultMaxFrameBytes = std::size_t{16} * 1024 * 1024;

/// The header of a frame.
struct FrameHeader
{
    std::uint32_t payloadBytes = 0;
    std::uint64_t correlation = 0; ///< Matches a reply to its request on one connection.
    /// Milliseconds of the server's monotonic clock. A server sends the present time. A client
    /// sends a time that is not after the one at which the request was made, derived from what it
    /// has received on this connection, or 0. So the server knows on its own clock how old a
    /// request is at most, wherever it has waited.
    std::uint64_t serverClockMs = 0;
    MessageKind kind = MessageKind::Hello;
    FrameType type = FrameType::Request;

    auto operator<=>(const FrameHeader &) const = default;
};

/// Encodes a frame. The header's payloadBytes is set from the payload.
[[nodiscard]] std::string encodeFrame(FrameHeader header, std::string_view payload);

/// Decodes a header of FrameHeaderBytes bytes. Fails on a wrong magic number, an unknown type or a
/// payload above the limit.
[[nodiscard]] Result<FrameHeader> decodeFrameHeader(std::string_view bytes,
                                                    std::size_t maxPayloadBytes);

/// Identifies the process that opened a connection. It is the first frame on every connection.
struct Hello
{
    std::uint16_t version = WireVersion;
    std::string cluster;
    std::string instance;
    std::uint64_t incarnation = 0; ///< Increases with each restart of the instance.
    /// Number of the connection, set by the server that accepted it; not transmitted.
    std::uint64_t connection = 0;

    auto operator<=>(const Hello &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, cluster, instance, incarnation);
    }
};

} // namespace Camphor
