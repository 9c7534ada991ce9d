#include "ControlGroup.h"
#include "ControlNode.h"
#include "ControlState.h"
#include "ControlSubscription.h"
#include "Wire.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <sstream>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

constexpr int Subscribers = 8;
constexpr int Changes = 200;

RpcSettings rpcSettings(const std::string &instance)
{
    RpcSettings settings;
    settings.cluster = "test";
    settings.instance = instance;
    return settings;
}

/// Subscriptions like those of entries, and the versions that they have received.
class SubscriberGroup
{
public:
    explicit SubscriberGroup(const std::vector<Address> &control)
        : m_versions(Subscribers, 0)
    {
        for (std::size_t n = 0; n < Subscribers; ++n) {
            m_subscriptions.push_back(ControlSubscription::make(
                m_io, control, rpcSettings("entry-" + std::to_string(n))));
            m_subscriptions.back()->subscribe(0, [this, n](const VersionedDeclaration &it) {
                const std::lock_guard lock(m_mutex);
                m_versions[n] = it.version;
                m_changed.notify_all();
            });
        }
        m_thread = std::jthread([this] { m_io.run(); });
    }
    ~SubscriberGroup()
    {
        for (const auto &subscription : m_subscriptions)
            subscription->stop();
    }

    bool waitForAll(std::uint64_t version)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(20), [&] {
            return std::ranges::all_of(m_versions, [&](auto it) { return it >= version; });
        });
    }

    [[nodiscard]] std::uint64_t calls() const
    {
        std::uint64_t sum = 0;
        for (const auto &subscription : m_subscriptions)
            sum += subscription->calls();
        return sum;
    }

private:
    boost::asio::io_context m_io;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::uint64_t> m_versions;
    std::vector<std::shared_ptr<ControlSubscription>> m_subscriptions;
    std::jthread m_thread;
};

double quantile(std::vector<double> values, double q)
{
    std::ranges::sort(values);
    return values.at(
        static_cast<std::size_t>(std::lround(q * static_cast<double>(values.size() - 1))));
}

/// The resource usage of a process, as reported by the kernel.
struct Usage
{
    double cpuSeconds = 0;
    double residentMb = 0;
};

Usage usageOf(pid_t pid)
{
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::vector<std::string> fields(std::istream_iterator<std::string>(rest), {});
    const auto ticks = std::stod(fields.at(11)) + std::stod(fields.at(12));
    const auto pages = std::stod(fields.at(21));
    return {ticks / static_cast<double>(::sysconf(_SC_CLK_TCK)),
            pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6};
}

struct Applier
{
    const ControlGroup &group;
    Address leader;
    std::uint64_t version = 0;
    int retries = 0;

    void apply(const std::string &text)
    {
        const auto result =
            callHttp(leader,
                     HttpRequest{"PUT",
                                 "/v1/declaration",
                                 {{"authorization", std::string("Bearer ") + OperatorToken},
                                  {"if-match", "\"" + std::to_string(version) + "\""},
                                  {"idempotency-key", "r" + std::to_string(version)}},
                                 text});
        const auto *response = std::get_if<HttpResponse>(&result);
        if (response == nullptr || response->status != 200) {
            // Leadership may change on a busy machine; the operator then retries the change.
            ++retries;
            REQUIRE(group.apply(version, "r" + std::to_string(version), text).status == 200);
            leader = group.operatorAddress(group.leader());
        }
        ++version;
    }
};

/// A declaration of about the size of the shipped examples.
std::string largeText(int number)
{
    return declarationText(number) + "# " + std::string(2'000, 'x') + "\n";
}

} // namespace

TEST_CASE("time until a change is in force on 8 subscribers", "[control]")
{
    const ControlGroup group(3);
    Applier applier{group, group.operatorAddress(group.leader())};
    SubscriberGroup subscribers(group.rpcAddresses());
    const SteadyClock clock;
    std::vector<double> accepted;
    std::vector<double> inForce;
    for (int n = 0; n < Changes; ++n) {
        const auto start = clock.now();
        applier.apply(largeText(n));
        accepted.push_back((clock.now() - start).count());
        REQUIRE(subscribers.waitForAll(applier.version));
        inForce.push_back((clock.now() - start).count());
    }
    std::cout << "control: " << Changes << " changes, accepted p50 " << quantile(accepted, 0.5)
              << " ms p99 " << quantile(accepted, 0.99) << " ms; in force on " << Subscribers
              << " p50 " << quantile(inForce, 0.5) << " ms p99 " << quantile(inForce, 0.99)
              << " ms max " << quantile(inForce, 1) << " ms; retries " << applier.retries << "\n";
}

