// Guards against a ledger that starts from damaged files, loses a synced claim to a torn tail, or
// grants a claim that its disk has not stored.
#include "FaultyFolder.h"
#include "LedgerJournal.h"
#include "LedgerReplica.h"

#include <catch2/catch.hpp>

#include <random>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

LedgerRecord claimRecord(std::uint64_t sequence)
{
    LedgerRecord record;
    record.sequence = sequence - 1;
    record.entry.sequence = sequence;
    record.entry.epoch = 1;
    record.entry.key = KeyHash::of("key-" + std::to_string(sequence));
    record.entry.executor = {"entry-1", 1};
    return record;
}

/// The last sequence that a restart recovers, or the error that refuses the start.
Result<std::uint64_t> recoverLastSequence(const std::shared_ptr<FaultyFolder> &folder)
{
    LedgerLog log;
    const auto journal = LedgerJournal::open(folder, {}, log);
    if (!journal)
        return journal.error();
    return log.last();
}

/// Writes a journal of three batches. @return the end offsets of the header and of the batches.
std::vector<std::size_t> writeThreeBatches(const std::shared_ptr<FaultyFolder> &folder)
{
    LedgerLog log;
    const auto journal = LedgerJournal::open(folder, {}, log).value();
    std::vector<std::size_t> batchEnds{folder->content("journal-1").size()};
    for (std::uint64_t n = 1; n <= 6; n += 2) {
        const std::vector<LedgerRecord> batch{claimRecord(n), claimRecord(n + 1)};
        REQUIRE(journal->write(batch).isOk());
        batchEnds.push_back(folder->content("journal-1").size());
    }
    return batchEnds;
}

} // namespace

