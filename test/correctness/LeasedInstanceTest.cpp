/// @file What a holder can infer with certainty about the runs of one instance.
#include "LeasedInstance.h"
#include "InstanceReports.h"
#include "RunScheduler.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

constexpr double ClockMs = 50'000; ///< The instance's clock at the holder's time 0.

HoldReply listOf(Milliseconds now, std::vector<RunningRun> running, std::vector<EndedRun> ended)
{
    return {OrderResult::Accepted, ClockMs + now.count(), 0, std::move(running), std::move(ended)};
}

/// An instance with no runs, whose lists were read at time 0.
LeasedInstance makeSynced(const LeaseSettings &settings = {})
{
    LeasedInstance instance(makeReport(), 7, settings);
    const auto hold = instance.nextHold(Milliseconds{0});
    REQUIRE(hold);
    instance.onHoldReply(hold->serial, listOf(Milliseconds{0}, {}, {}), Milliseconds{0});
    return instance;
}

RunKey startAt(LeasedInstance &instance, const std::string &task, Milliseconds now)
{
    const RunKey key{task, 1};
    const auto order = instance.start(key, "payload", {14'000, 64, 0}, Milliseconds{60}, now);
    CHECK(order.target.token == 7);
    return key;
}

/// Lists the runs, as an instance does that has nothing else to say.
void listRuns(LeasedInstance &instance, std::vector<RunningRun> running, Milliseconds now)
{
    const auto hold = instance.nextHold(now);
    REQUIRE(hold);
    instance.onHoldReply(hold->serial, listOf(now, std::move(running), {}), now);
}

/// A list of the incarnation that started later, whose clock began at 0 at that time.
HoldReply laterListOf(Milliseconds sinceStart, std::vector<RunningRun> running)
{
    return {OrderResult::Accepted, sinceStart.count(), 2'000, std::move(running), {}};
}

OrderReply accepted(Milliseconds now) { return {OrderResult::Accepted, ClockMs + now.count(), 0}; }

} // namespace

TEST_CASE("an instance is usable only after its lists were read", "[leased]")
{
    LeasedInstance instance(makeReport(), 7, {});
    CHECK_FALSE(instance.isUsable(Milliseconds{0}));
    CHECK(makeSynced().isUsable(Milliseconds{1}));
}

TEST_CASE("a list made before a start arrived does not end the run", "[leased]")
{
    // Guards against two runs of one task: the hold overtakes the start on another connection, the
    // start is accepted, and then the reply to the hold arrives without the run.
    auto instance = makeSynced();
    const auto first = startAt(instance, "a.0.0.0", Milliseconds{10});
    const auto hold = instance.nextHold(Milliseconds{11});
    REQUIRE(hold);
    instance.onStartReply(first, accepted(Milliseconds{13}), Milliseconds{13});
    instance.onHoldReply(hold->serial, listOf(Milliseconds{12}, {}, {}), Milliseconds{14});
    CHECK(instance.takeResults().empty());
    CHECK(instance.runCount() == 1);
}

TEST_CASE("a run that was accepted before the list was requested has ended if it is missing",
          "[leased]")
{
    auto instance = makeSynced();
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{10});
    instance.onStartReply(key, accepted(Milliseconds{11}), Milliseconds{11});
    const auto hold = instance.nextHold(Milliseconds{12});
    REQUIRE(hold);
    instance.onHoldReply(hold->serial, listOf(Milliseconds{12}, {}, {}), Milliseconds{13});
    const auto results = instance.takeResults();
    REQUIRE(results.size() == 1);
    CHECK(results.front().end == RunEnd::LeaseExpired);
    CHECK(instance.freeCapacity() == makeReport().capacity);
}

TEST_CASE("a reply to an earlier hold is ignored", "[leased]")
{
    // Guards against a late list without runs that were started after it was made.
    auto instance = makeSynced();
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{10});
    const auto early = instance.nextHold(Milliseconds{10});
    REQUIRE(early);
    instance.onStartReply(key, accepted(Milliseconds{11}), Milliseconds{11});
    instance.invalidate();
    const auto late = instance.nextHold(Milliseconds{12});
    REQUIRE(late);
    instance.onHoldReply(early->serial, listOf(Milliseconds{10}, {}, {}), Milliseconds{13});
    CHECK(instance.runCount() == 1);
    instance.onHoldReply(late->serial, listOf(Milliseconds{12}, {{key, 10}}, {}), Milliseconds{14});
    CHECK(instance.runCount() == 1);
}

