#include "Frame.h"
#include "Time.h"
#include "Wire.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace Camphor;

TEST_CASE("cost of encoding and decoding a message", "[wire]")
{
    constexpr int Rounds = 200'000;
    const Hello hello{WireVersion, "shop", "entry-1", 7};
    const SteadyClock clock;
    const auto start = clock.now();
    for (int n = 0; n < Rounds; ++n)
        REQUIRE(decodeMessage<Hello>(encodeMessage(hello)).isOk());
    std::cout << "wire round trip: " << (clock.now() - start).count() * 1000.0 / Rounds << " us\n";
}