TEST_CASE("A tail torn at any byte is truncated to the last complete batch", "[ledger]")
{
    const auto folder = std::make_shared<FaultyFolder>();
    const auto batchEnds = writeThreeBatches(folder);
    const auto intactContent = folder->content("journal-1");
    for (std::size_t size = 0; size <= intactContent.size(); ++size) {
        INFO("bytes " << size);
        folder->setContent("journal-1", intactContent.substr(0, size));
        const auto batches = std::ranges::count_if(
            batchEnds, [&](std::size_t end) { return end > LedgerFileHeaderBytes && end <= size; });
        REQUIRE(recoverLastSequence(folder).value() == static_cast<std::uint64_t>(batches) * 2);
        // The tail was really truncated, so that the next batch follows a complete one.
        REQUIRE(recoverLastSequence(folder).value() == static_cast<std::uint64_t>(batches) * 2);
    }
    folder->setContent("journal-1", intactContent + std::string(10'000, '\0'));
    CHECK(recoverLastSequence(folder).value() == 6);
}

TEST_CASE("Damage before the tail gives an error with file and offset", "[ledger]")
{
    const auto folder = std::make_shared<FaultyFolder>();
    const auto batchEnds = writeThreeBatches(folder);
    const auto intactContent = folder->content("journal-1");
    for (std::size_t n = 0; n < batchEnds[2]; ++n) {
        auto bytes = intactContent;
        bytes[n] = static_cast<char>(bytes[n] ^ 0x10);
        folder->setContent("journal-1", bytes);
        const auto result = recoverLastSequence(folder);
        INFO("byte " << n);
        REQUIRE_FALSE(result);
        const auto frame = n < batchEnds[0] ? 0 : (n < batchEnds[1] ? batchEnds[0] : batchEnds[1]);
        CHECK(result.error().message.find("journal-1") != std::string::npos);
        CHECK(result.error().message.find("offset " + std::to_string(frame) + ":")
              != std::string::npos);
    }
    folder->setContent("journal-1", intactContent);
    folder->setContent("journal-3", intactContent);
    CHECK_FALSE(recoverLastSequence(folder));
}

TEST_CASE("A snapshot replaces the journals before it", "[ledger]")
{
    const auto folder = std::make_shared<FaultyFolder>();
    LedgerLog log;
    auto journal = LedgerJournal::open(folder, {}, log).value();
    for (std::uint64_t n = 1; n <= 100; ++n) {
        REQUIRE(journal->write({claimRecord(n)}).isOk());
        REQUIRE(log.replay(claimRecord(n)).isOk());
    }
    const auto completedSteps = GENERATE(0, 1, 2, 3);
    REQUIRE(journal->rotate({claimRecord(100)}).isOk());
    if (completedSteps >= 1) {
        auto snapshot = LedgerSnapshot::begin(folder, journal->number()).value();
        LedgerRecord record;
        record.kind = LedgerRecordKind::Reset;
        record.incarnation = 5;
        REQUIRE(snapshot->write(record).isOk());
        record.kind = LedgerRecordKind::Images;
        record.claims = log.state().images(0, 1'000'000).claims;
        REQUIRE(snapshot->write(record).isOk());
        record.kind = LedgerRecordKind::ImagesEnd;
        record.sequence = log.committed();
        REQUIRE(snapshot->write(record).isOk());
        if (completedSteps >= 2)
            REQUIRE(snapshot->finish().isOk());
    }
    REQUIRE(journal->write({claimRecord(101)}).isOk());
    journal = nullptr;
    folder->crash();
    LedgerLog recovered;
    REQUIRE(LedgerJournal::open(folder, {}, recovered).isOk());
    CHECK(recovered.last() == 101);
    recovered.applyAll();
    CHECK(recovered.state().size() == 101);
    if (completedSteps >= 2) {
        CHECK(recovered.incarnation() == 5);
        auto bytes = folder->content("snapshot-2");
        folder->setContent("snapshot-2", bytes.substr(0, bytes.size() - 1));
        CHECK_FALSE(recoverLastSequence(folder));
    }
}

TEST_CASE("A sync error or a full disk fails the write", "[ledger]")
{
    const auto folder = std::make_shared<FaultyFolder>();
    LedgerLog log;
    const auto journal = LedgerJournal::open(folder, {}, log).value();
    REQUIRE(journal->write({claimRecord(1)}).isOk());
    FolderFaults faults;
    if (GENERATE(true, false))
        faults.syncsUntilError = 0;
    else
        faults.capacity = folder->content("journal-1").size() + 40;
    folder->setFaults(faults);
    CHECK_FALSE(journal->write({claimRecord(2)}));
    folder->setFaults({});
    folder->crash(3);
    CHECK(recoverLastSequence(folder).value() == 1);
}

TEST_CASE("A replica whose disk has failed grants and acknowledges nothing", "[ledger]")
{
    LedgerReplicaSettings settings;
    settings.instance = "a";
    settings.incarnation = 1;
    settings.hasDisk = true;
    LedgerReplica replica(settings, LedgerLog(), Milliseconds{0});
    replica.setRead(ReplicaSet{}, Milliseconds{1});
    replica.tick(Milliseconds{500});
    ReplicaSet set;
    set.epoch = 1;
    set.primary = replica.self();
    replica.setRead(ReplicaSet{}, Milliseconds{600});
    replica.setChanged(set, set, Milliseconds{700});
    REQUIRE(replica.isGranting(Milliseconds{701}));
    (void)replica.takeActions();
    replica.claim(1, {"key", 1, {"e", 1}, 1, "n"}, 0, Milliseconds{702});
    replica.journalFailed("no space left on device");
    replica.claim(2, {"other", 1, {"e", 1}, 1, "n"}, 0, Milliseconds{703});
    std::vector<LedgerRpcStatus> states;
    for (const auto &action : replica.takeActions()) {
        if (const auto *reply = std::get_if<LedgerActions::ReplyToClaim>(&action))
            states.push_back(reply->reply.state);
    }
    CHECK(states == std::vector{LedgerRpcStatus::Undetermined, LedgerRpcStatus::NotReady});
    CHECK(replica.status(Milliseconds{704}).problem == "no space left on device");
}

TEST_CASE("Random bytes in a ledger file never crash the reader", "[ledger]")
{
    constexpr std::uint64_t Seed = 20'261'204;
    constexpr int Inputs = 3'000;
    const auto folder = std::make_shared<FaultyFolder>();
    (void)writeThreeBatches(folder);
    const auto intactContent = folder->content("journal-1");
    std::mt19937_64 random(Seed);
    int refused = 0;
    for (int n = 0; n < Inputs; ++n) {
        INFO("seed " << Seed << " input " << n);
        auto bytes = intactContent.substr(
            0, random() % 2 == 0 ? intactContent.size() : random() % intactContent.size());
        for (auto changes = random() % 8; changes > 0 && !bytes.empty(); --changes)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        // Half of the inputs have a valid checksum, so that the record decoder is reached.
        if (random() % 2 == 0 && bytes.size() > LedgerFileHeaderBytes) {
            std::vector<LedgerRecord> batch{claimRecord(random() % 4), claimRecord(random() % 4)};
            batch[0].kind = static_cast<LedgerRecordKind>(1 + random() % 6);
            batch[1].sequence = random();
            bytes = intactContent.substr(0, LedgerFileHeaderBytes) + encodeLedgerFrame(batch);
        }
        folder->setContent("journal-1", bytes);
        const auto result = recoverLastSequence(folder);
        refused += result ? 0 : 1;
        if (result)
            REQUIRE(result.value() <= 6);
    }
    CHECK(refused > Inputs / 10);
}
