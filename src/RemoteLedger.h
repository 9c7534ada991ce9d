/// @file The submission ledgers of all failure domains, reached over TCP.
#pragma once

#include "Declaration.h"
#include "LedgerHome.h"
#include "RpcServer.h"
#include "SubmissionLedger.h"

#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// How a RemoteLedger sends again.
struct RemoteLedgerSettings
{
    /// Longest wait for one replica before the next one is asked.
    Milliseconds attemptTimeout{1'000};
    /// Pause before a call is sent again.
    Milliseconds retryPause{20};
    /// Spread the buckets over the declared domains until setBucketMap() is called. Without this,
    /// keys that are not tickets are unreachable until then. An entry must not guess where a
    /// control group exists: two homes for one key would grant it twice.
    bool spreadsBuckets = false;

    auto operator<=>(const RemoteLedgerSettings &) const = default;
};

/// Finds the home of a key and that domain's primary, and sends again, with the same nonce, until
/// the timeout. Thread-safe.
class RemoteLedger : public SubmissionLedger
{
public:
    [[nodiscard]] static std::shared_ptr<RemoteLedger>
    make(boost::asio::io_context &io, const RpcSettings &rpc,
         const RemoteLedgerSettings &settings = {});

    /// Takes ledger addresses and failure domains from a declaration. Call it for every new
    /// version. Calls that wait go on with the new addresses.
    virtual void applyDeclaration(const Declaration &declaration) = 0;
    /// As applyDeclaration, from its parts.
    virtual void setLedgers(const std::vector<LedgerDeclaration> &ledgers,
                            const std::vector<std::string> &domains) = 0;
    /// Replaces the even spread of buckets over the declared domains.
    virtual void setBucketMap(BucketMap map) = 0;
    /// The failure domain that remembers a key; empty when no domain is declared.
    [[nodiscard]] virtual std::string homeOf(const std::string &key) const = 0;
    /// Messages sent to ledgers so far.
    [[nodiscard]] virtual std::uint64_t sentMessages() const = 0;
    /// Answers all calls that wait as unreachable and closes all connections.
    virtual void stop() = 0;
};

} // namespace Camphor
