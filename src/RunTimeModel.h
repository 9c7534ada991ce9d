/// @file Estimates run times from declared and measured ones.
#pragma once

#include "Time.h"

#include <map>
#include <string>

namespace Camphor {

/// Tracks for each queue how measured run times relate to declared ones. Performs no I/O.
class RunTimeModel
{
public:
    /// Adds the measured time of a run that has succeeded.
    void addSample(const std::string &queue, Milliseconds declared, Milliseconds measured);
    /// Returns the expected time of a run.
    [[nodiscard]] Milliseconds estimate(const std::string &queue, Milliseconds declared) const;

    /// Removes the records of all queues for which keep() returns false.
    template <typename Keep>
    void retain(Keep keep)
    {
        std::erase_if(m_records, [&](const auto &it) { return !keep(it.first); });
    }

private:
    struct Record
    {
        double ratio = 1.0; ///< Moving average of measured time divided by declared time.
        double mean = 0; ///< Moving average of the measured times, in milliseconds.
        int samples = 0;
    };

    std::map<std::string, Record> m_records;
};

} // namespace Camphor
