/// @file An entry that has just started, before control instances and holders are available.
#include "FleetEntry.h"
#include "NoInstances.h"
#include "RpcSupport.h"
#include "TestProcess.h"
#include "Wire.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

constexpr Milliseconds Hour{3'600'000};

std::string encodedConfiguration(std::uint64_t version)
{
    FleetConfiguration configuration;
    configuration.version = version;
    QueueRule queue;
    queue.name = "queue";
    queue.service = "service";
    configuration.queues.push_back(queue);
    return encodeMessage(configuration);
}

/// An entry, and a control instance that can be started later.
struct World
{
    explicit World(Milliseconds startGrace)
    {
        settings.cluster = makeRpc({}).cluster;
        settings.self = {"entry", "north", Address{"127.0.0.1", freePort()}.toString(), 7};
        settings.seeds = {control.toString()};
        settings.startGrace = startGrace;
        settings.rerouteDelay = Milliseconds{5};
        entry = FleetEntry::make(io, settings, std::make_shared<NoInstances>()).value();
    }

    ~World()
    {
        entry->stop();
        if (server)
            server->stop();
        io.restart();
        io.run_for(std::chrono::seconds(5));
    }
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    void startControl(bool grantsCell)
    {
        FleetUpdate update;
        update.documentVersion = 3;
        if (grantsCell)
            update.grants = {{"north", 0, 1, "entry", settings.self.address, 7, 1}};
        server = RpcServer::make(io, control, makeRpc("control"),
                                 [update](const Hello &, MessageKind kind, const std::string &,
                                          const RpcReply &reply) {
                                     if (kind == MessageKind::FetchDocument)
                                         reply(encodeMessage(FetchDocumentReply{
                                             update.documentVersion,
                                             0,
                                             {},
                                             encodedConfiguration(update.documentVersion)}));
                                     else
                                         reply(encodeMessage(update));
                                 })
                     .value();
    }

    void runUntil(const std::function<bool()> &condition)
    {
        CHECK(waitUntil([&] {
            runAWhile();
            return condition();
        }));
    }

    void runAWhile()
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(20));
    }

    boost::asio::io_context io;
    Address control{"127.0.0.1", freePort()};
    FleetEntrySettings settings;
    std::shared_ptr<FleetEntry> entry;
    std::shared_ptr<RpcServer> server;
};

FleetJob makeJob()
{
    JobStep step;
    step.demand = {1'000, 1, 0};
    return {"job", "queue", "payload", {step}};
}

} // namespace

TEST_CASE("after a start, callers wait for the configuration instead of being refused", "[entry]")
{
    // Guards against refusals between the restart of all processes and the first reply of the
    // control group.
    World world(Hour);
    bool isCalled = false;
    world.entry->whenConfigured([&](Milliseconds) { isCalled = true; });
    world.runAWhile();
    CHECK_FALSE(isCalled);
    world.startControl(false);
    world.runUntil([&] { return isCalled; });
    CHECK(world.entry->configuration() != nullptr);
}

TEST_CASE("after the start grace period, nobody waits for a configuration", "[entry]")
{
    World world(Milliseconds{0});
    bool isCalled = false;
    world.entry->whenConfigured([&](Milliseconds) { isCalled = true; });
    CHECK(isCalled);
    CHECK(world.entry->configuration() == nullptr);
}

TEST_CASE("the number of callers that wait after a start is bounded", "[entry]")
{
    World world(Hour);
    std::size_t called = 0;
    for (std::size_t n = 0; n < world.settings.maxStartWaiters + 5; ++n)
        world.entry->whenConfigured([&](Milliseconds) { ++called; });
    CHECK(called == 5);
}

TEST_CASE("after a start, jobs wait for a holder instead of being refused", "[entry]")
{
    const bool isStarting = GENERATE(true, false);
    CAPTURE(isStarting);
    World world(isStarting ? Hour : Milliseconds{0});
    std::optional<JobOutcome> outcome;
    world.entry->submit(makeJob(), [&](const JobOutcome &it) { outcome = it; });
    world.runAWhile();
    CHECK(outcome.has_value() == !isStarting);
    if (!isStarting) {
        CHECK(outcome->reason == "no-holder");
        return;
    }
    world.startControl(true);
    world.runUntil([&] { return outcome.has_value(); });
    // The job has reached the scheduler, which knows no instance.
    REQUIRE(outcome);
    CHECK(outcome->verdict == JobVerdict::NotRun);
    CHECK(outcome->reason == "no-instance");
}

TEST_CASE("a job whose only caller has left is not routed", "[entry]")
{
    // Guards against runs for a caller that has left, unnoticed so far, and has resent its job.
    World world(Hour);
    bool hasLeft = false;
    const auto caller = std::make_shared<CallerConnection>([&] { return hasLeft; });
    bool isAnswered = false;
    world.entry->submit(makeJob(), [&](const JobOutcome &) { isAnswered = true; }, caller);
    world.runAWhile();
    CHECK(world.entry->jobsInProgress() == 1);
    hasLeft = true;
    world.startControl(true);
    world.runUntil([&] { return world.entry->jobsInProgress() == 0; });
    CHECK_FALSE(isAnswered);
}

TEST_CASE("a job is cancelled only when all of its callers have left", "[entry]")
{
    // Guards against a caller that gets no response because its own first connection, which the
    // entry notices late, was broken.
    World world(Hour);
    const auto first = std::make_shared<CallerConnection>();
    const auto second = std::make_shared<CallerConnection>();
    for (const auto &it : {first, second}) {
        it->setOnDisconnect([&] { world.entry->onDisconnect("job"); });
        world.entry->submit(makeJob(), [](const JobOutcome &) { }, it);
    }
    first->notifyDisconnect();
    CHECK(world.entry->jobsInProgress() == 1);
    second->notifyDisconnect();
    CHECK(world.entry->jobsInProgress() == 0);
}
