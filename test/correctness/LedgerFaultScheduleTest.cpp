// Guards against double grants, lost claims, lost outcomes and false not-run under generated
// faults: delay, loss, duplication, reordering, crash before and after a sync, lost disk, paused
// process, partition, and a replica set store that answers late or never.
#include "LedgerSimulation.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

constexpr std::uint64_t FirstSeed = 20'261'204;
constexpr std::uint64_t Runs = 40;

} // namespace

TEST_CASE("No schedule of faults makes a ledger grant twice or forget", "[ledger]")
{
    const auto disks =
        GENERATE(std::vector<bool>{true, true}, std::vector<bool>{true, true, true},
                 std::vector<bool>{true, false, false}, std::vector<bool>{false, false, false});
    int grants = 0;
    int changes = 0;
    for (std::uint64_t seed = FirstSeed; seed < FirstSeed + Runs; ++seed) {
        LedgerSimulation simulation(seed, disks, {});
        simulation.run(30'000, 20);
        grants += simulation.grants;
        changes += simulation.changes;
        INFO("replicas " << disks.size() << " disks " << std::ranges::count(disks, true) << " seed "
                         << seed);
        for (const auto &it : simulation.violations)
            FAIL_CHECK(it);
    }
    WARN("replicas " << disks.size() << " disks " << std::ranges::count(disks, true) << " seeds "
                     << FirstSeed << "+" << Runs << ": grants " << grants << " set changes "
                     << changes);
    CHECK(grants > 2'000);
    CHECK(changes > 100);
}
