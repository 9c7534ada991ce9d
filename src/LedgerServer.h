/// @file One ledger replica as a server: sockets, timers and threads around LedgerReplica.
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

/// What a ledger server needs to know.
struct LedgerServerSettings
{
    std::string cluster;
    std::string instance;
    std::string domain;
    Address listen;
    std::uint64_t incarnation = 0; ///< Wall clock at the start, in milliseconds.
    LedgerTiming timing;
    RetentionDeclaration retention;
    /// A snapshot is taken when the journal has grown by this and by the size of the state.
    std::uint64_t snapshotBytes = std::uint64_t{64} * 1024 * 1024;
    std::size_t maxConnections = 256;

    auto operator<=>(const LedgerServerSettings &) const = default;
};

/// Makes the store once the member's identity and the last epoch of its journal are known.
using ReplicaSetStoreFactory = std::function<std::shared_ptr<ReplicaSetStore>(
    const ReplicaMember &self, std::uint64_t lastEpoch)>;

/// The server. Thread-safe.
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
    /// For claims that are made and forgotten from now on.
    virtual void setRetention(const RetentionDeclaration &retention) = 0;
    /// Takes no new calls, answers those that wait within the limit, stops and calls onDone.
    virtual void drain(Milliseconds limit, std::function<void()> onDone) = 0;
};

} // namespace Camphor
