#include "StaticReplicaSetStore.h"

#include <algorithm>
#include <utility>

namespace Camphor {

StaticReplicaSetStore::StaticReplicaSetStore(ReplicaSet set, const ReplicaMember &self,
                                             std::uint64_t lastEpoch)
    : m_configuredSet(std::move(set))
    , m_isPrimary(m_configuredSet.primary.instance == self.instance)
{
    m_current.epoch = std::max<std::uint64_t>(lastEpoch, 1);
    m_current.primary = m_isPrimary ? self : m_configuredSet.primary;
}

void StaticReplicaSetStore::read(const std::string &, ReadCallback callback)
{
    std::unique_lock lock(m_mutex);
    auto current = m_current;
    lock.unlock();
    callback(std::move(current));
}

void StaticReplicaSetStore::compareAndSet(const std::string &, std::uint64_t expectedEpoch,
                                          ReplicaSet next, ReadCallback callback)
{
    if (!m_isPrimary || next.primary.instance != m_configuredSet.primary.instance
        || !std::ranges::all_of(next.backups,
                                [&](const auto &it) { return isConfiguredBackup(it); })) {
        callback(Error{ErrorCode::Unavailable,
                       "the change is not allowed by the replica set in the settings"});
        return;
    }
    std::unique_lock lock(m_mutex);
    if (expectedEpoch != m_current.epoch) {
        lock.unlock();
        callback(Error{ErrorCode::Conflict, "the current epoch differs from the expected one"});
        return;
    }
    next.epoch = expectedEpoch + 1;
    m_current = next;
    lock.unlock();
    callback(std::move(next));
}

bool StaticReplicaSetStore::isConfiguredBackup(const ReplicaMember &member) const
{
    return std::ranges::any_of(m_configuredSet.backups, [&](const auto &it) {
        return it.instance == member.instance && it.address == member.address;
    });
}

} // namespace Camphor
