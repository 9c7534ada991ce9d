/// @file The interface between an entry and the submission ledgers.
#pragma once

#include "Outcome.h"
#include "Time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Camphor {

/// The entry process that executes a submission.
struct Executor
{
    std::string instance;
    std::uint64_t incarnation = 0;

    auto operator<=>(const Executor &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation);
    }
};

/// Asks for the right to execute a submission.
struct ClaimRequest
{
    std::string key;
    std::uint64_t payloadHash = 0; ///< XXH3 of the canonical payload.
    Executor executor;
    std::uint32_t taskCount = 1;
    /// Identifies this claim, so that it can be sent again after a lost answer.
    std::string nonce;

    auto operator<=>(const ClaimRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, payloadHash, executor, taskCount, nonce);
    }
};

/// What the ledger says about a key.
enum class ClaimState : std::uint8_t {
    Granted, ///< The asker, and nobody else, executes it.
    Running, ///< Another executor was granted it and has not finished.
    Stored, ///< It has finished; outcome and answer are in the reply.
    PayloadMismatch, ///< The key belongs to another payload.
    Full, ///< The ledger has no room; nothing was granted.
    Expired, ///< The key is older than the retention window; it may have run before.
    Absent, ///< Only for a query: the key is not known.
    Unreachable, ///< No word from the key's home; nothing is known.
};

/// The answer to a claim or a query.
struct ClaimReply
{
    ClaimState state = ClaimState::Unreachable;
    Executor executor; ///< With Running and Stored.
    std::uint32_t taskCount = 0; ///< With Running and Stored.
    Outcome outcome = Outcome::Unknown; ///< With Stored.
    std::uint32_t started = 0; ///< With Stored: how many tasks were started.
    /// With Stored: the whole answer, or the reason when the outcome is not Completed.
    std::string answer;
    /// With Stored and Completed: false when the answer itself was dropped by the byte bound.
    bool hasAnswer = false;
    /// With Unreachable: false only if it is certain that no ledger received the claim.
    bool maybeGranted = true;

    auto operator<=>(const ClaimReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(state, executor, taskCount, outcome, started, answer, hasAnswer, maybeGranted);
    }
};

/// Records the end of a submission. An outcome of NotRun releases the key for a later claim.
struct FinishRequest
{
    std::string key;
    Executor executor;
    std::string nonce; ///< Of the claim that was granted.
    Outcome outcome = Outcome::Unknown;
    std::uint32_t started = 0;
    std::string answer;

    auto operator<=>(const FinishRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, executor, nonce, outcome, started, answer);
    }
};

/// The ledgers as an entry sees them. Callbacks are called exactly once, from any thread.
class SubmissionLedger
{
public:
    using ClaimCallback = std::function<void(ClaimReply)>;
    /// True when the end is recorded on every in-sync replica.
    using FinishCallback = std::function<void(bool isRecorded)>;

    virtual ~SubmissionLedger() = default;

    /// Asks the key's home for the right to execute. Sent again with the same nonce after a lost
    /// answer, until the timeout.
    virtual void claim(ClaimRequest request, Milliseconds timeout, ClaimCallback callback) = 0;
    virtual void finish(FinishRequest request, Milliseconds timeout, FinishCallback callback) = 0;
    virtual void query(std::string key, Milliseconds timeout, ClaimCallback callback) = 0;
};

} // namespace Camphor
