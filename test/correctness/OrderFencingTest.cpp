/// @file Which orders an instance must refuse because they were meant for an earlier incarnation.
#include "InstanceReports.h"
#include "RunScheduler.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

constexpr std::uint64_t Token = 7;

FleetConfiguration makeConfiguration()
{
    QueueRule rule;
    rule.name = "queue";
    rule.service = "service";
    rule.targetMs = 1'000;
    rule.maxAttempts = 3;
    return {1, {rule}};
}

FleetJob makeJob()
{
    JobStep step;
    step.demand = {14'000, 64, 0};
    step.estimatedMs = 900;
    return {"job", "queue", "payload", {step}};
}

/// A holder of one instance that has no other runs. Each hold is replied to at once.
class OneInstance
{
public:
    OneInstance()
    {
        scheduler.configure(std::make_shared<const FleetConfiguration>(makeConfiguration()));
        report(1'000);
    }

    void report(std::uint64_t startTimeMs, InstanceState state = InstanceState::Ready)
    {
        auto report = makeReport(startTimeMs);
        report.state = state;
        m_startTimeMs = startTimeMs;
        scheduler.setInstances({{"worker-1", report}}, {{"worker-1", Token}}, now);
    }

    /// Reads the lists, submits a job of one task, and returns the order to start it.
    StartOrder startJob()
    {
        run(10);
        (void)scheduler.submit(makeJob(), {}, now);
        scheduler.advance(now);
        const auto starts = scheduler.takeStarts();
        REQUIRE(starts.size() == 1);
        return starts.front();
    }

    /// Lets the scheduler act for some time, and returns the token of the last hold.
    std::uint64_t run(double ms)
    {
        std::uint64_t fencingToken = 0;
        for (const auto until = now + Milliseconds{ms}; now < until; now += Milliseconds{1}) {
            scheduler.advance(now);
            for (const auto &order : scheduler.takeHolds()) {
                fencingToken = order.target.fencingToken();
                const HoldReply reply{
                    OrderResult::Accepted, 50'000 + now.count(), m_startTimeMs, {}, {}};
                scheduler.onHoldReply(order, reply, now);
            }
        }
        return fencingToken;
    }

    RunScheduler scheduler{{}};
    Milliseconds now{0};

private:
    std::uint64_t m_startTimeMs = 0;
};

} // namespace

TEST_CASE("a restarted instance refuses the late orders of its earlier incarnation",
          "[leased][fencing]")
{
    // Guards against a start that had no reply and is carried out by a later incarnation, while the
    // task runs elsewhere: neither a stop nor a deadline binds the later one.
    const std::string_view sign = GENERATE("report", "list", "disconnection", "left and returned");
    CAPTURE(sign);
    OneInstance world;
    const auto start = world.startJob();
    world.scheduler.onStartReply(start, {}, world.now);
    world.scheduler.cancel("job", {}, world.now, world.now);
    if (sign == "report")
        world.report(2'000);
    if (sign == "disconnection")
        world.scheduler.onDisconnect("127.0.0.1:1");
    if (sign == "left and returned") {
        world.report(1'000, InstanceState::Gone);
        world.run(3'000);
        REQUIRE(world.scheduler.usableInstances(world.now) == 0);
        world.report(2'000);
    }
    if (sign == "list") {
        world.scheduler.advance(world.now);
        for (const auto &order : world.scheduler.takeHolds())
            world.scheduler.onHoldReply(order, {OrderResult::Accepted, 100, 2'000, {}, {}},
                                        world.now);
    }
    CHECK(world.run(50) > start.target.fencingToken());
}

TEST_CASE("a reply to an order of an earlier session says nothing about the present incarnation",
          "[leased][fencing]")
{
    // Guards against a holder that gives up a live instance, answers its jobs as unknown or takes
    // over a former clock, because a reply was overtaken by the sign of a restart.
    const auto result = GENERATE(OrderResult::Fenced, OrderResult::WrongInstance,
                                 OrderResult::NotSent, OrderResult::Unhealthy);
    CAPTURE(orderResultName(result));
    OneInstance world;
    const auto start = world.startJob();
    world.report(2'000);
    world.run(5);
    constexpr double FormerClockMs = 5'000'000;
    world.scheduler.onStartReply(start, {result, FormerClockMs, 0}, world.now);
    world.run(5);
    CHECK(world.scheduler.usableInstances(world.now) == 1);
    CHECK(world.scheduler.takeResults().empty());
    const auto again = world.scheduler.takeStarts();
    REQUIRE(again.size() == 1);
    CHECK(again.front().key.run > start.key.run);
    CHECK(again.front().leaseUntilMs < FormerClockMs);
}

TEST_CASE("the lists of a restarted instance are read at once", "[leased][fencing]")
{
    // Guards against a delay after missing replies that outlives the incarnation which missed them,
    // and leaves late orders to the later one meanwhile.
    OneInstance world;
    world.run(10);
    world.scheduler.onDisconnect("127.0.0.1:1");
    constexpr int MissedReplies = 6;
    for (int missed = 0; missed < MissedReplies; world.now += Milliseconds{1}) {
        world.scheduler.advance(world.now);
        for (const auto &order : world.scheduler.takeHolds()) {
            world.scheduler.onHoldReply(order, {}, world.now);
            ++missed;
        }
    }
    world.report(2'000);
    world.scheduler.advance(world.now);
    CHECK(world.scheduler.takeHolds().size() == 1);
}

TEST_CASE("a start that was decided before a sign of a restart is not sent", "[leased][fencing]")
{
    // Guards against a start that reaches an incarnation of which no list was read.
    OneInstance world;
    world.run(10);
    const auto job = makeJob();
    const RunOffer offer{
        {"job", 3}, "queue", "payload", 0, job.steps.front(), {{{"job.0.0.0", 1}, {}}}, true};
    REQUIRE(world.scheduler.startOffered(offer, "other", world.now).started.size() == 1);
    world.scheduler.onDisconnect("127.0.0.1:1");
    world.scheduler.advance(world.now);
    CHECK(world.scheduler.takeStarts().empty());
    const auto ends = world.scheduler.takeAcceptedEnds();
    REQUIRE(ends.size() == 1);
    CHECK(ends.front().outcome.end == RunEnd::Stopped);
}

TEST_CASE("an instance that is granted again after another holder had it is used again",
          "[leased][fencing]")
{
    // Guards against a live instance that stays given up because its holder was fenced off once.
    OneInstance world;
    world.scheduler.onStartReply(world.startJob(), {OrderResult::Fenced, std::nullopt, 0},
                                 world.now);
    world.run(5);
    REQUIRE(world.scheduler.usableInstances(world.now) == 0);
    world.scheduler.setInstances({{"worker-1", makeReport(1'000)}}, {{"worker-1", Token + 2}},
                                 world.now);
    world.run(5);
    CHECK(world.scheduler.usableInstances(world.now) == 1);
}

TEST_CASE("the orders of a later holder outrank every session of an earlier one", "[fencing]")
{
    OrderTarget earlier{{"worker-1", 1'000}, "127.0.0.1:1", 7, 1'000'000'000};
    OrderTarget later{{"worker-1", 1'000}, "127.0.0.1:1", 8, 0};
    CHECK(earlier.fencingToken() < later.fencingToken());
}
