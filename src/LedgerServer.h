/// @file The server of one ledger replica: sockets, timers and threads around LedgerReplica.
#pragma once

#include "LedgerMessages.h"
#include "LedgerReplica.h"
#include "ReplicaSetStore.h"
#include "RpcServer.h"
#include "Settings.h"
#include "SyncedFile.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// Configuration of a ledger server.
struct LedgerServerSettings
{
    std::string cluster;
    std::string instance;
    std::string domain;
    Address listen;
    std::uint64_t incarnation = 0; ///< Wall clock at process start, in milliseconds.
    LedgerTiming timing;
    RetentionDeclaration retention;
    /// A snapshot is taken when the journal exceeds both this size and that of the last snapshot.
    std::uint64_t snapshotBytes = std::uint64_t{64} * 1024 * 1024;
    std::size_t maxConnections = 256;

    auto operator<=>(const LedgerServerSettings &) const = default;
};

/// Creates the store once the replica's identity and the highest epoch of its journal are known.
using ReplicaSetStoreFactory = std::function<std::shared_ptr<ReplicaSetStore>(
    const ReplicaMember &self, std::uint64_t lastEpoch)>;

/// A running ledger replica. Thread-safe.
class LedgerServer
{
public:
    /// Recovers the state from the folder and starts to listen.
    /// @param folder nullptr for a replica without a disk.
    [[nodiscard]] static Result<std::shared_ptr<LedgerServer>>
    make(boost::asio::io_context &io, const LedgerServerSettings &settings,
         std::shared_ptr<SyncedFolder> folder, const ReplicaSetStoreFactory &makeStore);

    virtual ~LedgerServer() = default;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Applies to all later claims and evictions.
    virtual void setRetention(const RetentionDeclaration &retention) = 0;
    /// Refuses new calls other than replication, waits up to the limit for pending replies, then
    /// stops and calls onDone.
    virtual void drain(Milliseconds limit, std::function<void()> onDone) = 0;
};

} // namespace Camphor
