/// @file Finds instances that fail what they start, and learns how fast each one is.
#pragma once

#include "Time.h"

#include <map>
#include <string>

namespace Camphor {

/// What the runs of an instance say about it. Pure.
class InstanceHealth
{
public:
    /// A run has ended as done. @param slowdown its time over the expected one.
    void onDone(const std::string &instance, double slowdown, Milliseconds now);
    /// A run has failed, or made no progress.
    void onFailed(const std::string &instance, Milliseconds now);
    /// The failure was the task's own: it failed elsewhere too.
    void onTaskAtFault(const std::string &instance);
    void forget(const std::string &instance) { m_records.erase(instance); }

    /// False while an instance is on probation; then it may have one run at a time as a trial.
    [[nodiscard]] bool isTrusted(const std::string &instance) const;
    [[nodiscard]] bool mayTry(const std::string &instance, Milliseconds now) const;
    /// How much longer than expected runs take there; 1 when nothing is known.
    [[nodiscard]] double slowdown(const std::string &instance) const;

    /// Forgets every instance that is not to be kept.
    template <typename Keep>
    void retain(Keep keep)
    {
        std::erase_if(m_records, [&](const auto &it) { return !keep(it.first); });
    }

private:
    struct Record
    {
        int failures = 0; ///< In a row.
        double slowdown = 1.0;
        Milliseconds triableAt;
    };

    std::map<std::string, Record> m_records;
};

} // namespace Camphor
