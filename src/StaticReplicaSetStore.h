/// @file A replica set from settings, for a ledger without a control group.
#pragma once

#include "ReplicaSetStore.h"

#include <mutex>

namespace Camphor {

/// The primary never changes. The backups in the settings join the set as they catch up; only the
/// primary's process stores the current set. After a restart the primary starts a new epoch above
/// all epochs in its journal.
class StaticReplicaSetStore : public ReplicaSetStore
{
public:
    /// @param set instances and addresses from the settings.
    /// @param self this process.
    /// @param lastEpoch the highest epoch in this process's journal.
    StaticReplicaSetStore(ReplicaSet set, const ReplicaMember &self, std::uint64_t lastEpoch);

    void read(const std::string &domain, ReadCallback callback) override;
    void compareAndSet(const std::string &domain, std::uint64_t expectedEpoch, ReplicaSet next,
                       ReadCallback callback) override;

private:
    [[nodiscard]] bool isConfiguredBackup(const ReplicaMember &member) const;

    const ReplicaSet m_configuredSet;
    const bool m_isPrimary;
    std::mutex m_mutex;
    ReplicaSet m_current;
};

} // namespace Camphor
