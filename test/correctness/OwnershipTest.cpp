#include "Ownership.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Camphor;

// Guards against entries that disagree on the owner because their lists have another order.
TEST_CASE("the owner does not depend on the order of instances", "[ownership]")
{
    const auto one = Ownership::make({"a", "b", "c"});
    const auto two = Ownership::make({"c", "a", "b", "a"});
    for (int n = 0; n < 200; ++n)
        CHECK(one.owner("target-" + std::to_string(n)) == two.owner("target-" + std::to_string(n)));
    CHECK(Ownership::make({}).owner("x").empty());
}

// Guards against a lost entry that moves targets of the entries that stay.
TEST_CASE("a lost entry moves only its own targets", "[ownership]")
{
    const auto before = Ownership::make({"a", "b", "c", "d"});
    const auto after = Ownership::make({"a", "b", "d"});
    std::map<std::string, int> counts;
    for (int n = 0; n < 1000; ++n) {
        const auto id = "target-" + std::to_string(n);
        ++counts[before.owner(id)];
        if (before.owner(id) != "c")
            CHECK(before.owner(id) == after.owner(id));
    }
    for (const auto &[instance, count] : counts)
        CHECK(count > 150);
}
