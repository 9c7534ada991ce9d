#include "Dispatcher.h"
#include "FlowQueue.h"
#include "Membership.h"
#include "RunTimeEstimator.h"
#include "TargetRegistry.h"

#include <catch2/catch.hpp>

#include <random>

using namespace Camphor;

namespace {

constexpr auto DeclarationText = R"(
services:
  - name: a
    runTimeMs: 100
    maxTasksPerJob: 10
    maxQueueTimeMs: 1000
    dependsOn:
      - service: b
  - name: b
    runTimeMs: 100
teams:
  - name: limited
    quotaSlots: 3
)";

class DispatcherFixture
{
public:
    DispatcherFixture()
        : dispatcher({.instance = "e1", .domain = "d"},
                     Declaration::parse("test", DeclarationText).value(), Milliseconds{0})
    {
    }

    void announce(const std::string &id, const std::string &service, std::uint32_t slots,
                  std::vector<std::string> running = {}, double now = 0)
    {
        TargetAnnouncement target;
        target.id = id;
        target.services = {{service, slots}};
        target.running = std::move(running);
        apply(dispatcher.targetAnnounced(target, Milliseconds{now}));
    }

    TaskSpec task(const std::string &service, const std::string &team = "")
    {
        TaskSpec spec;
        spec.handle = ++m_last;
        spec.requestId = "r" + std::to_string(m_last);
        spec.service = service;
        spec.team = team;
        spec.deadline = Milliseconds{60'000};
        spec.isRepeatable = true;
        return spec;
    }

    void apply(const Actions &actions)
    {
        for (const auto &it : actions) {
            if (const auto *start = std::get_if<StartAttempt>(&it))
                starts.push_back(*start);
            if (const auto *forward = std::get_if<ForwardTask>(&it))
                forwards.push_back(*forward);
            if (const auto *pull = std::get_if<PullFromPeer>(&it))
                pulls.push_back(*pull);
            if (const auto *finish = std::get_if<FinishTask>(&it))
                finished.push_back(*finish);
        }
    }

    Digest peer(std::uint32_t free, std::uint32_t queued) const
    {
        Digest digest;
        digest.instance = "e2";
        digest.domain = "d";
        digest.pools = {{"default",
                         free,
                         8,
                         1,
                         queued,
                         queued * 100.0,
                         {{"a", free, 8, queued, 100}, {"b", free, 8, 0, 100}},
                         {}}};
        return digest;
    }

    Dispatcher dispatcher;
    std::vector<StartAttempt> starts;
    std::vector<ForwardTask> forwards;
    std::vector<PullFromPeer> pulls;
    std::vector<FinishTask> finished;

private:
    TaskHandle m_last = 0;
};

std::string rejectionReason(const DispatcherFixture &fixture, const std::string &service,
                            std::uint32_t tasks, double deadline)
{
    return fixture.dispatcher.admit(service, "", tasks, Milliseconds{deadline}, Milliseconds{0})
        .reason;
}

} // namespace

// Guards against queueing requests that can never run.
TEST_CASE("requests that can never run are rejected at once", "[admission]")
{
    DispatcherFixture fixture;
    CHECK(rejectionReason(fixture, "b", 1, 1000) == "no-target");
    fixture.announce("t1", "a", 4);
    CHECK(rejectionReason(fixture, "a", 1, 1000) == "dependency-unavailable: b");
    fixture.announce("t2", "b", 4);
    CHECK(rejectionReason(fixture, "a", 1, 1000).empty());
    CHECK(rejectionReason(fixture, "c", 1, 1000) == "unknown-service");
    CHECK(rejectionReason(fixture, "a", 11, 1000) == "too-many-tasks");
    CHECK(rejectionReason(fixture, "a", 1, 0) == "deadline-passed");
    CHECK(rejectionReason(fixture, "a", 0, 1000) == "no-tasks");
    for (int n = 0; n < 30; ++n) {
        const auto spec = fixture.task("b");
        fixture.apply(fixture.dispatcher.submit({spec}, Milliseconds{0}));
        fixture.apply(fixture.dispatcher.attemptFinished(
            spec.handle, {1, AttemptOutcome::Completed, Milliseconds{100}, {}, -1},
            Milliseconds{0}));
    }
    CHECK(rejectionReason(fixture, "b", 1, 20) == "deadline-below-run-time");
    (void)fixture.dispatcher.startDraining(Milliseconds{0});
    CHECK(rejectionReason(fixture, "b", 1, 1000) == "draining");
}

