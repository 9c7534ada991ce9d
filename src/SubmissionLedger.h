/// @file The interface of the submission ledgers, as used by an entry.
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

/// Requests the right to execute a submission.
struct ClaimRequest
{
    std::string key;
    std::uint64_t payloadHash = 0; ///< XXH3 of the canonical payload.
    Executor executor;
    std::uint32_t taskCount = 1;
    /// Identifies this claim, so that it can be resent after a lost reply.
    std::string nonce;

    auto operator<=>(const ClaimRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, payloadHash, executor, taskCount, nonce);
    }
};

/// The state of a key in its ledger.
enum class ClaimState : std::uint8_t {
    Granted, ///< The claimant, and no one else, executes it.
    Running, ///< It was granted to another claim, which has not finished.
    Stored, ///< It has finished; the reply holds its outcome and response.
    PayloadMismatch, ///< The key was claimed with another payload.
    Full, ///< The ledger is at its limit of claims; nothing was granted.
    Expired, ///< The key is older than the retention window, so it may have run before.
    Absent, ///< Only for a query: the ledger does not hold the key.
    Unreachable, ///< No reply from the key's home domain; nothing is known.
};

/// The reply to a claim or a query.
struct ClaimReply
{
    ClaimState state = ClaimState::Unreachable;
    Executor executor; ///< With Running and Stored.
    std::uint32_t taskCount = 0; ///< With Running and Stored.
    Outcome outcome = Outcome::Unknown; ///< With Stored.
    std::uint32_t started = 0; ///< With Stored: number of started tasks.
    /// With Stored: the whole response, or the reason if the outcome is not Completed.
    std::string response;
    /// With Stored and Completed: false if the response was evicted by the byte limit.
    bool hasResponse = false;
    /// With Unreachable: false only if no ledger can have received the claim.
    bool maybeGranted = true;

    auto operator<=>(const ClaimReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(state, executor, taskCount, outcome, started, response, hasResponse, maybeGranted);
    }
};

/// Records the outcome of a submission. Outcome::NotRun releases the key for a later claim.
struct FinishRequest
{
    std::string key;
    Executor executor;
    std::string nonce; ///< Nonce of the granted claim.
    Outcome outcome = Outcome::Unknown;
    std::uint32_t started = 0;
    std::string response;

    auto operator<=>(const FinishRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, executor, nonce, outcome, started, response);
    }
};

/// Access to the ledgers of all failure domains. Callbacks are called exactly once, from any
/// thread.
class SubmissionLedger
{
public:
    using ClaimCallback = std::function<void(ClaimReply)>;
    /// True if the outcome is recorded on every in-sync replica.
    using FinishCallback = std::function<void(bool isRecorded)>;

    virtual ~SubmissionLedger() = default;

    /// Claims a key in its home domain. Resends with the same nonce after a lost reply, until the
    /// timeout.
    virtual void claim(ClaimRequest request, Milliseconds timeout, ClaimCallback callback) = 0;
    virtual void finish(FinishRequest request, Milliseconds timeout, FinishCallback callback) = 0;
    virtual void query(std::string key, Milliseconds timeout, ClaimCallback callback) = 0;
};

} // namespace Camphor
