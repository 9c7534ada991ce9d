// Prints throughput and added latency of claims with a 3 ms sync, restart time, and memory per
// claim.
#include "FaultyFolder.h"
#include "LedgerJournal.h"
#include "LedgerProcess.h"
#include "LedgerServer.h"
#include "StaticReplicaSetStore.h"

#include <catch2/catch.hpp>

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <random>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

constexpr std::chrono::microseconds SyncDelay{3'000};

double nowMs() { return SteadyClock().now().count(); }

/// A primary and backups in this process, each on a folder in memory with slow syncs.
class SlowDiskLedgers
{
public:
    explicit SlowDiskLedgers(int backups)
        : m_work(m_io.get_executor())
    {
        ReplicaSet set;
        for (int n = 0; n <= backups; ++n) {
            ports.push_back(freePort());
            const ReplicaMember member{"ledger-" + std::to_string(ports.back()), 0,
                                       "127.0.0.1:" + std::to_string(ports.back())};
            if (n == 0)
                set.primary = member;
            else
                set.backups.push_back(member);
        }
        for (const auto port : ports) {
            LedgerServerSettings settings;
            settings.cluster = "test";
            settings.domain = "north";
            settings.instance = "ledger-" + std::to_string(port);
            settings.listen = {"127.0.0.1", port};
            settings.incarnation = 1;
            const auto folder = std::make_shared<FaultyFolder>(FolderFaults{SyncDelay});
            m_servers.push_back(
                LedgerServer::make(m_io, settings, folder,
                                   [&](const ReplicaMember &self, std::uint64_t last) {
                                       return std::make_shared<StaticReplicaSetStore>(set, self,
                                                                                      last);
                                   })
                    .value());
        }
        for (int n = 0; n < 2; ++n)
            m_threads.emplace_back([this] { m_io.run(); });
    }
    ~SlowDiskLedgers()
    {
        for (const auto &server : m_servers) {
            std::promise<void> completed;
            server->drain(Milliseconds{100}, [&] { completed.set_value(); });
            completed.get_future().wait();
        }
        m_work.reset();
        m_io.stop();
    }
    SlowDiskLedgers(const SlowDiskLedgers &) = delete;
    SlowDiskLedgers &operator=(const SlowDiskLedgers &) = delete;

    void waitForBackups(LedgerCaller &caller) const
    {
        REQUIRE(waitUntil([&] {
            const auto status = caller.status(ports[0]);
            return status && status->isGranting && status->set.backups.size() + 1 == ports.size();
        }));
    }

    std::vector<std::uint16_t> ports;

private:
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::shared_ptr<LedgerServer>> m_servers;
    std::vector<std::jthread> m_threads;
};

struct ThroughputResult
{
    double perSecond = 0;
    double syncsPerClaim = 0;
};

/// Keeps a constant number of claims in flight for a given time.
ThroughputResult measureThroughput(const SlowDiskLedgers &ledgers, LedgerCaller &caller,
                                   int inFlight, double durationMs, const std::string &prefix)
{
    std::atomic<int> completed = 0;
    std::atomic<int> running = inFlight;
    std::atomic<int> next = 0;
    const auto before = caller.status(ledgers.ports[0])->syncs;
    const auto start = nowMs();
    std::function<void()> send = [&] {
        const auto key = prefix + std::to_string(next++);
        caller.ledger->claim({key, 1, {"entry-1", 1}, 1, "n" + key}, Milliseconds{10'000},
                             [&](const ClaimReply &reply) {
                                 completed += reply.state == ClaimState::Granted ? 1 : 0;
                                 if (nowMs() - start < durationMs)
                                     send();
                                 else
                                     --running;
                             });
    };
    for (int n = 0; n < inFlight; ++n)
        send();
    while (running > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    const auto elapsed = nowMs() - start;
    const auto syncs = caller.status(ledgers.ports[0])->syncs - before;
    return {completed * 1000.0 / elapsed, static_cast<double>(syncs) / completed};
}

/// Median latency in milliseconds of claims with exponential interarrival times.
double measureMedianLatency(LedgerCaller &caller, double perSecond, int count,
                            const std::string &prefix)
{
    std::mt19937_64 random(20'261'204);
    std::exponential_distribution<double> interarrivalMs(perSecond / 1000.0);
    std::vector<double> latencies(static_cast<std::size_t>(count));
    std::atomic<int> completed = 0;
    auto arrivalMs = nowMs();
    for (int n = 0; n < count; ++n) {
        arrivalMs += interarrivalMs(random);
        while (nowMs() < arrivalMs)
            std::this_thread::sleep_for(std::chrono::microseconds(50));
        const auto key = prefix + std::to_string(n);
        caller.ledger->claim({key, 1, {"entry-1", 1}, 1, "n" + key}, Milliseconds{10'000},
                             [&, n, arrivalMs](const ClaimReply &) {
                                 latencies[static_cast<std::size_t>(n)] = nowMs() - arrivalMs;
                                 ++completed;
                             });
    }
    while (completed < count)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    std::ranges::sort(latencies);
    return latencies[latencies.size() / 2];
}

LedgerRecord claimRecord(std::uint64_t n)
{
    LedgerRecord record;
    record.sequence = n - 1;
    record.entry.sequence = n;
    record.entry.epoch = 1;
    record.entry.timeMs = n / 10;
    record.entry.key = KeyHash::of("key-" + std::to_string(n));
    record.entry.nonceHash = n;
    record.entry.executor = {"entry-" + std::to_string(n % 8), 1};
    return record;
}

double heapBytes()
{
    const auto info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace

TEST_CASE("Claims with a 3 ms sync", "[ledger]")
{
    for (const int backups : {0, 1}) {
        const SlowDiskLedgers ledgers(backups);
        LedgerCaller caller({ledgers.ports[0]});
        ledgers.waitForBackups(caller);
        for (const int inFlight : {1, 16, 64, 256}) {
            const auto result = measureThroughput(ledgers, caller, inFlight, 3'000,
                                                  "k" + std::to_string(inFlight) + "-");
            std::printf("ledger claims: backups %d, sync 3 ms, %3d in flight: %6.0f claims/s, "
                        "%.3f syncs per claim\n",
                        backups, inFlight, result.perSecond, result.syncsPerClaim);
        }
        for (const double rate : {50.0, 200.0, 1'000.0, 3'000.0}) {
            const auto median = measureMedianLatency(caller, rate, static_cast<int>(rate * 3),
                                                     "p" + std::to_string(rate) + "-");
            std::printf("ledger latency: backups %d, sync 3 ms, %4.0f claims/s: p50 %.2f ms = %.2f "
                        "sync times\n",
                        backups, rate, median, median / 3.0);
        }
    }
}

TEST_CASE("Restart with 1,000,000 retained claims", "[ledger]")
{
    constexpr std::uint64_t Claims = 1'000'000;
    const TemporaryFolder temporary;
    const auto folder = SyncedFolder::open((temporary.path() / "data").string()).value();
    RetentionDeclaration retention;
    LedgerLog log;
    auto journal = LedgerJournal::open(folder, retention, log).value();
    for (std::uint64_t n = 1; n <= Claims;) {
        std::vector<LedgerRecord> batch;
        batch.reserve(1'000);
        for (int k = 0; k < 1'000; ++k)
            batch.push_back(claimRecord(n++));
        REQUIRE(journal->write(batch).isOk());
    }
    const auto bytes = static_cast<double>(journal->bytes());
    auto start = nowMs();
    journal = LedgerJournal::open(folder, retention, log).value();
    std::printf("ledger restart: journal of %llu claims, %.0f MB: %.2f s\n",
                static_cast<unsigned long long>(log.last()), bytes / 1e6,
                (nowMs() - start) / 1000.0);
    log.commit(log.last());
    REQUIRE(journal->rotate({}).isOk());
    auto snapshot = LedgerSnapshot::begin(folder, journal->number()).value();
    LedgerRecord record;
    record.kind = LedgerRecordKind::Reset;
    record.incarnation = 1;
    REQUIRE(snapshot->write(record).isOk());
    for (ClaimImages images; !images.isLast;) {
        images = log.state().images(images.nextCursor, std::size_t{512} * 1024);
        record.kind = LedgerRecordKind::Images;
        record.claims = images.claims;
        REQUIRE(snapshot->write(record).isOk());
    }
    record.kind = LedgerRecordKind::ImagesEnd;
    record.sequence = log.committed();
    REQUIRE(snapshot->write(record).isOk());
    REQUIRE(snapshot->finish().isOk());
    start = nowMs();
    journal = LedgerJournal::open(folder, retention, log).value();
    std::printf("ledger restart: snapshot of %zu claims: %.2f s\n", log.state().size(),
                (nowMs() - start) / 1000.0);
    REQUIRE(log.state().size() == Claims);
}

TEST_CASE("Memory per retained claim", "[ledger]")
{
    for (const std::uint64_t claims : {100'000, 200'000, 400'000, 700'000, 1'000'000}) {
        const auto before = heapBytes();
        auto state = std::make_unique<LedgerState>();
        for (std::uint64_t n = 1; n <= claims; ++n)
            state->apply(claimRecord(n).entry);
        std::printf("ledger memory: %7llu claims: %.1f bytes per claim\n",
                    static_cast<unsigned long long>(claims),
                    (heapBytes() - before) / static_cast<double>(claims));
        REQUIRE(state->size() == claims);
    }
}
