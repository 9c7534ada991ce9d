/// @file When a request counts as unanswered, for fast and for delayed replies.
#include "ReplyTimeout.h"

#include <catch2/catch.hpp>

using namespace Camphor;

TEST_CASE("requests without a measured reply get the longest timeout", "[reply-timeout]")
{
    CHECK(ReplyTimeout({}).timeout() == ReplyTimeoutSettings{}.maxTimeout);
}

TEST_CASE("fast replies lead to a short timeout, delayed ones to a long one", "[reply-timeout]")
{
    // Guards against replies that count as lost because this process itself was busy.
    const ReplyTimeoutSettings settings;
    ReplyTimeout timeout(settings);
    for (int n = 0; n < 50; ++n)
        timeout.addReply(Milliseconds{2});
    CHECK(timeout.timeout() == settings.minTimeout);
    for (int n = 0; n < 50; ++n)
        timeout.addReply(Milliseconds{n % 2 == 0 ? 2.0 : 45.0});
    CHECK(timeout.timeout() > Milliseconds{45});
    for (int n = 0; n < 50; ++n)
        timeout.addReply(Milliseconds{500});
    CHECK(timeout.timeout() == settings.maxTimeout);
}
