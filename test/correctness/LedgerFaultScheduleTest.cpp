// Guards against double grants, lost claims, lost outcomes and false not-run results under
// generated faults: delay, loss, duplication, reordering, crash before and after a sync, disk loss,
// process pause, partition, and a replica set store that replies late or never.
#include "LedgerSimulation.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

constexpr std::uint64_t FirstSeed = 20'261'204;
constexpr std::uint64_t SeedCount = 40;

} // namespace

TEST_CASE("No fault schedule makes a ledger grant twice or lose a claim", "[ledger]")
{
    const auto disks =
        GENERATE(std::vector<bool>{true, true}, std::vector<bool>{true, true, true},
                 std::vector<bool>{true, false, false}, std::vector<bool>{false, false, false});
    int grants = 0;
    int setChanges = 0;
    for (std::uint64_t seed = FirstSeed; seed < FirstSeed + SeedCount; ++seed) {
        LedgerSimulation simulation(seed, disks, {});
        simulation.run(30'000, 20);
        grants += simulation.grants;
        setChanges += simulation.setChanges;
        INFO("replicas " << disks.size() << " disks " << std::ranges::count(disks, true) << " seed "
                         << seed);
        for (const auto &it : simulation.violations)
            FAIL_CHECK(it);
    }
    WARN("replicas " << disks.size() << " disks " << std::ranges::count(disks, true) << " seeds "
                     << FirstSeed << "+" << SeedCount << ": grants " << grants << " set changes "
                     << setChanges);
    CHECK(grants > 2'000);
    CHECK(setChanges > 100);
}