TEST_CASE("a start without a reply that was carried out goes on", "[leased]")
{
    // Guards against runs that are stopped and started again elsewhere because an answer was lost.
    const bool hasEnded = GENERATE(false, true);
    CAPTURE(hasEnded);
    auto instance = makeSynced();
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{10});
    REQUIRE(instance.nextHold(Milliseconds{10}));
    instance.onStartReply(key, {}, Milliseconds{110});
    CHECK(instance.nextStops(Milliseconds{110}).empty());
    const auto hold = instance.nextHold(Milliseconds{110});
    REQUIRE(hold); // It replaces the one in flight, and does not wait for an end.
    CHECK(hold->waitMs == 0);
    if (hasEnded)
        instance.onHoldReply(hold->serial, listOf(Milliseconds{111}, {}, {{1, key, RunEnd::Done}}),
                             Milliseconds{112});
    else
        instance.onHoldReply(hold->serial, listOf(Milliseconds{111}, {{key, 50}}, {}),
                             Milliseconds{112});
    CHECK(instance.nextStops(Milliseconds{112}).empty());
    CHECK(instance.isUsable(Milliseconds{112}));
    const auto results = instance.takeResults();
    CHECK(results.size() == (hasEnded ? 1 : 0));
    CHECK(instance.runCount() == (hasEnded ? 0 : 1));
}

TEST_CASE("a start without a reply that no list shows is stopped before it has ended", "[leased]")
{
    auto instance = makeSynced();
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{10});
    instance.onStartReply(key, {}, Milliseconds{110});
    const auto probe = instance.nextHold(Milliseconds{110});
    REQUIRE(probe);
    instance.onHoldReply(probe->serial, listOf(Milliseconds{111}, {}, {}), Milliseconds{112});
    const auto stops = instance.nextStops(Milliseconds{112});
    REQUIRE(stops.size() == 1);
    CHECK(stops.front().key == key);
    // A list made before the stop proves nothing: the start may still be carried out.
    const auto hold = instance.nextHold(Milliseconds{112});
    REQUIRE(hold);
    instance.onHoldReply(hold->serial, listOf(Milliseconds{113}, {}, {}), Milliseconds{114});
    CHECK(instance.runCount() == 1);
    instance.onStopReply(key, accepted(Milliseconds{115}), Milliseconds{115});
    const auto next = instance.nextHold(Milliseconds{116});
    REQUIRE(next);
    instance.onHoldReply(next->serial, listOf(Milliseconds{117}, {}, {}), Milliseconds{118});
    REQUIRE(instance.takeResults().size() == 1);
    CHECK(instance.runCount() == 0);
}

TEST_CASE("a stop's acknowledgement replaces the hold in flight", "[leased]")
{
    // Guards against waiting for the end of a long hold before a task can start elsewhere.
    auto instance = makeSynced();
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{10});
    instance.onStartReply(key, accepted(Milliseconds{11}), Milliseconds{11});
    REQUIRE(instance.nextHold(Milliseconds{11}));
    instance.abandon(key, AbandonReason::Unwanted, Milliseconds{50});
    REQUIRE(instance.nextStops(Milliseconds{50}).size() == 1);
    CHECK_FALSE(instance.nextHold(Milliseconds{51}));
    instance.onStopReply(key, accepted(Milliseconds{52}), Milliseconds{52});
    CHECK(instance.nextHold(Milliseconds{53}));
}

TEST_CASE("runs of an unreachable instance end only when its slow clock has passed the lease",
          "[leased]")
{
    const LeaseSettings settings;
    auto instance = makeSynced(settings);
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{0});
    instance.onStartReply(key, accepted(Milliseconds{1}), Milliseconds{1});
    listRuns(instance, {{key, 1}}, Milliseconds{1});
    const auto lease = settings.lease.count() + 1;
    instance.expireLeases(Milliseconds{lease + 2});
    CHECK(instance.runCount() == 1); // The instance's clock may be 2% slow.
    instance.expireLeases(Milliseconds{lease / (1.0 - settings.clockDrift) + 5});
    CHECK(instance.runCount() == 0);
    CHECK_FALSE(instance.isSynced());
}

