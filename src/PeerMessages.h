/// @file Messages between entries, serialised with cereal and sent in frames over TCP.
#pragma once

#include "DispatchTypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Camphor {

/// Requests that a peer runs one task. The reply is a TaskOutcome, sent once the task has ended.
struct PlaceTask
{
    std::string requestId;
    std::string service;
    std::string team;
    std::uint8_t urgency = 1;
    double timeLeftMs = 0; ///< Time to the deadline when the message was sent.
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

/// The outcome of a placed task. NotStarted guarantees that it did not start and never will.
struct TaskOutcome
{
    std::uint8_t outcome = 2; ///< An AttemptOutcome.
    std::string body;
    std::string reason;
    double runTimeMs = 0;
    std::int64_t freeSlots = -1; ///< Of the peer, for the service of the task; -1 if unknown.

    auto operator<=>(const TaskOutcome &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(outcome, body, reason, runTimeMs, freeSlots);
    }
};

/// Cancels one placed attempt or, if attempt is empty, the submission with the key.
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

/// Announces free slots to a peer. The peer sends queued tasks by PlaceTask and replies with their
/// number.
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

/// Attempts that the previous owner of a target has in flight there.
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

/// The reply to CancelTask, PullTasks and OwnerHandover.
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
