/// @file Which tasks were running on instances that were lost, to tell a task that crashes its
/// instances from the tasks beside it.
#pragma once

#include "FleetTypes.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Camphor {

/// An incarnation of an instance was lost while it may have been running tasks: it has crashed, or
/// could not be reached until its leases had expired.
struct InstanceLoss
{
    InstanceKey instance;
    std::vector<std::string> tasks; ///< Names of the tasks.

    auto operator<=>(const InstanceLoss &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, tasks);
    }
};

/// What the losses say of a task.
enum class TaskSuspicion : std::uint8_t {
    None,
    Suspect, ///< One instance was lost under it.
    /// Two were lost, each while it ran other tasks too.
    StrongSuspect,
    /// Two were lost, one of them while it ran nothing else, or three.
    AtFault,
};

[[nodiscard]] const char *taskSuspicionName(TaskSuspicion suspicion);

struct CrashHistorySettings
{
    /// A loss is remembered for longer than callers resend a job.
    Milliseconds retention{120'000};
    std::size_t maxLosses = 2'000;

    auto operator<=>(const CrashHistorySettings &) const = default;
};

/// The losses that a process has seen or heard of. Processes exchange them, so that a task keeps
/// its history when its holder is lost or its caller resends the job. Performs no I/O.
class CrashHistory
{
public:
    explicit CrashHistory(const CrashHistorySettings &settings = {})
        : m_settings(settings)
    {
    }

    /// Adds a loss. @return whether it was not known yet.
    bool add(InstanceLoss loss, Milliseconds now);
    void evict(Milliseconds now);

    [[nodiscard]] TaskSuspicion suspicion(const std::string &task) const;
    /// The highest suspicion of all tasks whose names begin with a prefix.
    [[nodiscard]] TaskSuspicion highestSuspicion(const std::string &prefix) const;
    /// Increases by one with each added loss.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// The remembered losses that were added after a revision, oldest first.
    [[nodiscard]] std::vector<InstanceLoss> addedSince(std::uint64_t revision) const;
    [[nodiscard]] std::size_t size() const { return m_losses.size(); }

private:
    struct Entry
    {
        InstanceLoss loss;
        Milliseconds addedAt;
        std::uint64_t revision = 0;
    };

    struct TaskRecord
    {
        std::size_t losses = 0;
        std::size_t lossesAlone = 0; ///< Of these, while nothing else ran on the instance.
    };

    [[nodiscard]] static TaskSuspicion suspicionOf(const TaskRecord &record);
    void removeOldest();

    CrashHistorySettings m_settings;
    std::uint64_t m_revision = 0;
    std::deque<Entry> m_losses; ///< By revision.
    /// Of m_losses. An incarnation that was cut off can be lost again with other tasks.
    std::set<InstanceLoss> m_known;
    std::map<std::string, TaskRecord> m_tasks; ///< Of m_losses, by task name.
};

} // namespace Camphor
