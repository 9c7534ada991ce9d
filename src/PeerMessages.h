/// @file Messages between entries, in cereal frames over TCP.
#pragma once

#include "DispatchTypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Camphor {

/// Asks a peer to run one task. The reply is a TaskOutcome, sent when the task has ended.
struct PlaceTask
{
    std::string requestId;
    std::string service;
    std::string team;
    std::uint8_t urgency = 1;
    double timeLeftMs = 0; ///< Until the deadline, at the time of sending.
    bool isRepeatable = false;
    bool isJobTask = false;
    std::uint32_t taskIndex = 0;
    std::uint32_t attempt = 1; ///< The only attempt that the peer may start.
    std::string input;

    auto operator<=>(const PlaceTask &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, service, team, urgency, timeLeftMs, isRepeatable, isJobTask, taskIndex,
                attempt, input);
    }
};

/// How a placed task ended. NotStarted is a promise: it did not start and never will.
struct TaskOutcome
{
    std::uint8_t outcome = 2; ///< An AttemptOutcome.
    std::string body;
    std::string reason;
    double runTimeMs = 0;
    std::int64_t freeSlots = -1; ///< Of the peer, for the task's service; -1 when not known.

    auto operator<=>(const TaskOutcome &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(outcome, body, reason, runTimeMs, freeSlots);
    }
};

/// Cancels one placed attempt, or (with an empty attempt) a whole submission by its key.
struct CancelTask
{
    std::string attempt;
    std::string key;

    auto operator<=>(const CancelTask &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(attempt, key);
    }
};

/// Offers free slots. The receiver sends queued tasks by PlaceTask; its reply is their count.
struct PullTasks
{
    std::string pool;
    std::uint32_t slots = 0;

    auto operator<=>(const PullTasks &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(pool, slots);
    }
};

/// Attempts that the old owner of a target has in flight there.
struct OwnerHandover
{
    std::string target;
    std::vector<std::string> running;

    auto operator<=>(const OwnerHandover &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(target, running);
    }
};

/// The reply of messages that are only acknowledged.
struct PeerAck
{
    std::uint32_t count = 0;

    auto operator<=>(const PeerAck &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(count);
    }
};

} // namespace Camphor
