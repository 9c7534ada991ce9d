#include "InstanceDirectory.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>

namespace Camphor {

namespace {

/// Retention of gone instances, so that reports delayed by a partition do not revive them.
constexpr Milliseconds TombstoneRetention{60'000};
/// The same in an entry's view. Longer, because a member that was partitioned passes on its last
/// state when it is reachable again.
constexpr Milliseconds ViewTombstoneRetention{5 * 60'000};

auto orderKey(const InstanceReport &report)
{
    return std::make_tuple(report.key.startTimeMs, report.sequence);
}

/// Whether the difference between two reports matters to schedulers.
bool isMaterial(const InstanceReport &before, const InstanceReport &after)
{
    // A gap in the sequence means that other members received the reports in between: their state
    // of this instance may be newer than what this member has passed on.
    auto expected = before;
    expected.sequence = after.sequence;
    expected.warmupMs = after.warmupMs;
    return expected != after || before.sequence + 1 != after.sequence;
}

} // namespace

bool InstanceDirectory::report(const InstanceReport &report, Milliseconds now)
{
    auto &record = m_records[report.key.id];
    const bool isNew = record.revision == 0;
    if (!isNew && orderKey(report) <= orderKey(record.report))
        return false;
    if (record.hasLeft && record.report.key == report.key)
        return false;
    record.hasLeft = false;
    record.lastContactAt = now;
    const bool hasChanged = isNew || isMaterial(record.report, report);
    record.report = report;
    if (hasChanged)
        record.revision = ++m_revision;
    return hasChanged;
}

bool InstanceDirectory::leave(const std::string &id, std::uint64_t startTimeMs, Milliseconds now)
{
    const auto it = m_records.find(id);
    if (it == m_records.end()
        || (startTimeMs != 0 && it->second.report.key.startTimeMs != startTimeMs))
        return false;
    auto &record = it->second;
    record.hasLeft = true;
    record.lastContactAt = now;
    if (record.report.state == InstanceState::Gone)
        return false;
    record.report.state = InstanceState::Gone;
    ++record.report.sequence;
    record.revision = ++m_revision;
    return true;
}

bool InstanceDirectory::expire(Milliseconds now)
{
    const auto before = m_revision;
    for (auto &[id, record] : m_records) {
        if (record.report.state == InstanceState::Gone
            || now - record.lastContactAt < m_contactTimeout)
            continue;
        record.report.state = InstanceState::Gone;
        record.revision = ++m_revision;
    }
    std::erase_if(m_records, [&](const auto &it) {
        return it.second.report.state == InstanceState::Gone
            && now - it.second.lastContactAt > TombstoneRetention;
    });
    return m_revision != before;
}

std::vector<InstanceReport> InstanceDirectory::changesSince(std::uint64_t revision) const
{
    std::vector<InstanceReport> changes;
    for (const auto &[id, record] : m_records) {
        if (record.revision > revision)
            changes.push_back(record.report);
    }
    return changes;
}

bool InstanceView::merge(const InstanceReport &report, Milliseconds now)
{
    const auto it = m_instances.find(report.key.id);
    const bool isGone = report.state == InstanceState::Gone;
    if (it == m_instances.end()) {
        // A member that was down or partitioned may pass on an older report of a gone instance.
        if (isGone)
            m_goneSince[report.key.id] = now;
        m_instances.emplace(report.key.id, report);
        return !isGone;
    }
    const bool isNewer = orderKey(report) > orderKey(it->second)
        || (orderKey(report) == orderKey(it->second) && report.state > it->second.state);
    if (!isNewer)
        return false;
    it->second = report;
    if (isGone)
        m_goneSince[report.key.id] = now;
    else
        m_goneSince.erase(report.key.id);
    return true;
}

bool InstanceView::evictGone(Milliseconds now)
{
    return std::erase_if(m_goneSince,
                         [&](const auto &it) {
                             const auto &[id, since] = it;
                             if (now - since <= ViewTombstoneRetention)
                                 return false;
                             m_instances.erase(id);
                             return true;
                         })
        > 0;
}

} // namespace Camphor
