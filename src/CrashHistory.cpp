#include "CrashHistory.h"

#include <algorithm>
#include <iterator>

namespace Camphor {

const char *taskSuspicionName(TaskSuspicion suspicion)
{
    switch (suspicion) {
    case TaskSuspicion::None:
        return "none";
    case TaskSuspicion::Suspect:
        return "suspect";
    case TaskSuspicion::StrongSuspect:
        return "strong-suspect";
    case TaskSuspicion::AtFault:
        return "at-fault";
    }
    return "none";
}

bool CrashHistory::add(InstanceLoss loss, Milliseconds now)
{
    // Another process may have sent it in any order.
    std::ranges::sort(loss.tasks);
    const auto repeated = std::ranges::unique(loss.tasks);
    loss.tasks.erase(repeated.begin(), repeated.end());
    if (loss.tasks.empty() || !m_known.insert(loss).second)
        return false;
    for (const auto &task : loss.tasks) {
        auto &record = m_tasks[task];
        ++record.losses;
        record.lossesAlone += loss.tasks.size() == 1 ? 1 : 0;
    }
    m_losses.push_back({std::move(loss), now, ++m_revision});
    evict(now);
    return true;
}

void CrashHistory::evict(Milliseconds now)
{
    while (!m_losses.empty()
           && (m_losses.size() > m_settings.maxLosses
               || now - m_losses.front().addedAt > m_settings.retention))
        removeOldest();
}

void CrashHistory::removeOldest()
{
    const auto loss = std::move(m_losses.front().loss);
    m_losses.pop_front();
    m_known.erase(loss);
    for (const auto &task : loss.tasks) {
        const auto it = m_tasks.find(task);
        it->second.lossesAlone -= loss.tasks.size() == 1 ? 1 : 0;
        if (--it->second.losses == 0)
            m_tasks.erase(it);
    }
}

TaskSuspicion CrashHistory::suspicionOf(const TaskRecord &record)
{
    constexpr std::size_t LossesOfAnyTask = 3;
    if (record.losses == 1)
        return TaskSuspicion::Suspect;
    const bool isAtFault = record.lossesAlone > 0 || record.losses >= LossesOfAnyTask;
    return isAtFault ? TaskSuspicion::AtFault : TaskSuspicion::StrongSuspect;
}

TaskSuspicion CrashHistory::suspicion(const std::string &task) const
{
    const auto it = m_tasks.find(task);
    return it == m_tasks.end() ? TaskSuspicion::None : suspicionOf(it->second);
}

TaskSuspicion CrashHistory::highestSuspicion(const std::string &prefix) const
{
    auto highest = TaskSuspicion::None;
    for (auto it = m_tasks.lower_bound(prefix);
         it != m_tasks.end() && it->first.starts_with(prefix); ++it)
        highest = std::max(highest, suspicionOf(it->second));
    return highest;
}

std::vector<InstanceLoss> CrashHistory::addedSince(std::uint64_t revision) const
{
    const auto first = std::ranges::upper_bound(m_losses, revision, {}, &Entry::revision);
    std::vector<InstanceLoss> losses;
    std::transform(first, m_losses.end(), std::back_inserter(losses),
                   [](const Entry &it) { return it.loss; });
    return losses;
}

} // namespace Camphor
