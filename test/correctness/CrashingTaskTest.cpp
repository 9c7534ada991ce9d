/// @file Tasks that crash each instance that starts them, and the tasks beside them.
#include "FleetModel.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// A task may be started on this many instances that crash under it.
constexpr int MaxCrashesOfTask = 3;

FleetConfiguration makeConfiguration()
{
    auto rule = makeQueue("queue");
    rule.maxAttempts = 4;
    return {1, {rule}};
}

/// The first task of each job whose name begins so crashes its instances.
bool isDeadly(const std::string &task)
{
    return task.starts_with("deadly") && task.ends_with(".0");
}

} // namespace

TEST_CASE("a task that crashes its instances is given up after a few of them", "[crash]")
{
    // Guards against one task that takes down instance after instance (BUDGET).
    const auto offersRuns = GENERATE(false, true);
    CAPTURE(offersRuns);
    FleetSimulation world(16, {}, 1);
    world.offersRuns = offersRuns;
    world.crashes = isDeadly;
    world.runTime = [](const std::string &) { return 900; };
    auto &first = world.addHolder(1, makeConfiguration(), 0, 8);
    (void)world.addHolder(1, makeConfiguration(), 8, 8);
    world.run(50);
    first.submit(makeJob("deadly", 6), {}, Milliseconds{world.now});
    world.run(20'000);
    REQUIRE(world.outcomes.contains("deadly"));
    CHECK(world.outcomes.at("deadly").verdict == JobVerdict::Unknown);
    CHECK(world.outcomes.at("deadly").reason == "task-crashes-instances");
    CHECK(world.crashCount <= MaxCrashesOfTask);
    CHECK(world.doubleRuns == 0);
}

TEST_CASE("tasks that ran beside a task that crashes its instances are completed", "[crash]")
{
    // Guards against jobs that are given up because their tasks shared instances with such a task.
    const auto seed = GENERATE(range(1, 9));
    CAPTURE(seed);
    FleetSimulation world(24, {}, static_cast<std::uint64_t>(seed));
    world.crashes = isDeadly;
    world.runTime = [](const std::string &) { return 300; };
    auto &holder = world.addHolder(1, makeConfiguration());
    world.run(50);
    int serial = 0;
    while (world.now < 6'000) {
        const auto number = std::to_string(++serial);
        const bool isDeadlyJob = serial % 20 == 0;
        holder.submit(makeJob((isDeadlyJob ? "deadly" : "harmless") + number, 3), {},
                      Milliseconds{world.now});
        world.run(world.now + 60);
    }
    world.run(20'000);
    const auto wasGivenUp = [](const auto &it) {
        return it.first.starts_with("harmless")
            && (it.second.verdict == JobVerdict::Failed
                || it.second.verdict == JobVerdict::Unknown);
    };
    CHECK(std::ranges::count_if(world.outcomes, wasGivenUp) == 0);
    CHECK(world.crashCount > 0);
    CHECK(world.crashCount <= MaxCrashesOfTask * serial / 20);
}

TEST_CASE("what a crash teaches outlives the holder and a resent job", "[crash]")
{
    // Guards against a count that begins anew when a caller sends the job again elsewhere (BUDGET).
    FleetSimulation world(16, {}, 1);
    world.crashes = isDeadly;
    auto &first = world.addHolder(1, makeConfiguration(), 0, 8);
    auto &second = world.addHolder(1, makeConfiguration(), 8, 8);
    world.run(50);
    first.submit(makeJob("deadly", 1), {}, Milliseconds{world.now});
    world.run(10'000);
    REQUIRE(world.outcomes.erase("deadly") == 1);
    const auto crashesBefore = world.crashCount;
    second.addLosses(first.takeLosses(), Milliseconds{world.now});
    second.submit(makeJob("deadly", 1), {}, Milliseconds{world.now});
    world.run(20'000);
    REQUIRE(world.outcomes.contains("deadly"));
    CHECK(world.outcomes.at("deadly").reason == "task-crashes-instances");
    CHECK(world.crashCount == crashesBefore);
}

TEST_CASE("a loss that another process reports ends the job of a task that is at fault", "[crash]")
{
    FleetSimulation world(8, {}, 1);
    world.runTime = [](const std::string &) { return 5'000; };
    auto &holder = world.addHolder(1, makeConfiguration());
    world.run(50);
    holder.submit(makeJob("job", 1), {}, Milliseconds{world.now});
    world.run(100);
    holder.addLosses({{{"other-1", 1'000}, {"job.0.0.0"}}}, Milliseconds{world.now});
    world.run(150);
    CHECK_FALSE(world.outcomes.contains("job"));
    holder.addLosses({{{"other-2", 1'000}, {"job.0.0.0"}}}, Milliseconds{world.now});
    world.run(300);
    REQUIRE(world.outcomes.contains("job"));
    // A loss may have been a cut, so the task has not failed for certain.
    CHECK(world.outcomes.at("job").verdict == JobVerdict::Unknown);
}

TEST_CASE("a task at fault is not started for another holder", "[crash]")
{
    // Guards against one more crash while the holder of the job has not heard of the others.
    FleetSimulation world(4, {}, 1);
    auto &holder = world.addHolder(1, makeConfiguration());
    world.run(50);
    holder.addLosses({{{"other-1", 1'000}, {"job.0.0.0"}}, {{"other-2", 1'000}, {"job.0.0.0"}}},
                     Milliseconds{world.now});
    const auto job = makeJob("job", 1);
    const RunOffer offer{
        {"job", 3}, "queue", "payload", 0, job.steps.front(), {{{"job.0.0.0", 3}, {}}}, true};
    CHECK(holder.startOffered(offer, "other", Milliseconds{world.now}).started.empty());
}

TEST_CASE("a task is not suspected for a planned leave or a pause of its holder", "[crash]")
{
    // Guards against jobs that are given up because their instances were replaced in turn.
    const bool isPause = GENERATE(false, true);
    CAPTURE(isPause);
    FleetSimulation world(2, {}, 1);
    world.runTime = [](const std::string &) { return 3'000; };
    auto &holder = world.addHolder(1, makeConfiguration());
    world.run(50);
    holder.submit(makeJob("job", 1), {}, Milliseconds{world.now});
    world.run(100);
    if (isPause) {
        world.paused.insert(&holder);
        world.run(2'500);
        world.paused.clear();
    } else {
        auto instances = world.known();
        std::map<std::string, std::uint64_t> tokens;
        for (auto &[id, report] : instances) {
            report.state = InstanceState::Draining;
            ++report.sequence;
            tokens[id] = 1;
        }
        holder.setInstances(instances, tokens, Milliseconds{world.now});
        for (const auto &[id, report] : instances)
            world.restartInstance(id);
    }
    world.run(world.now + 2'000);
    CHECK(holder.takeLosses().empty());
}

TEST_CASE("a run that a smaller capacity has no room for is not started", "[scheduler]")
{
    // Guards against starts beyond the capacity of an instance that does not guard it (LIMIT).
    FleetSimulation world(1, {}, 1);
    world.runTime = [](const std::string &) { return 900; };
    auto &holder = world.addHolder(1, makeConfiguration());
    world.run(50);
    holder.submit(makeJob("first", 1), {}, Milliseconds{world.now});
    world.run(100);
    auto instances = world.known();
    auto &report = instances.begin()->second;
    const auto whole = report.capacity;
    report.capacity.cpuMillicores = 20'000;
    ++report.sequence;
    holder.setInstances(instances, {{"worker-0", 1}}, Milliseconds{world.now});
    holder.submit(makeJob("second", 1), {}, Milliseconds{world.now});
    world.run(300);
    CHECK(world.instances().begin()->second.running().size() == 1);
    report.capacity = whole;
    ++report.sequence;
    holder.setInstances(instances, {{"worker-0", 1}}, Milliseconds{world.now});
    world.run(350);
    CHECK(world.instances().begin()->second.running().size() == 2);
}
