/// @file Speeds of instances: how they are learned, and what they change for placement and health.
#include "InstanceSpeeds.h"
#include "FleetModel.h"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <random>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// A third of the fleet is slow, a third as declared and a third fast.
double thirdsFactor(std::size_t number)
{
    constexpr std::array Factors{1.0 / 0.6, 1.0, 1.0 / 1.6};
    return Factors.at(number % Factors.size());
}

double factorOf(const std::string &instance)
{
    return thirdsFactor(std::stoul(instance.substr(instance.find('-') + 1)));
}

std::string nameOf(std::size_t number) { return "worker-" + std::to_string(number); }

/// Steps whose declared time is off by 40%, and whose tasks differ by 15%.
class StepGenerator
{
public:
    std::vector<SpeedSample> next(std::size_t tasks, std::size_t instances)
    {
        const auto declaredError = std::exp(std::normal_distribution<>(0, 0.4)(m_random));
        std::vector<SpeedSample> samples;
        for (std::size_t n = 0; n < tasks; ++n) {
            const auto number =
                std::uniform_int_distribution<std::size_t>(0, instances - 1)(m_random);
            const auto spread = std::exp(std::normal_distribution<>(0, 0.15)(m_random));
            samples.push_back({nameOf(number), declaredError * spread * thirdsFactor(number)});
        }
        return samples;
    }

private:
    std::mt19937_64 m_random{7};
};

FleetConfiguration makeConfiguration() { return {1, {makeQueue("short"), makeQueue("long")}}; }

SchedulerSettings makeSettings(bool learns)
{
    SchedulerSettings settings;
    settings.learnsInstanceSpeeds = learns;
    return settings;
}

/// Lets the holder learn from jobs of many tasks.
void learn(FleetSimulation &world, RunScheduler &holder)
{
    for (int n = 0; n < 30; ++n) {
        holder.submit(makeJob("learn" + std::to_string(n), "short", 14, 60), {},
                      Milliseconds{world.now});
        world.run(world.now + 250);
    }
}

std::size_t runningAt(FleetSimulation &world, double slowness)
{
    std::size_t count = 0;
    for (const auto &[id, instance] : world.instances())
        count += factorOf(id) == slowness ? instance.running().size() : 0;
    return count;
}

} // namespace

TEST_CASE("speeds are learned although declared times are wrong", "[speeds]")
{
    // Guards against a job with a wrong declared time that changes the estimates of its instances.
    constexpr std::size_t Instances = 21;
    InstanceSpeeds speeds;
    StepGenerator steps;
    for (int n = 0; n < 400; ++n)
        speeds.addStep(steps.next(8, Instances), Milliseconds{n * 50.0});
    const auto reference = speeds.factor(nameOf(1));
    for (std::size_t n = 0; n < Instances; ++n) {
        CAPTURE(n);
        // The fleet's mean is not 1 here, so the factors are compared with each other.
        CHECK(speeds.factor(nameOf(n)) / reference == Approx(thirdsFactor(n)).epsilon(0.2));
    }
    CHECK(speeds.range().lowest < speeds.range().median);
    CHECK(speeds.range().median < speeds.range().highest);
}

TEST_CASE("an estimate from few runs is close to the fleet's speed", "[speeds]")
{
    // Guards against an instance that one disturbed run makes unattractive.
    InstanceSpeeds speeds;
    CHECK(speeds.factor("new") == 1.0);
    speeds.addStep({{"new", 3.0}}, Milliseconds{0});
    CHECK(speeds.factor("new") > 1.0);
    CHECK(speeds.factor("new") < 1.6);
    speeds.remove("new");
    CHECK(speeds.factor("new") == 1.0);
    speeds.addStep({{"new", 0.0}, {"new", -1.0}}, Milliseconds{0});
    CHECK(speeds.factor("new") == 1.0);
    CHECK(speeds.size() == 0);
}

