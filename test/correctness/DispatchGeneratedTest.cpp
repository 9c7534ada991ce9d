#include "DispatchWorld.h"

#include <catch2/catch.hpp>

#include <array>
#include <iostream>

using namespace Camphor;
using namespace Camphor::Test;

namespace {

constexpr auto DeclarationText = R"(
services:
  - name: quote
    runTimeMs: 20
    repeatable: true
  - name: booking
    runTimeMs: 500
    share: 2
)";

/// Adds target faults and cancellations at random times.
void addFaults(World &world, const WorldSettings &settings)
{
    auto &random = world.random();
    const std::array modes{TargetMode::FailsAll, TargetMode::RefusesAll, TargetMode::Unreachable};
    for (int n = 0; n < 60; ++n) {
        const auto at = static_cast<double>(random() % 8000);
        const auto target = static_cast<int>(random() % static_cast<unsigned>(settings.targets));
        const auto mode = modes[random() % modes.size()];
        world.at(at, [&world, target, mode] { world.setMode(target, mode); });
        world.at(at + static_cast<double>(random() % 3000),
                 [&world, target] { world.setMode(target, TargetMode::Healthy); });
    }
    for (int n = 0; n < 400; ++n)
        world.at(static_cast<double>(random() % 9000), [&world, settings] {
            if (world.requests.empty())
                return;
            const auto recent = std::min<std::size_t>(world.requests.size(), 50);
            const auto request = world.requests.size() - 1 - world.random()() % recent;
            for (int e = 0; e < settings.entries; ++e)
                world.perform(e,
                              world.entry(e).cancelRequest("r" + std::to_string(request),
                                                           Milliseconds{world.now()}));
        });
}

void changeOwners(World &world, const WorldSettings &settings)
{
    for (int n = 1; n < 8; ++n)
        world.at(n * 1100, [&world, settings, n] {
            std::vector<std::string> owners;
            for (int e = 0; e < settings.entries; ++e)
                if (e != n % settings.entries)
                    owners.push_back("entry-" + std::to_string(e));
            world.setOwners(owners);
        });
}

} // namespace

// Guards against event orders that start a task of a job twice, end a task twice or never, or
// report a task as NotRun that ran. DispatchWorld checks the invariants.
TEST_CASE("generated events preserve the dispatch invariants", "[dispatch]")
{
    constexpr std::uint64_t FirstSeed = 20'250'101;
    std::cout << "dispatch events: seeds " << FirstSeed << " to " << FirstSeed + 29 << "\n";
    for (auto seed = FirstSeed; seed < FirstSeed + 30; ++seed) {
        CAPTURE(seed);
        WorldSettings settings;
        settings.entries = 4;
        settings.targets = 12;
        settings.slots = 4;
        settings.seed = seed;
        settings.declaration = DeclarationText;
        settings.stragglerShare = 0.02;
        settings.lostReplyShare = 0.02;
        settings.lostForwardShare = seed % 2 == 0 ? 0.1 : 0;
        World world(settings);
        world.addFlow({"a", "quote", "red", Urgency::Normal, 150, 1, 1, 10, 200, 2000, 50, 9000});
        world.addFlow(
            {"b", "booking", "red", Urgency::High, 40, 1, 1, 10, 300, 3000, 50, 9000, false});
        world.addFlow({"c", "quote", "blue", Urgency::Low, 15, 2, 30, 5, 100, 2000, 50, 9000});
        auto failing = world.flows.front();
        failing.isAlwaysFailing = true;
        failing.requestsPerSecond = 5;
        world.addFlow(failing);
        addFaults(world, settings);
        changeOwners(world, settings);
        world.runUntil(40'000);
        // No task is left: each has ended, and each report has arrived.
        CHECK(world.openTasks() == 0);
        for (int e = 0; e < settings.entries; ++e) {
            const auto stats = world.entry(e).stats();
            CHECK(stats.queuedTasks == 0);
            CHECK(stats.runningTasks == 0);
            CHECK(stats.submitted == stats.finished);
        }
        for (const auto &it : world.requests)
            CHECK(it.end >= 0);
    }
}

// Guards against an owner that sends more tasks than its target has slots, while no owner changes.
TEST_CASE("slots in use never exceed the slots of a target", "[dispatch]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        WorldSettings settings;
        settings.entries = 3;
        settings.targets = 9;
        settings.slots = 4;
        settings.seed = seed;
        settings.declaration = DeclarationText;
        settings.lostReplyShare = 0.02;
        World world(settings);
        world.addFlow({"a", "quote", "red", Urgency::Normal, 600, 1, 4, 10, 200, 2000, 50, 5000});
        world.runUntil(10'000);
        CHECK_FALSE(world.isOversubscribed);
        CHECK(world.starts > 500);
    }
}
