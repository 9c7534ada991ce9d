/// @file Corrects declared run times by measured ones.
#pragma once

#include "Time.h"

#include <map>
#include <string>

namespace Camphor {

/// Learns per queue how far declared run times are off. Pure.
class RunTimeModel
{
public:
    /// A run took this long.
    void learn(const std::string &queue, Milliseconds declared, Milliseconds measured);
    /// The expected time of a run.
    [[nodiscard]] Milliseconds expect(const std::string &queue, Milliseconds declared) const;

    /// Forgets every queue that is not to be kept.
    template <typename Keep>
    void retain(Keep keep)
    {
        std::erase_if(m_records, [&](const auto &it) { return !keep(it.first); });
    }

private:
    struct Record
    {
        double ratio = 1.0; ///< Measured over declared.
        double mean = 0; ///< Of the measured times, in milliseconds.
        int samples = 0;
    };

    std::map<std::string, Record> m_records;
};

} // namespace Camphor