TEST_CASE("resource usage of a control member at several rates of change", "[control]")
{
    // 0, 2,000 and 200,000 changes a day; the measurement window is long enough for some changes at
    // the middle rate.
    for (const double perDay : {0.0, 2'000.0, 200'000.0}) {
        const ControlGroup group(3);
        const auto leader = group.leader();
        Applier applier{group, group.operatorAddress(leader)};
        SubscriberGroup subscribers(group.rpcAddresses());
        applier.apply(largeText(0));
        REQUIRE(subscribers.waitForAll(1));
        std::map<std::string, Usage> before;
        std::map<std::string, std::uint64_t> sentBefore;
        const auto instances = group.instances();
        for (const auto &it : instances) {
            before[it] = usageOf(const_cast<ControlGroup &>(group).process(it).pid());
            sentBefore[it] = group.status(it)["sentBytes"];
        }
        const auto calls = subscribers.calls();
        constexpr double WindowMs = 20'000;
        const SteadyClock clock;
        const auto start = clock.now();
        int changes = 0;
        while (clock.now() - start < Milliseconds{WindowMs}) {
            if (perDay > 0 && (clock.now() - start).count() >= changes * 86'400'000.0 / perDay) {
                applier.apply(largeText(++changes));
            } else {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        }
        const double seconds = (clock.now() - start).count() / 1000;
        for (const auto &it : instances) {
            const auto after = usageOf(const_cast<ControlGroup &>(group).process(it).pid());
            const std::uint64_t sent = group.status(it)["sentBytes"];
            std::cout << "control: " << perDay << " changes/day, " << changes << " in " << seconds
                      << " s: " << (it == leader ? "leader " : "follower ")
                      << (after.cpuSeconds - before[it].cpuSeconds) / seconds * 100
                      << " % of a core, " << after.residentMb << " MB, "
                      << static_cast<double>(sent - sentBefore[it]) / seconds / 1024
                      << " KB/s sent\n";
        }
        std::cout << "control: " << perDay << " changes/day: "
                  << static_cast<double>(subscribers.calls() - calls) / seconds / Subscribers
                  << " subscribe calls/s for each entry\n";
    }
}

TEST_CASE("time without a leader after the leader is killed", "[control]")
{
    std::vector<double> gaps;
    const SteadyClock clock;
    ControlGroup group(3);
    std::uint64_t version = 0;
    for (int n = 0; n < 10; ++n) {
        REQUIRE(group.apply(version, "a" + std::to_string(version), declarationText(n)).status
                == 200);
        ++version;
        const auto leader = group.leader();
        group.kill(leader);
        const auto start = clock.now();
        REQUIRE(group.apply(version, "a" + std::to_string(version), declarationText(n + 100)).status
                == 200);
        ++version;
        gaps.push_back((clock.now() - start).count());
        group.start(leader);
        REQUIRE(waitUntil([&] { return group.status(leader).value("version", 0U) == version; }));
    }
    std::cout << "control: leader killed " << gaps.size() << " times, next change accepted after "
              << "p50 " << quantile(gaps, 0.5) << " ms max " << quantile(gaps, 1) << " ms\n";
}

TEST_CASE("cost of apply and snapshots by the size of the history", "[control]")
{
    const SteadyClock clock;
    ControlState state;
    std::uint64_t version = 0;
    for (const std::uint64_t size : {100U, 1'000U, 5'000U, 20'000U}) {
        for (; version < size; ++version)
            (void)state.apply(ApplyCommand{"r" + std::to_string(version),
                                           version,
                                           largeText(static_cast<int>(version)),
                                           {"north"},
                                           0});
        constexpr int Rounds = 200;
        const auto start = clock.now();
        for (int n = 0; n < Rounds; ++n, ++version)
            (void)state.apply(ApplyCommand{"r" + std::to_string(version),
                                           version,
                                           largeText(static_cast<int>(version)),
                                           {"north"},
                                           0});
        const auto applyTime = (clock.now() - start) / Rounds;
        const auto encodeStart = clock.now();
        const auto bytes = state.encode();
        const auto decodeStart = clock.now();
        REQUIRE(ControlState::decode(bytes).isOk());
        std::cout << "control: history of " << size << " changes: apply "
                  << applyTime.count() * 1000 << " us, snapshot "
                  << static_cast<double>(bytes.size()) / 1e6 << " MB, encode "
                  << (decodeStart - encodeStart).count() << " ms, decode "
                  << (clock.now() - decodeStart).count() << " ms\n";
    }
}

TEST_CASE("traffic and delay of a subscription compared with polling", "[control]")
{
    // Bytes of one message on the wire, with the frame header and without TCP and IP.
    const auto bytesOf = [](const auto &message) {
        return encodeMessage(message).size() + FrameHeaderBytes;
    };
    const auto request = bytesOf(SubscribeRequest{1, 1, 3'000});
    const auto emptyReply = bytesOf(SubscribeReply{});
    const auto update = bytesOf(SubscribeReply{{2, largeText(2)}, 1, {}, true});
    constexpr double ChangesPerSecond = 2'000.0 / 86'400;
    const auto print = [&](const char *name, double callsPerSecond, double delayMs) {
        std::cout << "control: " << name << ": " << 2 * callsPerSecond << " messages/s, "
                  << callsPerSecond * static_cast<double>(request + emptyReply)
                + ChangesPerSecond * static_cast<double>(update)
                  << " bytes/s for each entry, mean added delay " << delayMs << " ms\n";
    };
    print("subscription with a wait of 3 s", 1 / 3.0 + ChangesPerSecond, 0);
    for (const double periodMs : {100.0, 1'000.0})
        print(periodMs < 1'000 ? "polling every 100 ms" : "polling every 1 s", 1'000 / periodMs,
              periodMs / 2);
}
