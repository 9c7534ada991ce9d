// Guards against keys whose home is not the domain that issued them or that owns their bucket.
#include "LedgerHome.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Camphor;

TEST_CASE("A ticket's home is the domain it names, any other key's home that of its bucket",
          "[ledger]")
{
    const auto map = BucketMap::spread({"south", "north", "east"});
    const Ticket ticket{"north-2", 1'700'000'000'000, "0af3"};
    REQUIRE(Ticket::parse(ticket.toString()) == ticket);
    CHECK(map.homeDomainOf(ticket.toString()) == "north-2");

    // Malformed or non-canonical tickets: a second spelling of a ticket must not become a second
    // key.
    for (const auto *key : {"t-", "t-north", "t--5-a", "t-north--a", "t-north-5-", "t-north-05-a",
                            "t-north-5-a!", "t-north-99999999999999999999-a", "x-north-5-a"}) {
        INFO(key);
        CHECK_FALSE(Ticket::parse(key));
    }

    std::map<std::string, int> count;
    for (int n = 0; n < 30'000; ++n)
        ++count[map.homeDomainOf("booking-" + std::to_string(n))];
    for (const auto *domain : {"east", "north", "south"})
        CHECK(count[domain] > 9'000);
    CHECK(map.moved(bucketOf("k"), "west").homeDomainOf("k") == "west");
    CHECK(BucketMap().homeDomainOf("k").empty());
}