TEST_CASE("runs of an earlier holder are stopped before anything is started", "[leased]")
{
    LeasedInstance instance(makeReport(), 7, {});
    const auto hold = instance.nextHold(Milliseconds{0});
    REQUIRE(hold);
    // The first hold must not extend the lease of other holders' runs.
    CHECK_FALSE(hold->leaseUntilMs);
    const RunKey foreign{"b.0.0.3", 2};
    instance.onHoldReply(hold->serial, listOf(Milliseconds{0}, {{foreign, 40}}, {}),
                         Milliseconds{1});
    CHECK_FALSE(instance.isUsable(Milliseconds{1}));
    const auto stops = instance.nextStops(Milliseconds{1});
    REQUIRE(stops.size() == 1);
    CHECK(stops.front().key == foreign);
    instance.onStopReply(foreign, accepted(Milliseconds{2}), Milliseconds{2});
    const auto next = instance.nextHold(Milliseconds{3});
    REQUIRE(next);
    instance.onHoldReply(next->serial, listOf(Milliseconds{4}, {}, {{1, foreign, RunEnd::Stopped}}),
                         Milliseconds{5});
    CHECK(instance.isUsable(Milliseconds{6}));
    CHECK(instance.takeResults().empty());
}

TEST_CASE("a later incarnation under the same id ends the listed runs of the earlier one",
          "[leased]")
{
    auto instance = makeSynced();
    const auto earlier = startAt(instance, "a.0.0.0", Milliseconds{10});
    instance.onStartReply(earlier, accepted(Milliseconds{11}), Milliseconds{11});
    listRuns(instance, {{earlier, 1}}, Milliseconds{11});
    const auto unconfirmed = startAt(instance, "a.0.0.1", Milliseconds{12});
    const auto confirmed = startAt(instance, "a.0.0.2", Milliseconds{12});
    // The new incarnation accepted the third start, and may have accepted the second.
    instance.onStartReply(confirmed, {OrderResult::Accepted, 5.0, 2'000}, Milliseconds{14});
    const auto results = instance.takeResults();
    REQUIRE(results.size() == 1);
    CHECK(results.front().key == earlier);
    CHECK(instance.runCount() == 2);
    CHECK(instance.report().key.startTimeMs == 2'000);
    CHECK_FALSE(instance.isUsable(Milliseconds{15}));
    instance.onStartReply(unconfirmed, {OrderResult::NoRoom, 6.0, 2'000}, Milliseconds{16});
    CHECK(instance.runCount() == 1);
}

TEST_CASE("a run that a later incarnation has started goes on", "[leased]")
{
    // Guards against tasks that run twice after an idle instance has restarted under its id: its
    // runs were taken for runs of the earlier incarnation, because replies to starts do not name
    // the incarnation.
    auto instance = makeSynced();
    const auto alive = startAt(instance, "a.0.0.0", Milliseconds{10});
    const auto lost = startAt(instance, "a.0.0.1", Milliseconds{10});
    const auto ofLaterClock = [](double ms) { return OrderReply{OrderResult::Accepted, ms, 0}; };
    instance.onStartReply(alive, ofLaterClock(3), Milliseconds{11});
    instance.onStartReply(lost, ofLaterClock(3), Milliseconds{11});
    const auto first = instance.nextHold(Milliseconds{11});
    REQUIRE(first);
    instance.onHoldReply(first->serial, laterListOf(Milliseconds{150}, {{alive, 20}}),
                         Milliseconds{160});
    CHECK(instance.report().key.startTimeMs == 2'000);
    CHECK(instance.takeResults().empty());
    CHECK_FALSE(instance.isUsable(Milliseconds{160}));
    const auto second = instance.nextHold(Milliseconds{161});
    REQUIRE(second);
    CHECK(second->ackedThrough == 0);
    instance.onHoldReply(second->serial, laterListOf(Milliseconds{152}, {{alive, 21}}),
                         Milliseconds{162});
    // The run that the list lacks has ended; the other one keeps its lease.
    const auto results = instance.takeResults();
    REQUIRE(results.size() == 1);
    CHECK(results.front().key == lost);
    instance.expireLeases(Milliseconds{163});
    CHECK(instance.runCount() == 1);
    CHECK(instance.isSynced());
}

TEST_CASE("the lease of a run that no list has shown may be that of a later incarnation",
          "[leased]")
{
    // Guards against tasks that run twice: an order whose deadline was computed for the clock of
    // the earlier incarnation is granted the longest lease by the later one.
    const LeaseSettings settings;
    const bool isReported = GENERATE(false, true);
    CAPTURE(isReported);
    auto instance = makeSynced(settings);
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{0});
    Milliseconds orderedAt{1};
    instance.onStartReply(key, {OrderResult::Accepted, 3.0, 0}, orderedAt);
    if (isReported) {
        auto report = makeReport();
        report.key.startTimeMs = 2'000;
        orderedAt = Milliseconds{50};
        instance.update(report, orderedAt);
    }
    const auto longest = settings.maxLease / (1.0 - settings.clockDrift);
    instance.expireLeases(orderedAt + longest - Milliseconds{1});
    CHECK(instance.runCount() == 1);
    instance.expireLeases(orderedAt + longest + Milliseconds{1});
    CHECK(instance.runCount() == 0);
}

TEST_CASE("a stop that an earlier incarnation has acknowledged does not bind the later one",
          "[leased]")
{
    // Guards against tasks that run twice: the order of an unanswered start may still reach the
    // instance, which has forgotten the stop.
    auto instance = makeSynced();
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{10});
    instance.onStartReply(key, {}, Milliseconds{110});
    listRuns(instance, {}, Milliseconds{111});
    REQUIRE(instance.nextStops(Milliseconds{112}).size() == 1);
    instance.onStopReply(key, accepted(Milliseconds{113}), Milliseconds{113});
    const auto hold = instance.nextHold(Milliseconds{114});
    REQUIRE(hold);
    instance.onHoldReply(hold->serial, laterListOf(Milliseconds{5}, {}), Milliseconds{115});
    listRuns(instance, {}, Milliseconds{116});
    CHECK(instance.runCount() == 1);
    CHECK(instance.nextStops(Milliseconds{117}).size() == 1);
}

TEST_CASE("a hold without news acknowledges no ends", "[leased]")
{
    // Guards against ends that are lost because an instance has restarted under its id, and numbers
    // its ends from 1 again.
    auto instance = makeSynced();
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{0});
    instance.onStartReply(key, accepted(Milliseconds{1}), Milliseconds{1});
    const auto hold = instance.nextHold(Milliseconds{1});
    REQUIRE(hold);
    instance.onHoldReply(hold->serial, listOf(Milliseconds{60}, {}, {{1, key, RunEnd::Done}}),
                         Milliseconds{61});
    const auto ack = instance.nextHold(Milliseconds{1'000});
    REQUIRE(ack);
    CHECK(ack->ackedThrough == 1);
    instance.onHoldReply(ack->serial, listOf(Milliseconds{1'000}, {}, {}), Milliseconds{1'001});
    (void)startAt(instance, "a.0.0.1", Milliseconds{1'002});
    const auto next = instance.nextHold(Milliseconds{1'003});
    REQUIRE(next);
    CHECK(next->ackedThrough == 0);
}

TEST_CASE("ends are acknowledged once, even without further runs", "[leased]")
{
    const LeaseSettings settings;
    auto instance = makeSynced(settings);
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{0});
    instance.onStartReply(key, accepted(Milliseconds{1}), Milliseconds{1});
    const auto hold = instance.nextHold(Milliseconds{1});
    REQUIRE(hold);
    instance.onHoldReply(hold->serial, listOf(Milliseconds{60}, {}, {{1, key, RunEnd::Done}}),
                         Milliseconds{61});
    CHECK_FALSE(instance.nextHold(Milliseconds{62}));
    const auto late = Milliseconds{62} + settings.idleAckDelay;
    const auto ack = instance.nextHold(late);
    REQUIRE(ack);
    CHECK(ack->ackedThrough == 1);
    instance.onHoldReply(ack->serial, listOf(late, {}, {}), late);
    CHECK_FALSE(instance.nextHold(late + Milliseconds{1'000}));
}

TEST_CASE("no orders are sent after another holder's higher token was seen", "[leased]")
{
    auto instance = makeSynced();
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{10});
    instance.onStartReply(key, {OrderResult::Fenced, std::nullopt, 0}, Milliseconds{11});
    CHECK(instance.isFenced());
    CHECK_FALSE(instance.nextHold(Milliseconds{12}));
    CHECK(instance.nextStops(Milliseconds{12}).empty());
    CHECK_FALSE(instance.isUsable(Milliseconds{12}));
}

TEST_CASE("only runs that two lists show without progress count as stalled", "[leased]")
{
    // Guards against stopping healthy runs because no list arrived for a while.
    auto instance = makeSynced();
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{0});
    instance.onStartReply(key, accepted(Milliseconds{1}), Milliseconds{1});
    const auto list = [&](double at, std::uint32_t percent) {
        const auto hold = instance.nextHold(Milliseconds{at});
        REQUIRE(hold);
        instance.onHoldReply(hold->serial, listOf(Milliseconds{at}, {{key, percent}}, {}),
                             Milliseconds{at});
    };
    list(10, 20);
    CHECK(instance.stalledRuns(Milliseconds{400}).empty());
    list(390, 25);
    CHECK(instance.stalledRuns(Milliseconds{400}).empty());
    list(800, 25);
    CHECK(instance.stalledRuns(Milliseconds{400}).size() == 1);
}

TEST_CASE("an instance whose present incarnation has not reported is not used", "[leased]")
{
    // Guards against tasks that start on an instance which has restarted with other labels.
    auto instance = makeSynced();
    instance.onDisconnect();
    CHECK_FALSE(instance.isUsable(Milliseconds{10}));
    const auto first = instance.nextHold(Milliseconds{10});
    REQUIRE(first);
    instance.onHoldReply(first->serial, laterListOf(Milliseconds{5}, {}), Milliseconds{11});
    const auto second = instance.nextHold(Milliseconds{12});
    REQUIRE(second);
    instance.onHoldReply(second->serial, laterListOf(Milliseconds{6}, {}), Milliseconds{13});
    CHECK(instance.isSynced());
    CHECK_FALSE(instance.isUsable(Milliseconds{13}));
    instance.update(makeReport(), Milliseconds{14}); // A late one of the earlier incarnation.
    CHECK_FALSE(instance.isUsable(Milliseconds{14}));
    auto report = makeReport();
    report.key.startTimeMs = 2'000;
    report.capacity = {8'000, 1'000, 0};
    instance.update(report, Milliseconds{15});
    CHECK(instance.isUsable(Milliseconds{15}));
    CHECK(instance.freeCapacity() == report.capacity);
}

TEST_CASE("after a disconnection an instance is used once its lists were read again", "[leased]")
{
    auto instance = makeSynced();
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{1});
    instance.onStartReply(key, accepted(Milliseconds{2}), Milliseconds{2});
    instance.onDisconnect();
    listRuns(instance, {{key, 10}}, Milliseconds{3});
    CHECK(instance.isUsable(Milliseconds{4}));
    CHECK(instance.runCount() == 1);
}

TEST_CASE("a start on an instance that was idle for long has a full lease", "[leased]")
{
    // Guards against starts that are refused as too late, because the clock may be slow and was not
    // read for long.
    const Milliseconds now{600'000};
    auto instance = makeSynced();
    const auto order = instance.start({"a.0.0.0", 1}, "payload", {}, Milliseconds{60}, now, false,
                                      now + SchedulerSettings().renewalTimeout);
    const auto leaseMs = static_cast<double>(order.leaseUntilMs) - ClockMs - now.count();
    CHECK(leaseMs == LeaseSettings().lease.count());
}

TEST_CASE("a lease that was renewed for other runs is known to outlast a time", "[leased]")
{
    // Guards against a run that starts under a lease which it does not allow.
    auto instance = makeSynced();
    CHECK_FALSE(instance.isLeasedBeyond(Milliseconds{10}));
    (void)startAt(instance, "a.0.0.0", Milliseconds{10});
    CHECK(instance.isLeasedBeyond(Milliseconds{700}));
    CHECK_FALSE(instance.isLeasedBeyond(Milliseconds{900}));
}

TEST_CASE("an instance that replies is not lost when its lease runs out", "[leased]")
{
    // Guards against tasks that are taken for the cause of a crash, because they ran beside a run
    // that could not be stopped.
    const bool replies = GENERATE(false, true);
    CAPTURE(replies);
    auto instance = makeSynced();
    const auto first = startAt(instance, "a.0.0.0", Milliseconds{10});
    const auto second = startAt(instance, "b.0.0.0", Milliseconds{10});
    listRuns(instance, {{first, 1}, {second, 1}}, Milliseconds{20});
    instance.abandon(first, AbandonReason::Unwanted, Milliseconds{30}, Milliseconds{30});
    for (const double at : {300.0, 600.0, 800.0}) {
        if (replies)
            listRuns(instance, {{first, 1}, {second, 1}}, Milliseconds{at});
    }
    constexpr Milliseconds AfterLease{850};
    instance.expireLeases(AfterLease);
    CHECK(instance.takeResults().size() == 2);
    CHECK(instance.takeLosses().empty() == replies);
}

TEST_CASE("an instance whose lease ran out during a hold has its lists read again", "[leased]")
{
    // Guards against a reachable instance that stays unused, because the hold in flight belongs to
    // the former session and its reply is ignored.
    auto instance = makeSynced();
    const auto key = startAt(instance, "a.0.0.0", Milliseconds{10});
    listRuns(instance, {{key, 1}}, Milliseconds{20});
    REQUIRE(instance.nextHold(Milliseconds{30}));
    constexpr Milliseconds AfterLease{900};
    instance.expireLeases(AfterLease);
    REQUIRE(instance.runCount() == 0);
    listRuns(instance, {}, AfterLease);
    CHECK(instance.isUsable(AfterLease));
}
