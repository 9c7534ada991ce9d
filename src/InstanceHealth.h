/// @file Detects instances whose runs fail or take too long.
#pragma once

#include "Time.h"

#include <map>
#include <string>

namespace Camphor {

/// Tracks the failures and the slowdown of each instance. Performs no I/O.
class InstanceHealth
{
public:
    /// A run has succeeded. @param slowdown its time divided by the expected one.
    void onDone(const std::string &instance, double slowdown, Milliseconds now);
    /// A run has failed, or made no progress.
    void onFailed(const std::string &instance, Milliseconds now);
    /// The last failure was caused by the task, which failed elsewhere too, so it no longer counts.
    void onTaskAtFault(const std::string &instance);
    void remove(const std::string &instance) { m_records.erase(instance); }

    /// False while an instance is on probation, when it gets one run at a time as a trial.
    [[nodiscard]] bool isTrusted(const std::string &instance) const;
    [[nodiscard]] bool mayRunTrial(const std::string &instance, Milliseconds now) const;
    /// Ratio of actual to expected run time there; 1 when unknown.
    [[nodiscard]] double slowdown(const std::string &instance) const;

    /// Removes the records of all instances for which keep() returns false.
    template <typename Keep>
    void retain(Keep keep)
    {
        std::erase_if(m_records, [&](const auto &it) { return !keep(it.first); });
    }

private:
    struct Record
    {
        int failures = 0; ///< Consecutive failures.
        double slowdown = 1.0;
        Milliseconds nextTrialAt;
    };

    std::map<std::string, Record> m_records;
};

} // namespace Camphor
