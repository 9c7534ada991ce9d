/// @file A replica set from settings, for a ledger without a control group.
#pragma once

#include "ReplicaSetStore.h"

#include <mutex>

namespace Camphor {

/// The primary never changes. Backups named in the settings join it as they catch up; the primary's
/// own process keeps track of them. A restarted primary starts a new epoch above all that its
/// journal knows.
class StaticReplicaSetStore : public ReplicaSetStore
{
public:
    /// @param set from settings: instances and addresses. @param self this process.
    /// @param lastEpoch the highest epoch in this process's journal.
    StaticReplicaSetStore(ReplicaSet set, const ReplicaMember &self, std::uint64_t lastEpoch);

    void read(const std::string &domain, ReadCallback callback) override;
    void compareAndSet(const std::string &domain, std::uint64_t expectedEpoch, ReplicaSet next,
                       ReadCallback callback) override;

private:
    [[nodiscard]] bool isNamed(const ReplicaMember &member) const;

    const ReplicaSet m_named;
    const bool m_isPrimary;
    std::mutex m_mutex;
    ReplicaSet m_current;
};

} // namespace Camphor
