/// @file Messages that entries, ledgers and the operators' tool exchange with the control group.
#pragma once

#include "ControlState.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Camphor {

/// A call from one member of the group to another. It names the other one, because a process whose
/// disk was lost serves the address of its former name, but has not cast that name's votes.
struct MemberCall
{
    std::string to; ///< Name of the member that is called.
    std::string message; ///< The encoded message of the protocol.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(to, message);
    }
};

/// Requests whatever is newer than the last known versions (long poll). The reply is sent at once
/// if there is something newer, and otherwise when there is or when the wait ends.
struct SubscribeRequest
{
    std::uint64_t lastVersion = 0;
    std::uint64_t lastBucketVersion = 0;
    std::uint32_t maxWaitMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(lastVersion, lastBucketVersion, maxWaitMs);
    }
};

struct SubscribeReply
{
    VersionedDeclaration declaration; ///< Version 0 if there is none newer.
    std::uint64_t bucketVersion = 0;
    std::vector<BucketHome> buckets; ///< Empty if there is no newer bucket map.
    /// False if the member has had no contact with a leader for some time, so that other members
    /// may have newer versions.
    bool isCurrent = true;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(declaration, bucketVersion, buckets, isCurrent);
    }
};

/// An operator's change of the declaration over RPC.
struct ApplyRequest
{
    std::string token; ///< The operators' token.
    std::string requestId;
    std::uint64_t expectedVersion = 0;
    std::string text;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(token, requestId, expectedVersion, text);
    }
};

struct MoveBucketRequest
{
    std::string token; ///< The operators' token.
    MoveBucketCommand command;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(token, command);
    }
};

struct ReadReplicaSetRequest
{
    std::string domain;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(domain);
    }
};

struct HistoryRequest
{
    std::uint32_t limit = 100; ///< Upper bound on the number of records; the newest are returned.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(limit);
    }
};

struct HistoryReply
{
    std::vector<VersionRecord> records; ///< Newest first, without texts.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(records);
    }
};

} // namespace Camphor
