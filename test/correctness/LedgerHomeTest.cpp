// Guards against keys that are homed in another domain than the one that issued or declared them.
#include "LedgerHome.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Camphor;

TEST_CASE("A ticket is homed in its domain and any other key by its bucket", "[ledger]")
{
    const auto map = BucketMap::spread({"south", "north", "east"});
    const Ticket ticket{"north-2", 1'700'000'000'000, "0af3"};
    REQUIRE(Ticket::parse(ticket.toString()) == ticket);
    CHECK(map.homeOf(ticket.toString()) == "north-2");

    // Each of these looks like a ticket, but a second spelling of one must not become a second key.
    for (const auto *key : {"t-", "t-north", "t--5-a", "t-north--a", "t-north-5-", "t-north-05-a",
                            "t-north-5-a!", "t-north-99999999999999999999-a", "x-north-5-a"}) {
        INFO(key);
        CHECK_FALSE(Ticket::parse(key));
    }

    std::map<std::string, int> count;
    for (int n = 0; n < 30'000; ++n)
        ++count[map.homeOf("booking-" + std::to_string(n))];
    for (const auto *domain : {"east", "north", "south"})
        CHECK(count[domain] > 9'000);
    CHECK(map.moved(bucketOf("k"), "west").homeOf("k") == "west");
    CHECK(BucketMap().homeOf("k").empty());
}
