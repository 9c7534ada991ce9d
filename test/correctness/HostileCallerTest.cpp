/// @file Callers that keep to no limits, against a real entry: it lives, stays within its memory
/// and descriptors, and answers an ordinary request afterwards.
#include "FleetProcesses.h"
#include "HostileCallers.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// More than an entry with a memory of 64 MB for requests may use, sanitizers included. Each crowd
/// below sends or declares several times as much.
constexpr std::size_t MaxEntryMemoryMb = 160;
constexpr std::size_t Crowd = 8;
constexpr std::size_t Megabyte = std::size_t{1} << 20;
constexpr std::size_t BytesPerCaller = 40 * Megabyte;

/// One entry in a fleet of its own. Freed memory is reused soon also under the address sanitizer,
/// so that the memory in use shows what the entry holds.
class EntryUnderTest
{
public:
    EntryUnderTest()
        : m_isQuarantineLimited(::setenv("ASAN_OPTIONS", "quarantine_size_mb=4", 1) == 0)
        , fleet(1)
        , instances(2)
    {
        ::unsetenv("ASAN_OPTIONS");
        REQUIRE(m_isQuarantineLimited);
        REQUIRE(fleet.awaitReady(instances));
        REQUIRE(fleet.completeJob(0, "00000000000000a1"));
    }

    [[nodiscard]] const Address &address() const { return fleet.callers[0]; }
    [[nodiscard]] pid_t pid() { return fleet.process("entry-0").pid(); }

    /// What has to hold after every attack.
    void check()
    {
        CHECK(::kill(pid(), 0) == 0);
        const auto memoryMb = peakMemoryMb(pid());
        CHECK(memoryMb > 0);
        CHECK(memoryMb < MaxEntryMemoryMb);
        // The instances time out during a long attack, because they report only when told to.
        CHECK(waitUntil([&] { return instances.report(fleet.controls()[0]); }));
        CHECK(fleet.completeJob(0, "00000000000000a2"));
    }

private:
    bool m_isQuarantineLimited;

public:
    Fleet fleet;
    SimulatedInstances instances;
};

std::string postHead(const std::string &fields)
{
    return "POST /q/00000000000000ff HTTP/1.1\r\nHost: h.example\r\n" + fields + "\r\n";
}

} // namespace

TEST_CASE("endless trailers do not exhaust the memory of an entry", "[process][hostile]")
{
    // Guards against a process that ends for lack of memory: trailers had no limit.
    EntryUnderTest entry;
    runCrowd(Crowd, [&] {
        HostileCaller caller(entry.address());
        if (caller.send(postHead("Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n"))
            caller.sendRepeatedly("X-Trailer: " + std::string(1'000, 't') + "\r\n", BytesPerCaller);
    });
    entry.check();
}

TEST_CASE("endless chunk extensions do not exhaust the memory of an entry", "[process][hostile]")
{
    // Guards against a chunk header that is buffered until its end arrives.
    EntryUnderTest entry;
    runCrowd(Crowd, [&] {
        HostileCaller caller(entry.address());
        if (caller.send(postHead("Transfer-Encoding: chunked\r\n") + "1;"))
            caller.sendRepeatedly(std::string(1'000, 'e'), BytesPerCaller);
    });
    entry.check();
}

TEST_CASE("unfinished bodies of many callers do not exhaust the memory of an entry",
          "[process][hostile]")
{
    // Guards against a limit for one body times the number of connections.
    constexpr std::size_t Callers = 60;
    constexpr std::size_t BodyBytes = 7 * Megabyte;
    EntryUnderTest entry;
    std::vector<std::unique_ptr<HostileCaller>> callers;
    for (std::size_t n = 0; n < Callers; ++n) {
        callers.push_back(std::make_unique<HostileCaller>(entry.address()));
        if (callers.back()->send(postHead("Content-Length: " + std::to_string(BodyBytes) + "\r\n")))
            callers.back()->sendRepeatedly(std::string(std::size_t{64} * 1024, 'b'),
                                           BodyBytes - Megabyte);
    }
    entry.check();
}

TEST_CASE("a small request that declares millions of tasks is refused", "[process][hostile]")
{
    // Guards against memory that follows from numbers in a request and not from its size.
    EntryUnderTest entry;
    std::string steps;
    for (int n = 0; n < 40; ++n)
        steps += R"({"count":100000,"cpu":1,"mem_mb":1,"estimated_ms":50},)";
    steps.pop_back();
    auto request = makeRequest("POST", "/q/00000000000000b1",
                               R"({"spec":"x","best_effort":true,"phases":[)" + steps + "]}");
    request.headers["host"] = "h.example";
    const auto status = statusOf(callHttp(entry.address(), request, Milliseconds{20'000}));
    CHECK(status / 100 == 4);
    entry.check();
}

TEST_CASE("responses that nobody reads do not exhaust the memory of an entry", "[process][hostile]")
{
    // Guards against a queue of responses for a caller that sends requests and does not read.
    EntryUnderTest entry;
    const std::string request = "GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n";
    std::string block;
    for (int n = 0; n < 1'000; ++n)
        block += request;
    runCrowd(Crowd, [&] {
        HostileCaller caller(entry.address());
        caller.sendRepeatedly(block, 4 * Megabyte);
    });
    entry.check();
}

TEST_CASE("idle connections do not keep ordinary callers out", "[process][hostile]")
{
    // Guards against a process without descriptors, which accepts no one while a crowd stays.
    constexpr std::size_t MaxDescriptors = 128;
    constexpr std::size_t Callers = 200;
    std::unique_ptr<EntryUnderTest> entry;
    {
        const DescriptorLimit limit(MaxDescriptors);
        entry = std::make_unique<EntryUnderTest>();
    }
    std::vector<std::unique_ptr<HostileCaller>> callers;
    for (std::size_t n = 0; n < Callers; ++n) {
        callers.push_back(std::make_unique<HostileCaller>(entry->address()));
        (void)callers.back()->send("POST /q/");
    }
    // The crowd is still connected.
    entry->check();
    CHECK(descriptorCount(entry->pid()) <= MaxDescriptors);
}
