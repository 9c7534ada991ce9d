#include "StaticReplicaSetStore.h"

#include <algorithm>
#include <utility>

namespace Camphor {

StaticReplicaSetStore::StaticReplicaSetStore(ReplicaSet set, const ReplicaMember &self,
                                             std::uint64_t lastEpoch)
    : m_named(std::move(set))
    , m_isPrimary(m_named.primary.instance == self.instance)
{
    m_current.epoch = std::max<std::uint64_t>(lastEpoch, 1);
    m_current.primary = m_isPrimary ? self : m_named.primary;
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
    if (!m_isPrimary || next.primary.instance != m_named.primary.instance
        || !std::ranges::all_of(next.backups, [&](const auto &it) { return isNamed(it); })) {
        callback(Error{ErrorCode::Unavailable, "the replica set is fixed by settings"});
        return;
    }
    std::unique_lock lock(m_mutex);
    if (expectedEpoch != m_current.epoch) {
        lock.unlock();
        callback(Error{ErrorCode::Conflict, "the epoch has changed"});
        return;
    }
    next.epoch = expectedEpoch + 1;
    m_current = next;
    lock.unlock();
    callback(std::move(next));
}

bool StaticReplicaSetStore::isNamed(const ReplicaMember &member) const
{
    return std::ranges::any_of(m_named.backups, [&](const auto &it) {
        return it.instance == member.instance && it.address == member.address;
    });
}

} // namespace Camphor
