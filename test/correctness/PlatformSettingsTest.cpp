/// @file Timeouts derived from the settings of an entry.
#include "PlatformSettings.h"
#include "TestProcess.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

TEST_CASE("all runs of a submission end before its caller resends it", "[platform][settings]")
{
    // Guards against fixed timeouts when callers resend sooner.
    const auto resendMs = GENERATE(600.0, 1'300.0, 5'000.0);
    const auto longestLeaseMs = GENERATE(400.0, 1'000.0, 10'000.0);
    CAPTURE(resendMs, longestLeaseMs);
    TemporaryFolder folder;
    const auto path = folder.write("entry.yaml",
                                   "instance: a\ndomain: north\nrpcListen: \"127.0.0.1:1\"\n"
                                   "metricsListen: \"127.0.0.1:2\"\nseeds: []\n"
                                   "callerListen: \"127.0.0.1:3\"\n"
                                   "readinessListen: \"127.0.0.1:4\"\nlongestLeaseMs: "
                                       + std::to_string(longestLeaseMs)
                                       + "\nresendAfterMs: " + std::to_string(resendMs) + "\n");
    const auto entry = Platform::loadEntrySettings(path).entry();
    const auto &scheduler = entry.scheduler;
    const double slowClock = 1.0 + scheduler.lease.clockDrift;
    CHECK(scheduler.lease.lease.count() < longestLeaseMs);
    CHECK(scheduler.lease.lease.count() * slowClock < resendMs);
    CHECK(scheduler.lease.maxLease.count() == longestLeaseMs);
    // What a requester sent before it gave up may be read this much later.
    CHECK(scheduler.requesterTimeout.count() + entry.maxRequestAge.count() < resendMs);
    // It may be the last contact after which a holder renews leases, however late the runs are
    // stopped.
    CHECK(scheduler.renewalTimeout.count() + entry.maxRequestAge.count() < resendMs);
    CHECK(scheduler.lease.lease.count() * slowClock + entry.maxRequestAge.count() < resendMs);
    CHECK(scheduler.requesterTimeout < scheduler.renewalTimeout);
    // A requester must treat its holder as lost first: it must not wait for a job that the holder
    // has stopped.
    CHECK(entry.link.contactTimeout < scheduler.requesterTimeout);
}
