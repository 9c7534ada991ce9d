// Uses real ledger processes and a real control group. Guards against double grants and lost claims
// when a primary is killed, paused or loses its disk, and against a ledger that stops granting when
// the control group fails.
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
        std::string controlLines = "control:\n";
        for (const auto &address : control.rpcAddresses())
            controlLines += "  - " + address.toString() + "\n";
        const auto settings = folder.write(
            name,
            ledgerSettings(ports[n], hasDisk(n) ? dataFolder(n) : std::string(), controlLines));
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
    std::optional<std::size_t> grantingReplica() const
    {
        for (std::size_t n = 0; n < ports.size(); ++n) {
            const auto status = caller->status(ports[n]);
            if (status && status->isGranting)
                return n;
        }
        return std::nullopt;
    }
    /// Waits for a granting primary with the given number of backups.
    std::size_t waitForBackups(std::size_t backups)
    {
        std::optional<std::size_t> primary;
        REQUIRE(waitUntil([&] {
            primary = grantingReplica();
            return primary && caller->status(ports[*primary])->set.backups.size() == backups;
        }));
        return *primary;
    }
    void claimKeys(int count)
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
    void checkAllClaimsRetained()
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

TEST_CASE("Failover of ledger processes neither loses a claim nor grants it twice", "[ledger]")
{
    LedgerDomain domain;
    auto primary = domain.waitForBackups(2);
    domain.claimKeys(200);

    SECTION("primary loses its disk, and so does its successor right after the repair")
    {
        domain.kill(primary, true);
        domain.claimKeys(100);
        domain.start(primary);
        const auto second = domain.waitForBackups(2);
        CHECK(second != primary);
        domain.kill(second, true);
        domain.claimKeys(100);
        domain.start(second);
        primary = domain.waitForBackups(2);
        domain.checkAllClaimsRetained();
    }
    SECTION("primary paused, replaced, and resumed with its outdated view")
    {
        const auto key = std::string("disputed");
        domain.processes[primary]->signal(SIGSTOP);
        REQUIRE(domain.caller->claim(key, "first").state == ClaimState::Granted);
        // This caller knows only the paused process, which replies once it is resumed.
        LedgerCaller staleCaller({domain.ports[primary]}, "entry-2");
        auto reply = staleCaller.beginClaim(key, "second", Milliseconds{3'000});
        domain.processes[primary]->signal(SIGCONT);
        CHECK(reply.get().state != ClaimState::Granted);
        (void)domain.waitForBackups(2);
        domain.checkAllClaimsRetained();
    }
    SECTION("a complete replica set continues without its control group")
    {
        for (const auto &name : domain.control.instances())
            domain.control.kill(name);
        domain.claimKeys(100);
        domain.checkAllClaimsRetained();
    }
}
