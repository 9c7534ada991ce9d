/// @file Drains of failure domains: the replicated order, its distribution, and the scheduler.
#include "ControlState.h"
#include "ControlWatch.h"
#include "EventLoops.h"
#include "FleetModel.h"
#include "FleetProcesses.h"
#include "RpcSupport.h"
#include "Wire.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

FleetConfiguration makeConfiguration() { return {1, {makeQueue("queue")}}; }

int orderDrain(const Address &control, const std::string &method, const std::string &domain,
               Milliseconds timeout = Milliseconds{2'000})
{
    return statusOf(callHttp(control, makeRequest(method, "/drain/" + domain), timeout));
}

/// Sends an order to the members in turn until one acknowledges it, like an operator.
bool orderDrainAnywhere(const Fleet &fleet, const std::string &method, const std::string &domain)
{
    return waitUntil([&] {
        return std::ranges::any_of(fleet.controls(), [&](const Address &it) {
            return orderDrain(it, method, domain) == 200;
        });
    });
}

} // namespace

TEST_CASE("a repeated drain changes nothing, and its revision only grows", "[drain]")
{
    // Guards against resent orders that look like changes, and against drains lost in a snapshot.
    ControlState state;
    CHECK(state.apply(DrainDomainCommand{"south", false}).revision == 0);
    CHECK(state.apply(DrainDomainCommand{"south", true}).revision == 1);
    CHECK(state.apply(DrainDomainCommand{"south", true}).revision == 1);
    CHECK(state.apply(DrainDomainCommand{"north", true}).revision == 2);
    CHECK(state.drains().domains == std::vector<std::string>{"north", "south"});
    const auto restored = ControlState::decode(state.encode());
    REQUIRE(restored);
    CHECK(restored.value() == state);
    CHECK(state.apply(DrainDomainCommand{"south", false}).revision == 3);
    CHECK_FALSE(state.drains().contains("south"));
    CHECK(state.drains().contains("north"));
}

TEST_CASE("a state that was stored before drains existed is read", "[drain]")
{
    // Guards against an upgrade that loses the configuration.
    ControlState state;
    (void)state.apply(StoreDocumentCommand{{7, "text", "content"}});
    const auto encoded = state.encode();
    const auto drainBytes = encodeMessage(DomainDrains{}).size();
    const auto earlier = ControlState::decode(encoded.substr(0, encoded.size() - drainBytes));
    REQUIRE(earlier);
    CHECK(earlier.value() == state);
}

TEST_CASE("nothing starts in a drained domain until the drain is withdrawn", "[drain][scheduler]")
{
    FleetSimulation world(6, {}, 1);
    world.runTime = [](const std::string &) { return 200.0; };
    auto &holder = world.addHolder(1, makeConfiguration());
    const auto running = [&] {
        std::size_t count = 0;
        for (const auto &[id, instance] : world.instances())
            count += instance.running().size();
        return count;
    };
    world.run(20);
    // The first job takes all room, so that the second one has not started when the drain begins.
    holder.submit(makeJob("running", 14), {}, Milliseconds{world.now});
    world.run(40);
    REQUIRE(running() == 14);
    holder.submit(makeJob("waiting", 2), {}, Milliseconds{world.now});
    world.run(41);
    holder.setDrains({1, {"north"}});
    world.run(60);
    // Guards against a job that waits for its deadline although nothing can start here.
    REQUIRE(world.outcomes.contains("waiting"));
    CHECK(world.outcomes.at("waiting").verdict == JobVerdict::NotRun);
    CHECK(world.outcomes.at("waiting").reason == NotHolderReason);
    CHECK(running() == 14);

    SECTION("what runs may end")
    {
        world.run(400);
        REQUIRE(world.outcomes.contains("running"));
        CHECK(world.outcomes.at("running").verdict == JobVerdict::Completed);
    }
    SECTION("new jobs are given back at once")
    {
        holder.submit(makeJob("new", 1), {}, Milliseconds{world.now});
        world.run(world.now + 2);
        REQUIRE(world.outcomes.contains("new"));
        CHECK(world.outcomes.at("new").reason == NotHolderReason);
    }
    SECTION("a job is not given back while runs of its earlier submission last")
    {
        // Guards against a second run at another holder, which does not know of the first one.
        holder.cancel("running", {}, Milliseconds{world.now}, Milliseconds{world.now});
        holder.submit(makeJob("running", 2), {}, Milliseconds{world.now});
        world.run(world.now + 1);
        REQUIRE(running() > 0);
        CHECK(world.outcomes.at("running").reason != NotHolderReason);
        // All domains are drained, so it is refused, and the caller may come back.
        CHECK(world.outcomes.at("running").verdict == JobVerdict::NotRun);
        CHECK(world.outcomes.at("running").retryAfterMs > 0);
    }
    SECTION("offers of other holders are not accepted")
    {
        const auto job = makeJob("offered", 1);
        const RunOffer offer{
            {"offered", 1}, "queue", "payload", 0, job.steps.front(), {{{"offered.0.0.0", 1}, {}}}};
        CHECK(holder.startOffered(offer, "other", Milliseconds{world.now}).started.empty());
        world.run(400);
        CHECK(holder.startOffered(offer, "other", Milliseconds{world.now}).started.empty());
        holder.setDrains({2, {}});
        CHECK(holder.startOffered(offer, "other", Milliseconds{world.now}).started.size() == 1);
    }
    SECTION("after the drain, jobs start again")
    {
        holder.setDrains({2, {}});
        holder.submit(makeJob("later", 1), {}, Milliseconds{world.now});
        world.run(world.now + 400);
        REQUIRE(world.outcomes.contains("later"));
        CHECK(world.outcomes.at("later").verdict == JobVerdict::Completed);
    }
}

TEST_CASE("a member that lags does not end a drain", "[drain][watch]")
{
    // Guards against an entry that starts tasks in a drained domain because a member that was cut
    // off tells it an earlier state.
    boost::asio::io_context io;
    const auto makeMember = [&](const Address &address, const DomainDrains &drains) {
        return RpcServer::make(io, address, makeRpc("control"),
                               [drains](const Hello &, MessageKind, const std::string &,
                                        const RpcReply &reply) {
                                   FleetUpdate update;
                                   update.drains = drains;
                                   reply(encodeMessage(update));
                               })
            .value();
    };
    const Address current{"127.0.0.1", freePort()};
    const Address lagging{"127.0.0.1", freePort()};
    const auto first = makeMember(current, {5, {"north"}});
    const auto second = makeMember(lagging, {4, {}});
    ControlWatchSettings settings;
    settings.rpc = makeRpc("entry");
    settings.seeds = {lagging.toString(), current.toString()};
    const auto watch = std::make_shared<ControlWatch>(io, settings, [] { });
    watch->start();
    REQUIRE(waitUntil([&] {
        runBriefly(io);
        return watch->view().drains.revision == 5;
    }));
    for (int n = 0; n < 20; ++n) {
        runBriefly(io);
        CHECK(watch->view().drains.contains("north"));
    }
    watch->stop();
    first->stop();
    second->stop();
    io.restart();
    io.run();
}

TEST_CASE("an acknowledged drain outlives all processes of the group", "[drain][process]")
{
    Fleet fleet;
    SimulatedInstances instances(2);
    REQUIRE(fleet.awaitReady(instances));
    REQUIRE(fleet.completeJob(0, "00000000000000a1"));
    REQUIRE(waitUntil([&] { return orderDrain(fleet.controls()[0], "POST", "nowhere") == 404; }));
    REQUIRE(orderDrainAnywhere(fleet, "POST", "north"));
    const auto isRefused = [&](std::size_t entry, const std::string &jobId) {
        return fleet.submit(entry, jobId) == 429;
    };
    CHECK(waitUntil([&] {
        return fleet.hasLogLine("entry-0", {"domain-drains-in-force", "north"})
            && fleet.hasLogLine("entry-1", {"domain-drains-in-force", "north"});
    }));
    CHECK(isRefused(0, "00000000000000a2"));
    CHECK(isRefused(1, "00000000000000a3"));

    for (const auto *name : {"control-0", "control-1", "control-2"})
        fleet.kill(name);
    for (const auto *name : {"control-0", "control-1", "control-2"})
        fleet.start(name);
    // An entry that starts without knowledge learns the drain.
    fleet.kill("entry-0");
    fleet.start("entry-0");
    REQUIRE(waitUntil([&] { return instances.report(fleet.controls()[0]); }));
    REQUIRE(waitUntil([&] {
        return statusOf(callHttp(fleet.readiness[0], makeRequest("GET", "/readyz"))) == 200;
    }));
    CHECK(isRefused(0, "00000000000000a4"));

    REQUIRE(orderDrainAnywhere(fleet, "DELETE", "north"));
    CHECK(fleet.completeJob(0, "00000000000000a5"));
    CHECK(fleet.completeJob(1, "00000000000000a6"));
    CHECK(instances.doubleRuns == 0);
}

TEST_CASE("an order that its operator has given up is not carried out later", "[drain][process]")
{
    // Guards against a drain that returns: its order waited in a paused member, and the operator
    // has ended the drain at another member meanwhile.
    Fleet fleet(1);
    SimulatedInstances instances(2);
    REQUIRE(fleet.awaitReady(instances));
    auto &paused = fleet.process("control-0");
    paused.signal(SIGSTOP);
    CHECK(orderDrain(fleet.controls()[0], "POST", "north", Milliseconds{200}) == 0);
    paused.signal(SIGCONT);
    CHECK(waitUntil([&] {
        return fleet.hasLogLine("control-0", {"domain-drain-expired", "operator-disconnected"});
    }));
    for (const auto *name : {"control-0", "control-1", "control-2"})
        CHECK_FALSE(fleet.hasLogLine(name, {"domain-drain-stored", "accepted"}));
    CHECK(fleet.completeJob(0, "00000000000000a1"));
}
