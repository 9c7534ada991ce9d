/// @file Attempts to connect to peers that start a moment later, or that are far away.
#include "ConnectRetry.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace Camphor;

namespace {

/// When a starting process is connected to a peer that listens from the given time on. The opening
/// packet of an attempt that began earlier is lost.
std::optional<double> connectedAt(double listensAt, double roundTripMs)
{
    constexpr int MaxAttempts = 100;
    double now = 0;
    for (int failures = 0; failures < MaxAttempts; ++failures) {
        const auto attempt = connectAttempt({}, failures, true);
        if (now >= listensAt && roundTripMs < attempt.timeout.count())
            return now + roundTripMs;
        now += (attempt.timeout + attempt.retryDelay).count();
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("entries reach control instances soon after all machines lost power", "[watch][pattern]")
{
    // The load: all machines are back within half a second, in any order. Callers wait until their
    // entry has the configuration, which control instances send.
    constexpr int Spread = 500;
    double waitedMs = 0;
    for (int listensAt = 0; listensAt < Spread; ++listensAt)
        waitedMs += connectedAt(listensAt, 3).value() - listensAt;
    const ConnectRetrySettings settings;
    CHECK(waitedMs / Spread < (settings.startTimeout + settings.startRetryDelay).count());
}

TEST_CASE("a starting entry connects to a control instance in a distant region", "[watch]")
{
    CHECK(connectedAt(0, 250).has_value());
}

TEST_CASE("once a control instance has replied, the others are not asked more often", "[watch]")
{
    const ConnectRetrySettings settings;
    const auto attempt = connectAttempt(settings, 0, false);
    CHECK(attempt == ConnectAttempt{settings.timeout, settings.retryDelay});
}
