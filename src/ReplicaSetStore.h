/// @file The interface through which ledger replicas read and change their replica sets.
#pragma once

#include "Result.h"
#include "Settings.h"
#include "Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Camphor {

/// One member of a replica set.
struct ReplicaMember
{
    std::string instance;
    std::uint64_t incarnation = 0; ///< A replica without a disk is a new member after each restart.
    std::string address; ///< "IP:PORT".

    auto operator<=>(const ReplicaMember &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation, address);
    }
};

/// The committed replica set of one failure domain's ledger.
struct ReplicaSet
{
    /// Increases by one with each change; 0 means that no set was committed yet.
    std::uint64_t epoch = 0;
    ReplicaMember primary;
    std::vector<ReplicaMember> backups; ///< In sync: each stores every committed record.

    auto operator<=>(const ReplicaSet &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, primary, backups);
    }
};

/// Reads and changes replica sets. Callbacks are called exactly once, from any thread.
class ReplicaSetStore
{
public:
    using ReadCallback = std::function<void(Result<ReplicaSet>)>;

    virtual ~ReplicaSetStore() = default;

    virtual void read(const std::string &domain, ReadCallback callback) = 0;
    /// Commits `next` with epoch expectedEpoch + 1 if the current epoch is expectedEpoch; otherwise
    /// the error is ErrorCode::Conflict. After ErrorCode::Timeout the change may have been
    /// committed; read the set again to find out.
    virtual void compareAndSet(const std::string &domain, std::uint64_t expectedEpoch,
                               ReplicaSet next, ReadCallback callback) = 0;
};

} // namespace Camphor
