// Guards, with real processes and a real control group, against double grants and lost claims when
// a primary is killed, paused or loses its disk, and against a domain that stops to grant because
// the control group is gone.
#include "ControlGroup.h"
#include "LedgerProcess.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// Three ledger processes of one domain, the last one without a disk.
class LedgerDomain
{
public:
    LedgerDomain()
    {
        for (std::size_t n = 0; n < ports.size(); ++n)
            start(n);
        caller = std::make_unique<LedgerCaller>(std::vector(ports.begin(), ports.end()));
    }
    void start(std::size_t n)
    {
        const auto name = std::to_string(ports[n]);
        std::string tail = "control:\n";
        for (const auto &address : control.rpcAddresses())
            tail += "  - " + address.toString() + "\n";
        const auto settings = folder.write(
            name, ledgerSettings(ports[n], hasDisk(n) ? dataFolder(n) : std::string(), tail));
        processes[n] = std::make_unique<TestProcess>(
            "camphorspindle-ledger", std::vector<std::string>{"--settings", settings},
            (folder.path() / (name + ".log")).string());
    }
    void kill(std::size_t n, bool losesDisk = false)
    {
        processes[n]->signal(SIGKILL);
        processes[n]->wait();
        if (losesDisk)
            std::filesystem::remove_all(dataFolder(n));
    }
    static bool hasDisk(std::size_t n) { return n != 2; }
    std::string dataFolder(std::size_t n) const
    {
        return (folder.path() / ("data-" + std::to_string(n))).string();
    }
    std::optional<std::size_t> granting() const
    {
        for (std::size_t n = 0; n < ports.size(); ++n) {
            const auto status = caller->status(ports[n]);
            if (status && status->isGranting)
                return n;
        }
        return std::nullopt;
    }
    /// Waits for a primary with the given number of backups.
    std::size_t waitForSet(std::size_t backups)
    {
        std::optional<std::size_t> primary;
        REQUIRE(waitUntil([&] {
            primary = granting();
            return primary && caller->status(ports[*primary])->set.backups.size() == backups;
        }));
        return *primary;
    }
    void claimMore(int count)
    {
        std::vector<std::future<ClaimReply>> replies;
        replies.reserve(static_cast<std::size_t>(count));
        for (int n = 0; n < count; ++n) {
            keys.push_back("key-" + std::to_string(keys.size()));
            replies.push_back(caller->beginClaim(keys.back(), "nonce-" + keys.back()));
        }
        for (auto &reply : replies)
            REQUIRE(reply.get().state == ClaimState::Granted);
    }
    void checkAll()
    {
        for (const auto &key : keys) {
            INFO(key);
            REQUIRE(caller->claim(key, "another").state == ClaimState::Running);
        }
    }

    ControlGroup control{3};
    TemporaryFolder folder;
    std::array<std::uint16_t, 3> ports{freePort(), freePort(), freePort()};
    std::array<std::unique_ptr<TestProcess>, 3> processes;
    std::unique_ptr<LedgerCaller> caller;
    std::vector<std::string> keys;
};

} // namespace

TEST_CASE("Ledger processes fail over without a lost or doubled claim", "[ledger]")
{
    LedgerDomain domain;
    auto primary = domain.waitForSet(2);
    domain.claimMore(200);

    SECTION("killed, repaired, and a second one lost right after the repair")
    {
        domain.kill(primary, true);
        domain.claimMore(100);
        domain.start(primary);
        const auto second = domain.waitForSet(2);
        CHECK(second != primary);
        domain.kill(second, true);
        domain.claimMore(100);
        domain.start(second);
        primary = domain.waitForSet(2);
        domain.checkAll();
    }
    SECTION("paused, replaced, and woken with its old belief")
    {
        const auto key = std::string("disputed");
        domain.processes[primary]->signal(SIGSTOP);
        REQUIRE(domain.caller->claim(key, "first").state == ClaimState::Granted);
        // This caller knows only the paused process, which answers once it wakes.
        LedgerCaller misled({domain.ports[primary]}, "entry-2");
        auto reply = misled.beginClaim(key, "second", Milliseconds{3'000});
        domain.processes[primary]->signal(SIGCONT);
        CHECK(reply.get().state != ClaimState::Granted);
        (void)domain.waitForSet(2);
        domain.checkAll();
    }
    SECTION("without its control group the whole set goes on")
    {
        for (const auto &name : domain.control.instances())
            domain.control.kill(name);
        domain.claimMore(100);
        domain.checkAll();
    }
}
