/// @file Messages between the control group and entries, ledgers and the operators' tool.
#pragma once

#include "ControlState.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Camphor {

/// Asks for anything newer than the last known versions; answered at once if there is, and
/// otherwise when there is or after the wait.
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
    VersionedDeclaration declaration; ///< Version 0 when there is none newer.
    std::uint64_t bucketVersion = 0;
    std::vector<BucketHome> buckets; ///< Empty when there is no newer map.
    /// False when the member has not heard from a leader for some time, so that others may know
    /// more.
    bool isCurrent = true;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(declaration, bucketVersion, buckets, isCurrent);
    }
};

/// An operator's change over RPC.
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
    std::uint32_t limit = 100; ///< Newest first.

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