// Guards against a flood of requests of one team that fills the queue without limit, or that causes
// the requests of other teams to be rejected.
TEST_CASE("the queueing time of a flow is limited", "[admission]")
{
    DispatcherFixture fixture;
    fixture.announce("t2", "b", 4);
    fixture.announce("t1", "a", 4);
    int admitted = 0;
    const auto admit = [&](const std::string &team) {
        return fixture.dispatcher.admit("a", team, 1, Milliseconds{60'000}, Milliseconds{0});
    };
    while (admit("flood").isAdmitted && ++admitted < 1000)
        fixture.apply(fixture.dispatcher.submit({fixture.task("a", "flood")}, Milliseconds{0}));
    // Queued: one second of four slots at 100 ms per task. Running: four tasks.
    CHECK(admitted >= 40);
    CHECK(admitted <= 45);
    CHECK(admit("flood").reason == "queue-full");
    CHECK(admit("flood").retryAfter > Milliseconds{0});
    CHECK(admit("other").isAdmitted);
}

// Guards against a team that exceeds its quota when there are free slots.
TEST_CASE("a team stays within its quota", "[dispatch]")
{
    DispatcherFixture fixture;
    for (int n = 0; n < 8; ++n)
        fixture.announce("t" + std::to_string(n), "b", 1);
    for (int n = 0; n < 6; ++n)
        fixture.apply(fixture.dispatcher.submit({fixture.task("b", "limited")}, Milliseconds{0}));
    CHECK(fixture.starts.size() == 3);
    fixture.apply(fixture.dispatcher.attemptFinished(
        fixture.starts[0].handle, {1, AttemptOutcome::Completed, Milliseconds{100}, {}, -1},
        Milliseconds{100}));
    CHECK(fixture.starts.size() == 4);
}

// Guards against a new owner that sends tasks to slots which attempts of the previous owner still
// use.
TEST_CASE("running attempts of the previous owner occupy slots of the new owner", "[registry]")
{
    DispatcherFixture fixture;
    fixture.announce("t1", "b", 2, {"x.0.1", "y.0.1"});
    fixture.apply(
        fixture.dispatcher.submit({fixture.task("b"), fixture.task("b")}, Milliseconds{0}));
    CHECK(fixture.starts.empty());
    fixture.announce("t1", "b", 2, {"y.0.1"}, 1000);
    CHECK(fixture.starts.size() == 1);
    CHECK(fixture.dispatcher.stats().freeSlots == 0);
}

// Guards against reuse of a slot while the target may still be running its task.
TEST_CASE("an attempt with an unknown outcome occupies its slot until a heartbeat", "[registry]")
{
    DispatcherFixture fixture;
    fixture.announce("t1", "b", 1);
    auto spec = fixture.task("b");
    spec.isRepeatable = false;
    fixture.apply(fixture.dispatcher.submit({spec}, Milliseconds{0}));
    REQUIRE(fixture.starts.size() == 1);
    fixture.apply(fixture.dispatcher.attemptFinished(
        spec.handle, {1, AttemptOutcome::Unknown, {}, "connection-lost", -1}, Milliseconds{10}));
    fixture.apply(fixture.dispatcher.submit({fixture.task("b")}, Milliseconds{20}));
    CHECK(fixture.starts.size() == 1);
    fixture.announce("t1", "b", 1, {attemptId(spec.requestId, 0, 1)}, 1000);
    CHECK(fixture.starts.size() == 1);
    fixture.announce("t1", "b", 1, {}, 2000);
    // The failure made the target suspect; by now its pause has ended.
    fixture.apply(fixture.dispatcher.tick(Milliseconds{2010}));
    CHECK(fixture.starts.size() == 2);
}

// Guards against sending work to a target that left, sends no heartbeats, or is owned by another
// entry.
TEST_CASE("targets that left or send no heartbeats get no work", "[registry]")
{
    for (const auto *how : {"left", "released", "silent", "leaving"}) {
        CAPTURE(how);
        DispatcherFixture fixture;
        fixture.announce("t1", "b", 4);
        const std::string text = how;
        double now = 10;
        if (text == "left")
            fixture.apply(fixture.dispatcher.targetLeft("t1", Milliseconds{now}));
        if (text == "released")
            fixture.apply(fixture.dispatcher.targetReleased("t1", Milliseconds{now}));
        if (text == "leaving") {
            TargetAnnouncement target;
            target.id = "t1";
            target.services = {{"b", 4}};
            target.isLeaving = true;
            fixture.apply(fixture.dispatcher.targetAnnounced(target, Milliseconds{now}));
        }
        if (text == "silent")
            now = 3100;
        fixture.apply(fixture.dispatcher.tick(Milliseconds{now}));
        fixture.apply(fixture.dispatcher.submit({fixture.task("b")}, Milliseconds{now}));
        CHECK(fixture.starts.empty());
        fixture.announce("t1", "b", 4, {}, now + 10);
        CHECK(fixture.starts.size() == 1);
    }
}

// Guards against a duplicate of a forwarded message that starts the task a second time.
TEST_CASE("a forwarded attempt starts once and only with its own number", "[dispatch]")
{
    DispatcherFixture fixture;
    fixture.announce("t1", "b", 4);
    auto spec = fixture.task("b");
    spec.origin = "e2";
    spec.originIncarnation = 7;
    spec.attempt = 3;
    fixture.apply(fixture.dispatcher.submit({spec}, Milliseconds{0}));
    auto copy = spec;
    copy.handle = 99;
    fixture.apply(fixture.dispatcher.submit({copy}, Milliseconds{1}));
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts[0].attempt == 3);
    REQUIRE(fixture.finished.size() == 1);
    CHECK(fixture.finished[0].outcome == Outcome::Unknown);
    fixture.apply(fixture.dispatcher.attemptFinished(
        spec.handle, {3, AttemptOutcome::NotStarted, {}, "refused", -1}, Milliseconds{2}));
    CHECK(fixture.starts.size() == 1);
    REQUIRE(fixture.finished.size() == 2);
    CHECK(fixture.finished[1].outcome == Outcome::NotRun);
}

// Guards against tasks that stay queued while a peer has free slots, and against free slots that
// stay unused while a peer has queued tasks.
TEST_CASE("tasks are forwarded to peers with free slots, and entries with free slots pull",
          "[dispatch]")
{
    DispatcherFixture fixture;
    fixture.apply(fixture.dispatcher.submit({fixture.task("b")}, Milliseconds{0}));
    CHECK(fixture.forwards.empty());
    fixture.apply(fixture.dispatcher.peerDigest(fixture.peer(2, 0), Milliseconds{1}));
    CHECK(fixture.forwards.size() == 1);
    fixture.announce("t1", "b", 4, {}, 2);
    fixture.apply(fixture.dispatcher.peerDigest(fixture.peer(0, 5), Milliseconds{200}));
    REQUIRE(fixture.pulls.size() == 1);
    CHECK(fixture.pulls[0].peer == "e2");

    DispatcherFixture busy;
    busy.apply(busy.dispatcher.submit({busy.task("b"), busy.task("b")}, Milliseconds{0}));
    busy.apply(busy.dispatcher.peerDigest(busy.peer(0, 0), Milliseconds{1}));
    busy.apply(busy.dispatcher.forwardToPeer("e2", 1, Milliseconds{2}));
    REQUIRE(busy.forwards.size() == 1);
    CHECK(busy.forwards[0].reason == "pulled");
    // Draining forwards the remaining task.
    busy.apply(busy.dispatcher.startDraining(Milliseconds{3}));
    CHECK(busy.forwards.size() == 2);
}

// Guards against charges that are lost or counted twice, which would distort the shares
// permanently.
TEST_CASE("charges add up to the slot time that was used", "[queue]")
{
    constexpr std::uint64_t Seed = 4711;
    CAPTURE(Seed);
    std::mt19937_64 random(Seed);
    FlowQueue queue;
    std::vector<std::pair<QueueTicket, TaskHandle>> waiting;
    std::vector<double> used(6, 0);
    double queuedMs = 0;
    const auto flowOf = [](std::size_t n) {
        return FlowId{static_cast<std::uint32_t>(n / 2), static_cast<std::uint32_t>(n % 2)};
    };
    for (TaskHandle n = 1; n < 50'000; ++n) {
        const auto flow = random() % 6;
        const auto estimate = static_cast<double>(random() % 500);
        waiting.emplace_back(queue.push(flowOf(flow),
                                        {n, static_cast<Urgency>(random() % 3), random() % 2 == 0,
                                         Milliseconds{1}, estimate},
                                        random() % 8 == 0),
                             n);
        queuedMs += estimate;
        if (random() % 3 == 0) {
            const auto at = random() % waiting.size();
            REQUIRE(queue.task(waiting[at].first).handle == waiting[at].second);
            queuedMs -= queue.task(waiting[at].first).estimateMs;
            queue.remove(waiting[at].first);
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(at));
        } else if (random() % 2 == 0) {
            const auto next =
                queue.next([](std::uint32_t) { return true; }, [](FlowId) { return true; });
            REQUIRE(next.has_value());
            const auto id = queue.flowOf(*next);
            const auto task = queue.pop(*next, Milliseconds{1});
            std::erase_if(waiting, [&](const auto &it) { return it.second == task.handle; });
            queuedMs -= task.estimateMs;
            const auto actual = static_cast<double>(random() % 1000);
            queue.settle(id, task.estimateMs, actual);
            used[id.service * 2 + id.team] += actual;
        }
        REQUIRE(queue.size() == waiting.size());
    }
    CHECK(queue.queuedMs() == Approx(queuedMs));
    for (std::size_t n = 0; n < used.size(); ++n)
        CHECK(queue.chargedMs(flowOf(n)) == Approx(used[n]));
}

