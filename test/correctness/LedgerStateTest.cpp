// Guards against claims that are evicted within the retention window, granted again after eviction,
// or refused without need, and against stored responses that exceed their limit.
#include "LedgerState.h"

#include <catch2/catch.hpp>

using namespace Camphor;

namespace {

constexpr std::uint64_t WindowMs = 900'000;

/// A ledger state with the ledger time of a primary.
struct TestLedger
{
    ClaimState claim(const std::string &key, const std::string &nonce, std::uint64_t payload = 1,
                     std::int64_t wallMs = 0)
    {
        return applyEntry(state.decideClaim({key, payload, {"e", 1}, 2, nonce}, wallMs, timeMs));
    }
    bool finish(const std::string &key, const std::string &nonce, Outcome outcome,
                std::uint32_t started, const std::string &response = {})
    {
        auto decision = state.decideFinish({key, {"e", 1}, nonce, outcome, started, response});
        const auto isRecorded = decision.isRecorded;
        (void)applyEntry(std::move(decision));
        return isRecorded;
    }
    ClaimState applyEntry(LedgerDecision decision)
    {
        if (decision.entry) {
            decision.entry->timeMs = timeMs;
            decision.entry->evictBeforeMs = timeMs > WindowMs ? timeMs - WindowMs : 0;
            state.apply(*decision.entry);
        }
        return decision.reply.state;
    }

    LedgerState state;
    std::uint64_t timeMs = 0;
};

std::string ticket(std::int64_t issueTimeMs, const std::string &random = "a1")
{
    return "t-north-" + std::to_string(issueTimeMs) + "-" + random;
}

} // namespace

TEST_CASE("A claim is granted once, to one nonce and one payload", "[ledger]")
{
    TestLedger ledger;
    CHECK(ledger.claim("k", "n1") == ClaimState::Granted);
    CHECK(ledger.claim("k", "n1") == ClaimState::Granted);
    CHECK(ledger.claim("k", "n2") == ClaimState::Running);
    CHECK(ledger.claim("k", "n1", 2) == ClaimState::PayloadMismatch);
    // Only the granted claim can be finished, and not as NotRun with started tasks.
    CHECK_FALSE(ledger.finish("k", "n2", Outcome::Completed, 2));
    CHECK_FALSE(ledger.finish("k", "n1", Outcome::NotRun, 1));
    CHECK_FALSE(ledger.finish("other", "n1", Outcome::Completed, 2));
    CHECK(ledger.finish("k", "n1", Outcome::Completed, 2, "answer"));
    CHECK(ledger.finish("k", "n1", Outcome::Completed, 2, "answer"));
    CHECK_FALSE(ledger.finish("k", "n1", Outcome::NotRun, 0));
    CHECK(ledger.claim("k", "n2") == ClaimState::Stored);
    CHECK(ledger.state.query("k", 0).response == "answer");

    CHECK(ledger.claim("r", "n1") == ClaimState::Granted);
    CHECK(ledger.finish("r", "n1", Outcome::NotRun, 0, "too late"));
    // A delayed duplicate of the released claim is not granted; a new claim is, with any payload.
    CHECK(ledger.claim("r", "n1") == ClaimState::Stored);
    CHECK(ledger.claim("r", "n2", 9) == ClaimState::Granted);
    CHECK_FALSE(ledger.finish("r", "n1", Outcome::NotRun, 0));
}

TEST_CASE("A claim is retained for the whole window and an evicted ticket is never granted",
          "[ledger]")
{
    TestLedger ledger;
    REQUIRE(ledger.claim("k", "n") == ClaimState::Granted);
    REQUIRE(ledger.claim(ticket(5'000), "n", 1, 5'000) == ClaimState::Granted);
    ledger.timeMs = WindowMs;
    REQUIRE(ledger.claim("later", "n") == ClaimState::Granted);
    CHECK(ledger.claim("k", "another") == ClaimState::Running);
    ledger.timeMs = WindowMs + 1'000;
    REQUIRE(ledger.claim("still later", "n") == ClaimState::Granted);
    CHECK(ledger.state.query("k", 0).state == ClaimState::Absent);
    // The wall clock stepped back to the issue time, but the ticket still counts as expired.
    CHECK(ledger.claim(ticket(5'000), "n", 1, 5'000) == ClaimState::Expired);
    CHECK(ledger.claim(ticket(4'000, "b2"), "n", 1, 5'000) == ClaimState::Expired);
    CHECK(ledger.claim(ticket(6'000, "b2"), "n", 1, 6'000) == ClaimState::Granted);
    CHECK(ledger.claim(ticket(7'000), "n", 1, 7'001 + static_cast<std::int64_t>(WindowMs))
          == ClaimState::Expired);
    CHECK(ledger.claim(ticket(99'000'000), "n", 1, 7'000) == ClaimState::Expired);
}

TEST_CASE("A full ledger refuses only new claims, and stored responses stay within their limit",
          "[ledger]")
{
    TestLedger ledger;
    RetentionDeclaration retention;
    retention.maxClaims = 100;
    retention.maxResponseBytes = 3'000;
    ledger.state.setRetention(retention);
    for (int n = 0; n < 100; ++n) {
        const auto key = "k" + std::to_string(n);
        REQUIRE(ledger.claim(key, "n") == ClaimState::Granted);
        REQUIRE(ledger.finish(key, "n", Outcome::Completed, 2, std::string(100, 'x')));
        REQUIRE(ledger.state.responseBytes() <= 3'000);
    }
    CHECK(ledger.claim("new", "n") == ClaimState::Full);
    CHECK(ledger.claim("k0", "n") == ClaimState::Stored);
    CHECK_FALSE(ledger.state.query("k0", 0).hasResponse);
    CHECK(ledger.state.query("k99", 0).hasResponse);
    ledger.timeMs = WindowMs + 1'000;
    CHECK(ledger.claim("new", "n") == ClaimState::Granted);
    CHECK(ledger.state.size() < 100);

    // Restoring the images gives the same state.
    LedgerState copy(retention);
    for (ClaimImages images; !images.isLast;) {
        images = ledger.state.images(images.nextCursor, 500);
        for (const auto &claim : images.claims)
            copy.restore(claim);
    }
    copy.finishRestore(ledger.state.timeMs(), ledger.state.maxEvictedIssueSeconds());
    REQUIRE(copy.size() == ledger.state.size());
    for (int n = 0; n < 100; ++n) {
        const auto key = "k" + std::to_string(n);
        CHECK(copy.query(key, 0) == ledger.state.query(key, 0));
    }
}
