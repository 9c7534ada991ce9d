// Guards against double starts and false refusals that appear only in a complete deployment:
// entries, a control group and ledgers as real processes.
#include "ControlGroup.h"
#include "EntryFixture.h"
#include "LedgerProcess.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

std::string controlLines(const ControlGroup &control)
{
    std::string text = "control:\n";
    for (const auto &address : control.rpcAddresses())
        text += "  - \"" + address.toString() + "\"\n";
    return text;
}

/// Three control nodes, two ledgers of domain "a", and two entries.
class Deployment
{
public:
    Deployment()
    {
        std::string declaration = std::string(TestDeclaration) + "domains: [{name: a}]\nledgers:\n";
        for (const auto port : ports) {
            const auto name = "ledger-" + std::to_string(port);
            declaration += "  - {instance: " + name
                + ", domain: a, address: \"127.0.0.1:" + std::to_string(port) + "\"}\n";
        }
        REQUIRE(control.apply(0, "first", declaration).status == 200);
        for (const auto port : ports) {
            const auto name = std::to_string(port);
            const auto settings =
                folder.write(name,
                             ledgerSettings(port, (folder.path() / ("data-" + name)).string(),
                                            controlLines(control), "a"));
            ledgers.push_back(std::make_unique<TestProcess>(
                "camphorspindle-ledger", std::vector<std::string>{"--settings", settings},
                (folder.path() / (name + ".log")).string()));
        }
        entries = std::make_unique<EntryCluster>(2, controlLines(control));
        target = std::make_unique<FakeTarget>("t1", entries->addresses());
        REQUIRE(entries->waitForTargets(1));
        REQUIRE(waitUntil([&] { return book(0, "warm-up", "x").status == 200; }));
    }

    [[nodiscard]] HttpResponse book(int entry, const std::string &key,
                                    const std::string &body) const
    {
        return responseOf(
            entries->address(entry),
            makeRequest("POST", "/v1/requests/book", body, {{"idempotency-key", key}}));
    }
    /// Waits until one ledger grants and the other is its in-sync backup.
    [[nodiscard]] bool waitForFullReplicaSet() const
    {
        LedgerCaller caller({ports.begin(), ports.end()}, "test");
        return waitUntil([&] {
            return std::ranges::any_of(ports, [&](std::uint16_t port) {
                const auto status = caller.status(port);
                return status && status->isGranting && status->set.backups.size() == 1;
            });
        });
    }
    [[nodiscard]] std::future<HttpResponse> beginBook(int entry, const std::string &key,
                                                      const std::string &body) const
    {
        return std::async(std::launch::async,
                          [this, entry, key, body] { return book(entry, key, body); });
    }

    ControlGroup control{3};
    std::array<std::uint16_t, 2> ports{freePort(), freePort()};
    TemporaryFolder folder;
    std::vector<std::unique_ptr<TestProcess>> ledgers;
    std::unique_ptr<EntryCluster> entries;
    std::unique_ptr<FakeTarget> target;
};

} // namespace

TEST_CASE("a key that is sent to every entry starts once and gets one response",
          "[process][system]")
{
    const Deployment deployment;
    const int before = deployment.target->totalStarts();
    deployment.target->hold();
    auto first = deployment.beginBook(0, "crew-7", "lift crew");
    REQUIRE(waitUntil([&] { return deployment.target->totalStarts() == before + 1; }));
    auto second = deployment.beginBook(1, "crew-7", "lift crew");
    auto third = deployment.beginBook(0, "crew-7", "lift crew");
    const auto other = deployment.book(1, "crew-7", "another payload");
    CHECK(other.status == 422);
    deployment.target->release();
    for (auto *call : {&first, &second, &third}) {
        const auto response = call->get();
        CHECK(response.status == 200);
        CHECK(response.body == "lift crew");
    }
    const auto later = deployment.book(1, "crew-7", "lift crew");
    CHECK(later.body == "lift crew");
    CHECK(deployment.target->totalStarts() == before + 1);
}

TEST_CASE("a key whose executor was killed is unknown and never starts again", "[process][system]")
{
    const Deployment deployment;
    const int before = deployment.target->totalStarts();
    deployment.target->hold();
    auto interrupted = deployment.beginBook(0, "crew-8", "lift crew");
    REQUIRE(waitUntil([&] { return deployment.target->totalStarts() == before + 1; }));
    deployment.entries->process(0).signal(SIGKILL);
    CHECK(interrupted.get().status == 0);
    const auto response = deployment.book(1, "crew-8", "lift crew");
    CHECK(response.status == 504);
    CHECK(outcomeOf(response) == "unknown");
    deployment.target->release();
    CHECK(outcomeOf(deployment.book(1, "crew-8", "lift crew")) == "unknown");
    CHECK(deployment.target->totalStarts() == before + 1);
}

TEST_CASE("a key keeps its response when the ledger's primary is paused", "[process][system]")
{
    const Deployment deployment;
    REQUIRE(deployment.book(0, "crew-9", "lift crew").status == 200);
    const int before = deployment.target->totalStarts();
    // Either ledger may be the primary, so each is paused in turn once the replica set is complete
    // again.
    for (const auto &ledger : deployment.ledgers) {
        REQUIRE(deployment.waitForFullReplicaSet());
        ledger->signal(SIGSTOP);
        HttpResponse response;
        CHECK(waitUntil([&] {
            response = deployment.book(1, "crew-9", "lift crew");
            return response.status == 200;
        }));
        CHECK(response.body == "lift crew");
        ledger->signal(SIGCONT);
    }
    CHECK(deployment.target->totalStarts() == before);
}

TEST_CASE("without any ledger, a caller's key gets unknown and a keyless request gets not-run",
          "[process][system]")
{
    const Deployment deployment;
    const int before = deployment.target->totalStarts();
    for (const auto &ledger : deployment.ledgers)
        ledger->signal(SIGKILL);
    CHECK(outcomeOf(deployment.book(0, "crew-10", "lift crew")) == "unknown");
    const auto keyless = responseOf(deployment.entries->address(0),
                                    makeRequest("POST", "/v1/requests/book", "lift crew"));
    CHECK(outcomeOf(keyless) == "not-run");
    const auto repeatable = responseOf(deployment.entries->address(0),
                                       makeRequest("POST", "/v1/requests/echo", "stock"));
    CHECK(repeatable.status == 200);
    CHECK(deployment.target->totalStarts() == before + 1);
}

// Guards against a refusal because of another payload whose claim was not granted. Both payloads
// reach one entry at the same time, and only the ledger knows to which one the key belongs.
TEST_CASE("the payload that holds the key is never refused because of another one",
          "[process][system]")
{
    const Deployment deployment;
    for (int n = 0; n < 20; ++n) {
        const auto key = "crew-" + std::to_string(100 + n);
        REQUIRE(deployment.book(0, key, "lift crew").status == 200);
        auto other = deployment.beginBook(1, key, "another payload");
        auto same = deployment.beginBook(1, key, "lift crew");
        CHECK(same.get().body == "lift crew");
        CHECK(other.get().status == 422);
    }
}
