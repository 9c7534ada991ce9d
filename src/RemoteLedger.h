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

/// Timeouts and retries of a RemoteLedger.
struct RemoteLedgerSettings
{
    /// Timeout of one attempt, after which the next replica is tried.
    Milliseconds attemptTimeout{1'000};
    /// Pause before a retry.
    Milliseconds retryPause{20};
    /// Whether to spread the buckets evenly over the declared domains until setBucketMap() is
    /// called. Otherwise keys that are not tickets are unreachable until then. Where a control
    /// group exists, an entry must not assume a map: if entries disagree about the home of a key,
    /// it could be granted twice.
    bool spreadsBuckets = false;

    auto operator<=>(const RemoteLedgerSettings &) const = default;
};

/// Sends each call to the primary of its key's home domain, and retries with the same nonce until
/// the timeout. Thread-safe.
class RemoteLedger : public SubmissionLedger
{
public:
    [[nodiscard]] static std::shared_ptr<RemoteLedger>
    make(boost::asio::io_context &io, const RpcSettings &rpc,
         const RemoteLedgerSettings &settings = {});

    /// Applies the ledger addresses and failure domains of a declaration. Must be called for every
    /// new version. Pending calls continue with the new addresses.
    virtual void applyDeclaration(const Declaration &declaration) = 0;
    /// Same as applyDeclaration, from its parts.
    virtual void setLedgers(const std::vector<LedgerDeclaration> &ledgers,
                            const std::vector<std::string> &domains) = 0;
    /// Replaces the even spread of buckets over the declared domains.
    virtual void setBucketMap(BucketMap map) = 0;
    /// The home domain of a key; empty if no domain is declared.
    [[nodiscard]] virtual std::string homeDomainOf(const std::string &key) const = 0;
    /// Number of messages sent to ledgers.
    [[nodiscard]] virtual std::uint64_t sentMessages() const = 0;
    /// Completes all pending calls as unreachable and closes all connections.
    virtual void stop() = 0;
};

} // namespace Camphor