// Guards against deviations from the shares while all flows always have queued tasks.
TEST_CASE("flows get slots in proportion to their shares", "[queue]")
{
    FlowQueue queue;
    queue.setServiceShare(0, 3);
    queue.setServiceShare(1, 1);
    std::vector<int> popped(2, 0);
    std::vector<std::uint32_t> running;
    TaskHandle handle = 0;
    for (int n = 0; n < 8000; ++n) {
        for (std::uint32_t service = 0; service < 2; ++service)
            (void)queue.push({service, 0},
                             {++handle, Urgency::Normal, false, Milliseconds{1}, 100});
        const auto next =
            queue.next([](std::uint32_t) { return true; }, [](FlowId) { return true; });
        const auto id = queue.flowOf(*next);
        (void)queue.pop(*next, Milliseconds{1});
        queue.slotAcquired(id);
        running.push_back(id.service);
        ++popped[id.service];
        if (running.size() >= 40) {
            queue.slotReleased({running.front(), 0});
            running.erase(running.begin());
        }
    }
    CHECK(popped[0] == Approx(6000).epsilon(0.02));
}

// Guards against a wrong declared run time that keeps dominating the estimate.
TEST_CASE("samples outweigh a declared run time that is ten times too long", "[estimator]")
{
    RunTimeEstimator runTimes(Milliseconds{2000});
    CHECK(runTimes.median() >= Milliseconds{1800});
    for (int n = 0; n < 100; ++n)
        runTimes.add(Milliseconds{150.0 + n});
    CHECK(runTimes.median().count() == Approx(200).epsilon(0.1));
    CHECK(runTimes.p95() < Milliseconds{300});
    CHECK(runTimes.minimum().count() == Approx(150).epsilon(0.1));
}