TEST_CASE("a step on one instance only says little about it", "[speeds]")
{
    // Guards against a wrong declared time that is taken for a slow instance: all runs share it.
    InstanceSpeeds together;
    together.addStep({{"a", 1.6}, {"a", 1.6}, {"a", 1.6}}, Milliseconds{0});
    InstanceSpeeds compared;
    compared.addStep({{"a", 1.6}, {"b", 1.0}, {"c", 1.0}, {"d", 1.0}}, Milliseconds{0});
    CHECK(together.factor("a") < compared.factor("a"));
}

TEST_CASE("long tasks find fast instances while short ones are placed on slow ones",
          "[speeds][scheduler]")
{
    // The load: short urgent tasks with slack, and long tasks that are late on a slow instance, on
    // a fleet of which a third is slow, while more than half of it is taken.
    FleetSimulation world(9, {}, 1, makeSettings(true));
    world.slowness = factorOf;
    auto &holder = world.addHolder(1, makeConfiguration());
    world.run(20);
    learn(world, holder);
    REQUIRE(holder.speeds().factor(nameOf(0)) > 1.25 * holder.speeds().factor(nameOf(1)));
    REQUIRE(holder.speeds().factor(nameOf(1)) > 1.25 * holder.speeds().factor(nameOf(2)));

    // 21 tasks fit. The first long job takes fast instances, then room is scarce.
    world.runTime = [](const std::string &task) { return task.starts_with("long") ? 900.0 : 60.0; };
    holder.submit(makeJob("long1", "long", 6, 900), {}, Milliseconds{world.now});
    world.run(world.now + 5);
    CHECK(runningAt(world, thirdsFactor(0)) == 0);
    holder.submit(makeJob("long2", "long", 7, 900), {}, Milliseconds{world.now});
    world.run(world.now + 5);
    CHECK(runningAt(world, thirdsFactor(0)) == 0);
    // The short job could end sooner elsewhere, but ends in time on the slow third.
    holder.submit(makeJob("short1", "short", 3, 60), {}, Milliseconds{world.now});
    world.run(world.now + 5);
    CHECK(runningAt(world, thirdsFactor(0)) == 3);
    world.run(world.now + 2'000);
    for (const auto *job : {"long1", "long2", "short1"}) {
        REQUIRE(world.outcomes.contains(job));
        CHECK(world.outcomes.at(job).verdict == JobVerdict::Completed);
    }
}

TEST_CASE("an instance that is always slow stays in use", "[speeds][scheduler]")
{
    // Guards against probation of an instance that is slow by its nature; one that becomes slower
    // than it used to be still gets only trial runs.
    FleetSimulation world(9, {}, 1, makeSettings(true));
    world.slowness = [](const std::string &id) { return id == nameOf(0) ? 2.6 : 1.0; };
    auto &holder = world.addHolder(1, makeConfiguration());
    world.run(20);
    learn(world, holder);
    int jobs = 0;
    const auto runsOnSlowInstance = [&] {
        holder.submit(makeJob("full" + std::to_string(++jobs), "short", 21, 60), {},
                      Milliseconds{world.now});
        world.run(world.now + 5);
        const auto count = world.instances().at(nameOf(0)).running().size();
        world.run(world.now + 1'500);
        return count;
    };
    CHECK(runsOnSlowInstance() == 2);
    world.slowness = [](const std::string &id) { return id == nameOf(0) ? 20.0 : 1.0; };
    for (int n = 0; n < 4; ++n)
        (void)runsOnSlowInstance();
    CHECK(runsOnSlowInstance() < 2);
}

TEST_CASE("without the setting, no speed is learned", "[speeds][scheduler]")
{
    // Guards against a change of placement in deployments that have not asked for it.
    FleetSimulation world(9, {}, 1, makeSettings(false));
    world.slowness = factorOf;
    auto &holder = world.addHolder(1, makeConfiguration());
    world.run(20);
    learn(world, holder);
    CHECK(holder.speeds().size() == 0);
}
