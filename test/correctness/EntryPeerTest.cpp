#include "EntryFixture.h"
#include "PeerLink.h"
#include "PeerMessages.h"
#include "RpcClient.h"
#include "Wire.h"

#include <catch2/catch.hpp>

#include <future>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// A client that acts as one of the configured peer entries.
class FakePeer
{
public:
    FakePeer(const Address &entry, std::string instance, std::uint64_t incarnation)
        : m_work(boost::asio::make_work_guard(m_io))
        , m_thread([this] { m_io.run(); })
    {
        RpcSettings settings;
        settings.cluster = "test";
        settings.instance = std::move(instance);
        settings.incarnation = incarnation;
        m_client = RpcClient::make(m_io, entry, settings);
    }
    ~FakePeer()
    {
        m_client->stop();
        m_work.reset();
    }
    FakePeer(const FakePeer &) = delete;
    FakePeer &operator=(const FakePeer &) = delete;

    std::future<ForwardResult> place(const PlaceTask &task)
    {
        return send(MessageKind::PlaceTask, encodeMessage(task));
    }
    void cancel(const std::string &attempt)
    {
        (void)send(MessageKind::CancelTask, encodeMessage(CancelTask{attempt, {}})).get();
    }

private:
    std::future<ForwardResult> send(MessageKind kind, std::string payload)
    {
        auto promise = std::make_shared<std::promise<ForwardResult>>();
        m_client->call(kind, std::move(payload), Milliseconds{20'000}, [promise](RpcResult it) {
            promise->set_value(classifyPeerResult(std::move(it)));
        });
        return promise->get_future();
    }

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::shared_ptr<RpcClient> m_client;
    std::jthread m_thread;
};

PlaceTask makeTask(const std::string &requestId, double timeLeftMs = 10'000)
{
    PlaceTask task;
    task.requestId = requestId;
    task.service = "book";
    task.timeLeftMs = timeLeftMs;
    task.input = "crew";
    return task;
}

} // namespace

// Guards against a second start of an attempt that a peer has placed, and against a reply of
// NotStarted without proof.
TEST_CASE("an entry starts a placed attempt at most once", "[process]")
{
    EntryCluster cluster(2);
    // The second entry is killed, so that the test can act under its name.
    cluster.process(1).signal(SIGKILL);
    FakeTarget target("t1", {cluster.address(0)});
    REQUIRE(waitUntil([&] { return cluster.status(0).value("ownedTargets", 0) == 1; }));
    constexpr std::uint64_t Incarnation = 4'000'000'000'000;
    FakePeer peer(cluster.rpc(0), "entry-2", Incarnation);

    const auto first = peer.place(makeTask("r1")).get();
    CHECK(first.report.outcome == AttemptOutcome::Completed);
    CHECK(first.body == "crew");
    CHECK(peer.place(makeTask("r1")).get().report.outcome == AttemptOutcome::Unknown);

    peer.cancel("r2.0.1");
    CHECK(peer.place(makeTask("r2")).get().report.outcome != AttemptOutcome::Completed);
    CHECK(peer.place(makeTask("r3", -1)).get().report.outcome == AttemptOutcome::NotStarted);

    FakePeer oldIncarnation(cluster.rpc(0), "entry-2", Incarnation - 1);
    CHECK(oldIncarnation.place(makeTask("r4")).get().report.outcome == AttemptOutcome::NotStarted);
    FakePeer unknownPeer(cluster.rpc(0), "entry-9", Incarnation);
    CHECK(unknownPeer.place(makeTask("r5")).get().report.outcome == AttemptOutcome::NotStarted);

    CHECK(target.starts() == std::map<std::string, int>{{"r1.0", 1}});
}

// Guards against a cancelled attempt that still starts when a slot becomes free.
TEST_CASE("a placed attempt can be cancelled while it is queued", "[process]")
{
    EntryCluster cluster(2);
    cluster.process(1).signal(SIGKILL);
    FakeTarget target("t1", {cluster.address(0)}, 1);
    REQUIRE(waitUntil([&] { return cluster.status(0).value("ownedTargets", 0) == 1; }));
    FakePeer peer(cluster.rpc(0), "entry-2", 4'000'000'000'000);
    target.hold();
    auto running = peer.place(makeTask("r1"));
    REQUIRE(waitUntil([&] { return target.totalStarts() == 1; }));
    auto waiting = peer.place(makeTask("r2"));
    REQUIRE(waitUntil(
        [&] { return cluster.status(0)["pools"]["default"].value("queuedTasks", 0) == 1; }));
    peer.cancel("r2.0.1");
    CHECK(waiting.get().report.outcome == AttemptOutcome::NotStarted);
    target.release();
    CHECK(running.get().report.outcome == AttemptOutcome::Completed);
    CHECK(target.totalStarts() == 1);
}

// Guards against a second placement of a task that may have started at a peer, and against a lost
// retry of a task that was certainly not sent.
TEST_CASE("only a reply of the peer or an unsent frame proves that nothing started", "[peers]")
{
    const auto outcomeOfReply = [](RpcResult result) {
        return classifyPeerResult(std::move(result)).report.outcome;
    };
    const Error connectionLost{ErrorCode::ConnectionLost, "lost"};
    CHECK(outcomeOfReply(RpcFailure{connectionLost, false}) == AttemptOutcome::NotStarted);
    CHECK(outcomeOfReply(RpcFailure{connectionLost, true}) == AttemptOutcome::Unknown);
    CHECK(outcomeOfReply(std::string("garbage")) == AttemptOutcome::Unknown);
    TaskOutcome message;
    message.outcome = 3;
    CHECK(outcomeOfReply(encodeMessage(message)) == AttemptOutcome::NotStarted);
    message.outcome = 4;
    CHECK(outcomeOfReply(encodeMessage(message)) == AttemptOutcome::Unknown);
}

// Guards against targets without an owner, or with two owners, after an entry is killed.
TEST_CASE("the targets of a killed entry get a new owner and no task starts twice", "[process]")
{
    constexpr int Targets = 6;
    EntryCluster cluster(3);
    std::vector<std::unique_ptr<FakeTarget>> targets;
    targets.reserve(Targets);
    for (int n = 0; n < Targets; ++n)
        targets.push_back(
            std::make_unique<FakeTarget>("t" + std::to_string(n), cluster.addresses()));
    REQUIRE(cluster.waitForTargets(Targets));
    const auto ownedBy = [&](int n) { return cluster.status(n).value("ownedTargets", 0); };
    std::atomic<bool> isStopping{false};
    std::atomic<int> completed{0};
    std::vector<std::jthread> callers;
    callers.reserve(3);
    for (int n = 0; n < 3; ++n) {
        callers.emplace_back([&, n] {
            while (!isStopping) {
                const auto response = responseOf(
                    cluster.address(n % 2),
                    makeRequest("POST", "/v1/requests/book", "crew " + std::to_string(n)));
                if (response.status == 200) {
                    if (response.body == "crew " + std::to_string(n))
                        ++completed;
                }
            }
        });
    }
    CHECK(waitUntil([&] { return completed > 50; }));
    cluster.process(2).signal(SIGKILL);
    CHECK(waitUntil([&] { return ownedBy(0) + ownedBy(1) == Targets; }));
    const int completedBefore = completed;
    CHECK(waitUntil([&] { return completed > completedBefore + 50; }));
    isStopping = true;
    callers.clear();
    for (const auto &target : targets) {
        for (const auto &[task, count] : target->starts())
            CHECK(count == 1);
    }
}
