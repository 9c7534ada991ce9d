/// @file Messages of the submission ledgers that are not part of SubmissionLedger.h.
#pragma once

#include "SubmissionLedger.h"

#include <cstdint>
#include <string>

namespace Camphor {

/// Longest key that a ledger accepts, in bytes.
inline constexpr std::size_t MaxKeyBytes = 512;

/// Longest answer that a ledger stores, in bytes. Half of a frame, so that a replicated record with
/// its answer still fits into one frame. A longer answer is stored as outcome only.
inline constexpr std::size_t MaxStoredAnswerBytes = std::size_t{8} * 1024 * 1024;

/// Whether a ledger has answered a call itself.
enum class LedgerAnswerState : std::uint8_t {
    Answered,
    Redirect, ///< This replica is not the primary. Nothing was recorded.
    NotReady, ///< This replica cannot answer now. Nothing was recorded.
    Undetermined, ///< Recorded, but not known to be committed. Ask again with the same nonce.
};

/// The payload of a reply to MessageKind::Claim and MessageKind::Query.
struct ClaimAnswer
{
    LedgerAnswerState state = LedgerAnswerState::NotReady;
    std::string primary; ///< With Redirect: "IP:PORT" of the primary, or empty.
    ClaimReply reply; ///< With Answered.

    auto operator<=>(const ClaimAnswer &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(state, primary, reply);
    }
};

/// The payload of a reply to MessageKind::Finish.
struct FinishAnswer
{
    LedgerAnswerState state = LedgerAnswerState::NotReady;
    std::string primary; ///< With Redirect: "IP:PORT" of the primary, or empty.
    bool isRecorded = false; ///< With Answered.

    auto operator<=>(const FinishAnswer &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(state, primary, isRecorded);
    }
};

/// The payload of MessageKind::Query.
struct QueryRequest
{
    std::string key;

    auto operator<=>(const QueryRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key);
    }
};

} // namespace Camphor