// Guards against a dead peer that remains the owner of its targets, and against a delayed digest
// that makes a dead peer count as alive.
TEST_CASE("peers without digests become suspected, then dead, and alive with a new digest",
          "[membership]")
{
    Membership membership({"e1", "d", {{"e2", "d"}, {"e3", "x"}}}, Milliseconds{0});
    CHECK_FALSE(membership.isViewComplete(Milliseconds{100}));
    Digest digest;
    digest.instance = "e2";
    digest.domain = "d";
    digest.incarnation = 5;
    digest.sequence = 1;
    CHECK(membership.digestReceived(digest, Milliseconds{100}).size() == 1);
    CHECK(membership.isViewComplete(Milliseconds{100}));
    CHECK(membership.owners() == std::vector<std::string>{"e1", "e2"});
    CHECK(membership.tick(Milliseconds{2'000}).empty());
    REQUIRE(membership.tick(Milliseconds{2'200}).size() == 1);
    CHECK(membership.state("e2") == PeerState::Suspected);
    CHECK(membership.usablePeers("d").empty());
    CHECK(membership.owners().size() == 2);
    REQUIRE(membership.tick(Milliseconds{3'200}).size() == 1);
    CHECK(membership.state("e2") == PeerState::Dead);
    CHECK(membership.owners() == std::vector<std::string>{"e1"});
    // A digest with the same sequence or a lower incarnation is a delayed message and ignored.
    CHECK(membership.digestReceived(digest, Milliseconds{3'300}).empty());
    digest.incarnation = 4;
    digest.sequence = 9;
    CHECK(membership.digestReceived(digest, Milliseconds{3'300}).empty());
    CHECK(membership.state("e2") == PeerState::Dead);
    digest.incarnation = 6;
    digest.isDraining = true;
    const auto events = membership.digestReceived(digest, Milliseconds{3'400});
    REQUIRE(events.size() == 3);
    CHECK(events[0].kind == MembershipEvent::Kind::Restarted);
    CHECK(membership.usablePeers("d").empty());
    CHECK(membership.owners() == std::vector<std::string>{"e1"});
}
