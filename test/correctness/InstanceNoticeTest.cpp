/// @file What an instance's lists and reports show beside the runs of its holder, for the log.
#include "LeasedInstance.h"

#include <catch2/catch.hpp>

using namespace Camphor;

TEST_CASE("a run that is abandoned is reported once, with the first reason", "[leased][log]")
{
    // Guards against a run that goes on after its job has ended without a log line that shows when
    // and why it was to be stopped.
    InstanceReport report;
    report.key = {"worker-1", 1'000};
    report.capacity = {32'000, 1'000, 0};
    LeasedInstance instance(report, 7, {});
    const auto hold = instance.nextHold(Milliseconds{0});
    REQUIRE(hold);
    instance.onHoldReply(hold->serial, {OrderResult::Accepted, 50'000, 1'000, {}, {}},
                         Milliseconds{0});
    const RunKey key{"job.0.0.0", 1};
    (void)instance.start(key, "payload", {}, Milliseconds{60}, Milliseconds{10});
    instance.abandon(key, AbandonReason::Stalled, Milliseconds{50});
    instance.abandon(key, AbandonReason::Unwanted, Milliseconds{60});
    const InstanceNotice expected{InstanceNotice::Kind::Abandoned, key, 0, AbandonReason::Stalled,
                                  Milliseconds{40}};
    CHECK(instance.takeNotices() == std::vector{expected});
}

TEST_CASE("a run that its holder has not started, and a restart, are reported once",
          "[leased][log]")
{
    // Guards against a task that runs twice without a log line that shows why.
    InstanceReport report;
    report.key = {"worker-1", 1'000};
    LeasedInstance instance(report, 7, {});
    const RunKey unknown{"job.0.0.0", 3};
    for (double at = 0; at < 2; ++at) {
        const auto hold = instance.nextHold(Milliseconds{at});
        REQUIRE(hold);
        instance.onHoldReply(hold->serial,
                             {OrderResult::Accepted, 50'000 + at, 1'000, {{unknown, 10}}, {}},
                             Milliseconds{at});
    }
    using Kind = InstanceNotice::Kind;
    CHECK(instance.takeNotices() == std::vector{InstanceNotice{Kind::UnknownRun, unknown, 0}});
    report.key.startTimeMs = 2'000;
    instance.update(report, Milliseconds{3});
    instance.update(report, Milliseconds{4});
    CHECK(instance.takeNotices() == std::vector{InstanceNotice{Kind::Restarted, {}, 1}});
}
