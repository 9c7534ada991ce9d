/// @file Settings of ledger processes and a ledger client for tests.
#pragma once

#include "RemoteLedger.h"
#include "TestProcess.h"

#include "LedgerMessages.h"
#include "RpcClient.h"
#include "Wire.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <future>
#include <thread>

namespace Camphor::Testing {

/// A RemoteLedger with its own io_context and thread, and blocking calls.
class LedgerCaller
{
public:
    explicit LedgerCaller(const std::vector<std::uint16_t> &ports,
                          const std::string &name = "entry-1")
        : m_work(m_io.get_executor())
        , m_thread([this] { m_io.run(); })
    {
        m_rpc.cluster = "test";
        m_rpc.instance = name;
        m_rpc.incarnation = 1;
        ledger = RemoteLedger::make(m_io, m_rpc, {Milliseconds{400}, Milliseconds{20}, true});
        std::vector<LedgerDeclaration> ledgers;
        ledgers.reserve(ports.size());
        for (const auto port : ports)
            ledgers.push_back({"ledger-" + std::to_string(port), "north", {"127.0.0.1", port}});
        ledger->setLedgers(ledgers, {"north"});
    }
    ~LedgerCaller()
    {
        ledger->stop();
        m_work.reset();
    }
    LedgerCaller(const LedgerCaller &) = delete;
    LedgerCaller &operator=(const LedgerCaller &) = delete;

    std::future<ClaimReply> beginClaim(const std::string &key, const std::string &nonce,
                                       Milliseconds timeout = Milliseconds{20'000})
    {
        const auto promise = std::make_shared<std::promise<ClaimReply>>();
        ledger->claim({key, 7, {m_rpc.instance, 1}, 1, nonce}, timeout,
                      [promise](ClaimReply reply) { promise->set_value(std::move(reply)); });
        return promise->get_future();
    }
    ClaimReply claim(const std::string &key, const std::string &nonce,
                     Milliseconds timeout = Milliseconds{20'000})
    {
        return beginClaim(key, nonce, timeout).get();
    }
    bool finish(const std::string &key, const std::string &nonce, Outcome outcome,
                const std::string &response)
    {
        std::promise<bool> promise;
        ledger->finish({key,
                        {m_rpc.instance, 1},
                        nonce,
                        outcome,
                        outcome == Outcome::NotRun ? 0U : 1U,
                        response},
                       Milliseconds{20'000},
                       [&](bool isRecorded) { promise.set_value(isRecorded); });
        return promise.get_future().get();
    }
    ClaimReply query(const std::string &key)
    {
        std::promise<ClaimReply> promise;
        ledger->query(key, Milliseconds{20'000},
                      [&](ClaimReply reply) { promise.set_value(std::move(reply)); });
        return promise.get_future().get();
    }
    std::optional<LedgerStatusReply> status(std::uint16_t port)
    {
        const auto client = RpcClient::make(m_io, {"127.0.0.1", port}, m_rpc);
        std::promise<std::optional<LedgerStatusReply>> promise;
        client->call(MessageKind::LedgerStatus, {}, Milliseconds{1'000}, [&](RpcResult result) {
            const auto *bytes = std::get_if<std::string>(&result);
            auto reply = bytes != nullptr ? decodeMessage<LedgerStatusReply>(*bytes)
                                          : Error{ErrorCode::Timeout, ""};
            promise.set_value(reply ? std::optional(reply.value()) : std::nullopt);
        });
        auto reply = promise.get_future().get();
        client->stop();
        return reply;
    }

    std::shared_ptr<RemoteLedger> ledger;

private:
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::jthread m_thread;
    RpcSettings m_rpc;
};

/// The settings file of one ledger process. @param clusterLines lines with the replica set or the
/// control group.
inline std::string ledgerSettings(std::uint16_t port, const std::string &dataFolder,
                                  const std::string &clusterLines,
                                  const std::string &domain = "north")
{
    std::string text = "instance: ledger-" + std::to_string(port) + "\ncluster: test\ndomain: "
        + domain + "\nlisten: 127.0.0.1:" + std::to_string(port) + "\n";
    if (!dataFolder.empty())
        text += "dataFolder: " + dataFolder + "\n";
    return text + clusterLines;
}

/// The `replicaSet` setting with the first port as the primary.
inline std::string staticReplicaSet(const std::vector<std::uint16_t> &ports)
{
    std::string text = "replicaSet:\n";
    for (std::size_t n = 0; n < ports.size(); ++n) {
        const auto member = "{instance: ledger-" + std::to_string(ports[n])
            + ", address: \"127.0.0.1:" + std::to_string(ports[n]) + "\"}\n";
        text += n == 0 ? "  primary: " + member : (n == 1 ? "  backups:\n" : "");
        if (n > 0)
            text += "    - " + member;
    }
    return text;
}

} // namespace Camphor::Testing
