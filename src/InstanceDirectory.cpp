#include "InstanceDirectory.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>

namespace Camphor {

namespace {

/// How long a gone instance is remembered, so that reports delayed by a partition don't revive it.
constexpr Milliseconds TombstoneTime{60'000};
/// The same in an entry's view. Longer, because a member that was cut off passes on its last word
/// when it is reached again.
constexpr Milliseconds ViewTombstoneTime{5 * 60'000};

auto orderOf(const InstanceReport &report)
{
    return std::make_tuple(report.key.bornMs, report.sequence);
}

/// Whether a change of the report matters to those who place work.
bool isMaterial(const InstanceReport &before, const InstanceReport &after)
{
    // A gap in the sequence means that other members heard the reports in between: what they say
    // about this instance may be newer than what was passed on from here.
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
    if (!isNew && orderOf(report) <= orderOf(record.report))
        return false;
    if (record.hasLeft && record.report.key == report.key)
        return false;
    record.hasLeft = false;
    record.heardAt = now;
    const bool hasChanged = isNew || isMaterial(record.report, report);
    record.report = report;
    if (hasChanged)
        record.revision = ++m_revision;
    return hasChanged;
}

bool InstanceDirectory::leave(const std::string &id, std::uint64_t bornMs, Milliseconds now)
{
    const auto it = m_records.find(id);
    if (it == m_records.end() || (bornMs != 0 && it->second.report.key.bornMs != bornMs))
        return false;
    auto &record = it->second;
    record.hasLeft = true;
    record.heardAt = now;
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
        if (record.report.state == InstanceState::Gone || now - record.heardAt < m_silence)
            continue;
        record.report.state = InstanceState::Gone;
        record.revision = ++m_revision;
    }
    std::erase_if(m_records, [&](const auto &it) {
        return it.second.report.state == InstanceState::Gone
            && now - it.second.heardAt > TombstoneTime;
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
        if (isGone)
            return false;
        m_instances.emplace(report.key.id, report);
        return true;
    }
    const bool isNewer = orderOf(report) > orderOf(it->second)
        || (orderOf(report) == orderOf(it->second) && report.state > it->second.state);
    if (!isNewer)
        return false;
    it->second = report;
    if (isGone)
        m_goneSince[report.key.id] = now;
    else
        m_goneSince.erase(report.key.id);
    return true;
}

bool InstanceView::forgetGone(Milliseconds now)
{
    return std::erase_if(m_goneSince,
                         [&](const auto &it) {
                             const auto &[id, since] = it;
                             if (now - since <= ViewTombstoneTime)
                                 return false;
                             m_instances.erase(id);
                             return true;
                         })
        > 0;
}

} // namespace Camphor
