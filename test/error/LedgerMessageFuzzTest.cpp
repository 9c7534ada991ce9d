// Guards against crashes and unbounded allocations of the decoder on forged messages.
#include "Frame.h"
#include "LedgerMessages.h"
#include "Wire.h"

#include <catch2/catch.hpp>

#include <random>

using namespace Camphor;

namespace {

constexpr std::uint64_t Seed = 20'261'204;
constexpr int InputsPerMessage = 5'000;

/// Decodes truncated, modified and random forms of a message. Whatever decodes must encode to the
/// same bytes.
template <typename T>
void fuzz(const T &message, std::mt19937_64 &random)
{
    const auto encoded = encodeMessage(message);
    REQUIRE(decodeMessage<T>(encoded).value() == message);
    REQUIRE_FALSE(decodeMessage<T>(encoded + "x"));
    for (std::size_t size = 0; size < encoded.size(); ++size)
        REQUIRE_FALSE(decodeMessage<T>(std::string_view(encoded).substr(0, size)));
    for (int n = 0; n < InputsPerMessage; ++n) {
        auto bytes = encoded;
        for (auto changesLeft = 1 + random() % 4; changesLeft > 0; --changesLeft) {
            const auto position = random() % bytes.size();
            // Lengths near the upper end of the range would make a decoder allocate.
            bytes[position] = random() % 2 == 0 ? '\xff' : static_cast<char>(random());
        }
        if (const auto decoded = decodeMessage<T>(bytes);
            decoded && encodeMessage(decoded.value()) != bytes) {
            INFO("seed " << Seed << " input " << n);
            FAIL_CHECK("a decoded message encodes to different bytes");
        }
    }
}

} // namespace

TEST_CASE("Forged ledger messages are refused or decoded exactly", "[ledger]")
{
    std::mt19937_64 random(Seed);
    ClaimReply reply;
    reply.response = "answer";
    reply.executor = {"entry-1", 3};
    LedgerEntry claim;
    claim.executor = {"entry-1", 3};
    LedgerEntry finish;
    finish.kind = LedgerEntryKind::Finish;
    finish.response = "answer";
    ClaimImage image;
    image.executor = {"entry-1", 3};
    image.response = "answer";
    const ReplicaMember member{"ledger-1", 5, "127.0.0.1:1"};
    const ReplicaSet set{4, member, {member, member}};
    ReplicateRequest replicate;
    replicate.set = set;
    replicate.entries = {claim, finish};
    CatchupReply catchup;
    catchup.set = set;
    catchup.claims = {image, image};
    LedgerStatusReply status;
    status.set = set;
    status.problem = "no space left on device";

    fuzz(Hello{WireVersion, "shop", "entry-1", 7}, random);
    fuzz(ClaimRequest{"key", 1, {"entry-1", 3}, 2, "nonce"}, random);
    fuzz(FinishRequest{"key", {"entry-1", 3}, "nonce", Outcome::Completed, 2, "answer"}, random);
    fuzz(QueryRequest{"key"}, random);
    fuzz(ClaimRpcReply{LedgerRpcStatus::Handled, "127.0.0.1:1", reply}, random);
    fuzz(FinishRpcReply{LedgerRpcStatus::Redirect, "127.0.0.1:1", true}, random);
    fuzz(replicate, random);
    fuzz(ReplicateReply{ReplicateState::Gap, "ledger-1", 5, 4, 4, 9, 8, true, 1.5}, random);
    fuzz(CatchupRequest{"north", member, 7, true}, random);
    fuzz(catchup, random);
    fuzz(status, random);
    fuzz(set, random);
    for (const auto kind :
         {LedgerRecordKind::Entry, LedgerRecordKind::Truncate, LedgerRecordKind::Promise,
          LedgerRecordKind::Reset, LedgerRecordKind::Images, LedgerRecordKind::ImagesEnd}) {
        LedgerRecord record;
        record.kind = kind;
        if (kind == LedgerRecordKind::Entry)
            record.entry = finish;
        if (kind == LedgerRecordKind::Images)
            record.claims = {image};
        fuzz(record, random);
    }
}
