/// @file Estimates how fast each instance runs tasks, compared with the fleet.
#pragma once

#include "Time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Camphor {

/// What a run has shown of the instance that ran it.
struct SpeedSample
{
    std::string instance;
    double ratio = 1.0; ///< Measured run time divided by the one that was expected of the fleet.

    auto operator<=>(const SpeedSample &) const = default;
};

/// The lowest, the median and the highest run time factor in use.
struct SpeedRange
{
    double lowest = 1.0;
    double median = 1.0;
    double highest = 1.0;

    auto operator<=>(const SpeedRange &) const = default;
};

/// Tracks the run time factor of each instance: 1 is the fleet's, 2 is twice as long. Estimates
/// with few samples are close to 1, and old samples lose weight. Performs no I/O.
class InstanceSpeeds
{
public:
    /// Adds the runs of one step of a job, which have all succeeded. Their declared time is off by
    /// the same factor, which is estimated from the other runs of the step and not taken for a
    /// property of the instance.
    void addStep(const std::vector<SpeedSample> &samples, Milliseconds now);
    /// The run time factor of an instance; 1 when nothing is known of it.
    [[nodiscard]] double factor(const std::string &instance) const;
    [[nodiscard]] SpeedRange range() const;
    [[nodiscard]] std::size_t size() const { return m_records.size(); }
    /// The instance has restarted or is gone.
    void remove(const std::string &instance) { m_records.erase(instance); }

    /// Removes the records of all instances for which keep() returns false.
    template <typename Keep>
    void retain(Keep keep)
    {
        std::erase_if(m_records, [&](const auto &it) { return !keep(it.first); });
    }

private:
    /// Estimate of the logarithm of the factor.
    struct Record
    {
        double mean = 0;
        double variance = 0;
        Milliseconds updatedAt;
    };

    [[nodiscard]] Record current(const std::string &instance, Milliseconds now) const;

    std::map<std::string, Record> m_records;
};

} // namespace Camphor
