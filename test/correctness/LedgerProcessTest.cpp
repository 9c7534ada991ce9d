// Guards against claims and outcomes that are lost or granted twice when a ledger process is
// killed, and against invalid input on its port.
#include "LedgerProcess.h"

#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <memory>

using namespace Camphor;
using namespace Camphor::Testing;

TEST_CASE("A killed ledger process retains every granted claim", "[ledger]")
{
    const TemporaryFolder folder;
    const auto port = freePort();
    const auto settings = folder.write(
        "ledger.yaml",
        ledgerSettings(port, (folder.path() / "data").string(), staticReplicaSet({port})));
    const auto log = (folder.path() / "log").string();
    LedgerCaller caller({port});
    auto process = std::make_unique<TestProcess>(
        "camphorspindle-ledger", std::vector<std::string>{"--settings", settings}, log);
    std::vector<std::string> granted;
    int keyCount = 0;
    for (std::size_t round = 0; round < 4; ++round) {
        std::vector<std::pair<std::string, std::future<ClaimReply>>> claims;
        REQUIRE(caller.claim("first-" + std::to_string(round), "n").state == ClaimState::Granted);
        for (int n = 0; n < 300; ++n) {
            const auto key = "key-" + std::to_string(keyCount++);
            claims.emplace_back(key, caller.beginClaim(key, "nonce-" + key));
        }
        // The process is killed with claims in flight; they are resent to the next process.
        claims[20 * round].second.wait();
        process->signal(SIGKILL);
        process->wait();
        process = std::make_unique<TestProcess>(
            "camphorspindle-ledger", std::vector<std::string>{"--settings", settings}, log);
        for (auto &[key, reply] : claims) {
            REQUIRE(reply.get().state == ClaimState::Granted);
            granted.push_back(key);
        }
    }
    for (const auto &key : granted) {
        CHECK(caller.claim(key, "another").state == ClaimState::Running);
        CHECK(caller.claim(key, "nonce-" + key).state == ClaimState::Granted);
    }
    REQUIRE(caller.finish("key-0", "nonce-key-0", Outcome::Completed, "answer"));
    REQUIRE(caller.finish("key-1", "nonce-key-1", Outcome::NotRun, "refused"));
    process->signal(SIGTERM);
    CHECK(process->wait() == 0);
    process = std::make_unique<TestProcess>("camphorspindle-ledger",
                                            std::vector<std::string>{"--settings", settings}, log);
    const auto stored = caller.claim("key-0", "another");
    CHECK(stored.state == ClaimState::Stored);
    CHECK(stored.response == "answer");
    CHECK(caller.claim("key-1", "another").state == ClaimState::Granted);
    CHECK(caller.query("never").state == ClaimState::Absent);
}

TEST_CASE("A backup redirects to the primary and holds the same claims", "[ledger]")
{
    const TemporaryFolder folder;
    const std::vector<std::uint16_t> ports{freePort(), freePort()};
    std::vector<std::unique_ptr<TestProcess>> processes;
    for (const auto port : ports) {
        const auto name = std::to_string(port);
        const auto settings = folder.write(name, ledgerSettings(port, {}, staticReplicaSet(ports)));
        processes.push_back(std::make_unique<TestProcess>(
            "camphorspindle-ledger", std::vector<std::string>{"--settings", settings},
            (folder.path() / (name + ".log")).string()));
    }
    // The caller contacts the backup first.
    LedgerCaller caller({ports[1], ports[0]});
    REQUIRE(caller.claim("a", "n").state == ClaimState::Granted);
    REQUIRE(waitUntil([&] {
        const auto status = caller.status(ports[1]);
        return status && status->role == LedgerRole::Backup;
    }));
    REQUIRE(caller.claim("b", "n").state == ClaimState::Granted);
    CHECK(waitUntil([&] { return caller.status(ports[1])->claims == 2; }));
    processes.clear();
    const auto unreachable = caller.claim("c", "n", Milliseconds{300});
    CHECK(unreachable.state == ClaimState::Unreachable);
    CHECK_FALSE(caller.claim("d", "n", Milliseconds{300}).maybeGranted);
}

TEST_CASE("Invalid messages on a ledger port are refused and counted", "[ledger]")
{
    const TemporaryFolder folder;
    const auto port = freePort();
    const auto settings =
        folder.write("ledger.yaml", ledgerSettings(port, {}, staticReplicaSet({port})));
    const TestProcess process("camphorspindle-ledger", {"--settings", settings},
                              (folder.path() / "log").string());
    LedgerCaller caller({port});
    REQUIRE(caller.claim("a", "n").state == ClaimState::Granted);

    const auto hello = [](std::uint16_t version, const std::string &cluster) {
        return encodeFrame({0, 0, 0, MessageKind::Hello, FrameType::Request},
                           encodeMessage(Hello{version, cluster, "entry-2", 1}));
    };
    const auto frame = [](MessageKind kind, const std::string &payload) {
        return encodeFrame({0, 1, 0, kind, FrameType::Request}, payload);
    };
    const auto validHello = hello(WireVersion, "test");
    auto oversizedLength = frame(MessageKind::Claim, "xxxx");
    oversizedLength[4] = oversizedLength[5] = oversizedLength[6] = oversizedLength[7] = '\xff';
    ReplicateRequest foreignPrimary;
    foreignPrimary.set.epoch = 99;
    foreignPrimary.set.primary = {"ledger-x", 1, "127.0.0.1:1"};
    CatchupRequest foreignDomain;
    foreignDomain.domain = "south";
    foreignDomain.member = {"entry-2", 1, "127.0.0.1:1"};
    const std::vector<std::string> inputs{
        hello(WireVersion + 1, "test"), // wrong version
        hello(WireVersion, "other"), // another cluster
        validHello + oversizedLength, // payload length above the limit
        validHello + frame(MessageKind::Claim, "short"),
        validHello + frame(MessageKind::Claim, encodeMessage(ClaimRequest{})), // no key, no nonce
        validHello + frame(MessageKind::Finish, std::string(64, '\xff')),
        validHello + frame(MessageKind::Replicate, encodeMessage(foreignPrimary)), // forged sender
        validHello + frame(MessageKind::Catchup, encodeMessage(foreignDomain)), // another domain
        validHello + frame(MessageKind::Vote, ""), // not a ledger message
    };
    for (std::size_t n = 0; n < inputs.size(); ++n) {
        INFO("input " << n);
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket socket(io);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        boost::asio::write(socket, boost::asio::buffer(inputs[n]));
        const auto isCounted = waitUntil([&] {
            const auto status = caller.status(port);
            return status && status->refusedMessages == n + 1;
        });
        REQUIRE(isCounted);
    }
    // A truncated frame affects only its own connection.
    {
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket socket(io);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        const auto bytes = validHello + frame(MessageKind::Claim, "0123456789");
        boost::asio::write(socket, boost::asio::buffer(bytes.data(), bytes.size() - 3));
    }
    CHECK(caller.claim("a", "n").state == ClaimState::Granted);
}
