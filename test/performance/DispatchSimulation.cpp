#include "DispatchWorld.h"

#include <catch2/catch.hpp>

#include <array>
#include <iomanip>
#include <iostream>

using namespace Camphor;
using namespace Camphor::Test;

namespace {

constexpr auto DeclarationText = R"(
services:
  - name: quote
    repeatable: true
    runTimeMs: 200
  - name: check
    repeatable: true
    runTimeMs: 200
  - name: booking
    runTimeMs: 200
  - name: report
    runTimeMs: 200
)";

constexpr std::array<std::uint64_t, 3> Seeds{11, 12, 13};
/// Requests/s at full load: slots of the simulated fleet divided by the mean run time in seconds.
constexpr double FullRate = 400 / 0.2;
constexpr double MeasureFrom = 3000;
constexpr double MeasureTo = 13'000;

double percentile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    return sorted[std::min(sorted.size() - 1,
                           static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

struct Variant
{
    std::string name;
    DispatcherSettings settings;
};

std::vector<Variant> placementVariants()
{
    std::vector<Variant> variants{{"owner", {}},  {"no hedging", {}},  {"probe-two", {}},
                                  {"random", {}}, {"round-robin", {}}, {"fifo queue", {}}};
    variants[1].settings.isHedging = false;
    variants[2].settings.placement = PlacementKind::ProbeTwo;
    variants[3].settings.placement = PlacementKind::Random;
    variants[4].settings.placement = PlacementKind::RoundRobin;
    variants[5].settings.queue = QueueKind::Fifo;
    return variants;
}

WorldSettings makeSettings(const Variant &variant, std::uint64_t seed)
{
    WorldSettings settings;
    settings.seed = seed;
    settings.declaration = DeclarationText;
    settings.dispatcher = variant.settings;
    return settings;
}

void addNormalLoad(World &world, double load)
{
    const auto rate = FullRate * load;
    world.addFlow({"quote", "quote", "red", Urgency::Normal, rate * 0.5, 1, 1, 50, 350, 1500, 1000,
                   MeasureTo});
    world.addFlow({"check", "check", "blue", Urgency::Normal, rate * 0.2, 1, 1, 50, 350, 1500, 1000,
                   MeasureTo});
    world.addFlow({"booking", "booking", "red", Urgency::High, rate * 0.1, 1, 1, 50, 350, 1500,
                   1000, MeasureTo, false});
    // Jobs of 2 to 18 tasks, 10 on average.
    world.addFlow({"job", "quote", "green", Urgency::Normal, rate * 0.02, 2, 18, 50, 350, 1500,
                   1000, MeasureTo});
}

void printStretch(const std::string &name, double load, double stragglers,
                  const std::vector<double> &tasks, const std::vector<double> &jobs,
                  const World &world)
{
    const auto perTask = static_cast<double>(std::max<std::uint64_t>(world.starts, 1));
    std::cout << std::fixed << std::setprecision(3) << std::setw(14) << name << " load " << load
              << " stragglers " << stragglers << " | tasks p50 " << percentile(tasks, 0.5)
              << " p99 " << percentile(tasks, 0.99) << " p99.9 " << percentile(tasks, 0.999)
              << " max " << percentile(tasks, 1) << " | jobs p50 " << percentile(jobs, 0.5)
              << " p99 " << percentile(jobs, 0.99) << " | messages/task "
              << static_cast<double>(world.messages) / perTask << " wasted/task "
              << static_cast<double>(world.wasted) / perTask << "\n";
}

void runStretch(const Variant &variant, double load, double stragglers)
{
    std::vector<double> tasks;
    std::vector<double> jobs;
    std::unique_ptr<World> last;
    for (const auto seed : Seeds) {
        auto settings = makeSettings(variant, seed);
        settings.stragglerShare = stragglers;
        last = std::make_unique<World>(settings);
        addNormalLoad(*last, load);
        last->runUntil(MeasureTo + 10'000);
        for (int flow = 0; flow < 4; ++flow) {
            const auto values = last->stretches(flow, MeasureFrom, MeasureTo);
            auto &all = flow == 3 ? jobs : tasks;
            all.insert(all.end(), values.begin(), values.end());
        }
    }
    std::ranges::sort(tasks);
    std::ranges::sort(jobs);
    printStretch(variant.name, load, stragglers, tasks, jobs, *last);
}

/// Adds a flood of one kind of request at ten times the capacity of the fleet, from 6 s on.
void runFlood(const Variant &variant, Urgency urgency, const std::string &service,
              const std::string &team, double floodRunMs = 50)
{
    constexpr double FloodFrom = 6000;
    constexpr double FloodTo = 11'000;
    double minDeadlineMetRatio = 1e9;
    double minFirstSecondRatio = 1e9;
    double busy = 0;
    std::vector<double> stretch;
    for (const auto seed : Seeds) {
        World world(makeSettings(variant, seed));
        addNormalLoad(world, 0.5);
        world.busyFrom = FloodFrom + 500;
        world.busyTo = FloodTo;
        world.addFlow({"flood", service, team, urgency, FullRate * 500 / floodRunMs, 1, 1,
                       floodRunMs, floodRunMs * 7, 5000 + floodRunMs * 20, FloodFrom, FloodTo});
        world.runUntil(MeasureTo + 10'000);
        for (int flow = 0; flow < 4; ++flow) {
            const auto before = world.deadlineMetShare(flow, 2000, FloodFrom);
            minDeadlineMetRatio = std::min(
                minDeadlineMetRatio, world.deadlineMetShare(flow, FloodFrom, FloodTo) / before);
            minFirstSecondRatio =
                std::min(minFirstSecondRatio,
                         world.deadlineMetShare(flow, FloodFrom, FloodFrom + 1000) / before);
            const auto values = world.stretches(flow, FloodFrom, FloodTo);
            stretch.insert(stretch.end(), values.begin(), values.end());
        }
        busy += world.busyMs / (400 * (FloodTo - FloodFrom - 500)) / Seeds.size();
    }
    std::ranges::sort(stretch);
    std::cout << std::fixed << std::setprecision(3) << std::setw(14) << variant.name << " flood "
              << urgencyName(urgency) << " " << service << "/" << team << " run " << floodRunMs
              << " | kept " << minDeadlineMetRatio << " first second " << minFirstSecondRatio
              << " | others p50 " << percentile(stretch, 0.5) << " p99 "
              << percentile(stretch, 0.99) << " | fleet busy " << busy << "\n";
}

} // namespace

TEST_CASE("stretch by load and placement", "[dispatch][stretch]")
{
    for (const auto load : {0.7, 0.9})
        for (const auto stragglers : {0.0, 0.01})
            for (const auto &variant : placementVariants())
                runStretch(variant, load, stragglers);
}

TEST_CASE("requests of other flows completed in time during a flood", "[dispatch][flood]")
{
    auto variants = placementVariants();
    variants = {variants[0], variants[2], variants[5]};
    for (const auto &variant : variants)
        for (const auto urgency : {Urgency::Low, Urgency::High}) {
            runFlood(variant, urgency, "quote", "flooder");
            runFlood(variant, urgency, "check", "red");
        }
}

// The tasks of the flood run ten times longer than declared.
TEST_CASE("flood of tasks with a wrong declaration", "[dispatch][flood]")
{
    runFlood({"owner", {}}, Urgency::High, "report", "flooder", 500);
}

// Two urgencies in one flow, at a load at which tasks of the flow are always queued.
TEST_CASE("ageing within a flow", "[dispatch][order]")
{
    for (const auto step : {0.0, 500.0, 2000.0, 10000.0}) {
        std::array<std::vector<double>, 2> stretch;
        for (const auto seed : Seeds) {
            Variant variant{"", {}};
            variant.settings.urgencyStep = Milliseconds{step};
            World world(makeSettings(variant, seed));
            world.addFlow({"high", "quote", "red", Urgency::High, FullRate * 0.3, 1, 1, 50, 350,
                           10000, 1000, MeasureTo});
            world.addFlow({"normal", "quote", "red", Urgency::Normal, FullRate * 0.8, 1, 1, 50, 350,
                           10000, 1000, MeasureTo});
            world.runUntil(MeasureTo + 15'000);
            for (int flow = 0; flow < 2; ++flow) {
                const auto values = world.stretches(flow, MeasureFrom, MeasureTo);
                auto &all = stretch[static_cast<std::size_t>(flow)];
                all.insert(all.end(), values.begin(), values.end());
            }
        }
        std::cout << std::fixed << std::setprecision(3) << "urgency step " << step;
        for (auto &it : stretch) {
            std::ranges::sort(it);
            std::cout << " | p50 " << percentile(it, 0.5) << " p99 " << percentile(it, 0.99)
                      << " max " << percentile(it, 1);
        }
        std::cout << "\n";
    }
}

// Uses only repeatable requests, since no others are hedged.
TEST_CASE("hedging of stragglers", "[dispatch][hedging]")
{
    for (const auto load : {0.5, 0.7, 0.9})
        for (const auto isHedging : {false, true}) {
            std::vector<double> stretch;
            double hedges = 0;
            double starts = 0;
            for (const auto seed : Seeds) {
                Variant variant{"", {}};
                variant.settings.isHedging = isHedging;
                auto settings = makeSettings(variant, seed);
                settings.stragglerShare = 0.01;
                World world(settings);
                world.addFlow({"quote", "quote", "red", Urgency::Normal, FullRate * load / 1.09, 1,
                               1, 50, 350, 10000, 1000, MeasureTo});
                world.runUntil(MeasureTo + 15'000);
                const auto values = world.stretches(0, MeasureFrom, MeasureTo);
                stretch.insert(stretch.end(), values.begin(), values.end());
                for (int e = 0; e < 8; ++e)
                    hedges += static_cast<double>(world.entry(e).stats().hedges);
                starts += static_cast<double>(world.starts);
            }
            std::ranges::sort(stretch);
            std::cout << std::fixed << std::setprecision(3) << "hedging " << isHedging << " load "
                      << load << " | p50 " << percentile(stretch, 0.5) << " p99 "
                      << percentile(stretch, 0.99) << " p99.5 " << percentile(stretch, 0.995)
                      << " p99.9 " << percentile(stretch, 0.999) << " | extra starts "
                      << hedges / starts << "\n";
        }
}
