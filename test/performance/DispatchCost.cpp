#include "Dispatcher.h"
#include "FlowQueue.h"
#include "Time.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <random>

using namespace Camphor;

namespace {

constexpr auto DeclarationText = R"(
services:
  - name: a
    repeatable: true
  - name: b
  - name: c
  - name: d
)";

/// A measured time for one problem size.
struct Point
{
    double size;
    double us;
};

/// Prints the points and the exponent of a power law fitted to them: 0 is constant, 1 is linear.
void printSlope(const std::string &name, const std::vector<Point> &points)
{
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    std::cout << std::fixed << std::setprecision(3) << name;
    for (const auto &it : points) {
        const auto x = std::log(it.size);
        const auto y = std::log(it.us);
        sumX += x;
        sumY += y;
        sumXX += x * x;
        sumXY += x * y;
        std::cout << " | " << static_cast<int>(it.size) << ": " << it.us << " us";
    }
    const auto n = static_cast<double>(points.size());
    std::cout << " | slope " << (n * sumXY - sumX * sumY) / (n * sumXX - sumX * sumX) << "\n";
}

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

std::unique_ptr<Dispatcher> makeDispatcher(int targets)
{
    DispatcherSettings settings;
    settings.instance = "e";
    settings.domain = "d";
    settings.maxQueuedTasks = 1'000'000;
    auto dispatcher = std::make_unique<Dispatcher>(
        settings, Declaration::parse("test", DeclarationText).value(), Milliseconds{0});
    for (int n = 0; n < targets; ++n) {
        TargetAnnouncement target;
        target.id = "worker-" + std::to_string(n) + ".example:8000";
        target.address = {"10.0.0.1", 8000};
        target.rack = "rack-" + std::to_string(n / 8);
        target.services = {{"a", 8}, {"b", 8}, {"c", 8}, {"d", 8}};
        (void)dispatcher->targetAnnounced(target, Milliseconds{0});
    }
    return dispatcher;
}

TaskSpec makeTask(TaskHandle handle, int kind)
{
    static const std::array Services{"a", "b", "c", "d"};
    TaskSpec task;
    task.handle = handle;
    task.requestId = "0123456789abcdef0123456789ab" + std::to_string(handle);
    task.service = Services[static_cast<std::size_t>(kind) % Services.size()];
    task.team = "team-" + std::to_string(kind % 16);
    task.deadline = Milliseconds{1e9};
    task.isRepeatable = true;
    return task;
}

/// Median time to submit and start a task, with three quarters of the slots in use.
double measurePlacement(int targets)
{
    const auto dispatcher = makeDispatcher(targets);
    const SteadyClock clock;
    std::mt19937 random(7);
    std::vector<TaskHandle> running;
    std::vector<double> times;
    TaskHandle next = 1;
    for (int n = 0; n < targets * 6; ++n) {
        // Each task completes, so that all targets are proven.
        (void)dispatcher->submit({makeTask(next, n)}, Milliseconds{1});
        (void)dispatcher->attemptFinished(
            next, {1, AttemptOutcome::Completed, Milliseconds{100}, {}, -1}, Milliseconds{1});
        ++next;
    }
    for (int n = 0; n < targets * 6; ++n) {
        (void)dispatcher->submit({makeTask(next, n)}, Milliseconds{1});
        running.push_back(next++);
    }
    for (int n = 0; n < 20'000; ++n) {
        const std::vector tasks{makeTask(next, n)};
        auto &ended = running[random() % running.size()];
        const AttemptReport report{1, AttemptOutcome::Completed, Milliseconds{100}, {}, -1};
        (void)dispatcher->attemptFinished(ended, report, Milliseconds{2});
        const auto from = clock.now();
        const auto actions = dispatcher->submit(tasks, Milliseconds{2});
        times.push_back((clock.now() - from).count() * 1000);
        REQUIRE(actions.size() == 1);
        ended = next++;
    }
    return median(times);
}

} // namespace

TEST_CASE("cost of a placement decision", "[dispatch][cost]")
{
    std::vector<Point> points;
    for (const auto targets : {42, 105, 210, 420, 840})
        points.push_back({static_cast<double>(targets), measurePlacement(targets)});
    printSlope("submit and start, median by targets", points);
}

TEST_CASE("cost of queue operations", "[dispatch][cost]")
{
    constexpr int Rounds = 200'000;
    std::vector<Point> cycle;
    for (const auto queued : {10'000, 25'000, 50'000, 100'000}) {
        FlowQueue queue;
        const SteadyClock clock;
        const auto push = [&](int n) {
            const FlowId flow{static_cast<std::uint32_t>(n % 4),
                              static_cast<std::uint32_t>(n % 16)};
            return queue.push(flow,
                              {static_cast<TaskHandle>(n), static_cast<Urgency>(n % 3), false,
                               Milliseconds{static_cast<double>(n) / 100}, 200});
        };
        for (int n = 0; n < queued; ++n)
            (void)push(n);
        const auto from = clock.now();
        for (int n = 0; n < Rounds; ++n) {
            (void)push(queued + n);
            const auto next =
                queue.next([](std::uint32_t) { return true; }, [](FlowId) { return true; });
            (void)queue.pop(*next, Milliseconds{static_cast<double>(n)});
        }
        cycle.push_back(
            {static_cast<double>(queued), (clock.now() - from).count() * 1000 / (2.0 * Rounds)});
    }
    printSlope("queue push or pop, mean by queued tasks", cycle);
}

namespace {

void measureCancellations(bool isShuffled)
{
    std::vector<Point> submits;
    std::vector<Point> cancels;
    for (const auto queued : {10'000, 25'000, 50'000, 100'000}) {
        const auto dispatcher = makeDispatcher(0);
        const SteadyClock clock;
        std::vector<std::vector<TaskSpec>> tasks;
        tasks.reserve(static_cast<std::size_t>(queued));
        for (int n = 0; n < queued; ++n)
            tasks.push_back({makeTask(static_cast<TaskHandle>(n) + 1, n)});
        auto from = clock.now();
        for (const auto &it : tasks)
            (void)dispatcher->submit(it, Milliseconds{1});
        submits.push_back(
            {static_cast<double>(queued), (clock.now() - from).count() * 1000 / queued});
        std::vector<TaskHandle> order;
        order.reserve(static_cast<std::size_t>(queued));
        for (int n = 0; n < queued; ++n)
            order.push_back(static_cast<TaskHandle>(n) + 1);
        if (isShuffled)
            std::ranges::shuffle(order, std::mt19937(5));
        from = clock.now();
        std::size_t ended = 0;
        for (const auto it : order)
            ended += dispatcher->cancel(it, Milliseconds{2}).size();
        cancels.push_back(
            {static_cast<double>(queued), (clock.now() - from).count() * 1000 / queued});
        REQUIRE(ended == order.size());
    }
    printSlope("submit of a waiting task, mean by queued tasks", submits);
    printSlope("cancel, mean by queued tasks", cancels);
    std::cout << "100,000 cancellations, " << (isShuffled ? "random order: " : "order of arrival: ")
              << cancels.back().us * 100 << " ms\n";
}

} // namespace

TEST_CASE("cost of queueing and cancelling tasks", "[dispatch][cost]")
{
    measureCancellations(false);
    measureCancellations(true);
}
