/// @file Timers for deadlines and hedges of tasks.
#pragma once

#include "DispatchTypes.h"

#include <cmath>
#include <cstdint>
#include <map>
#include <vector>

namespace Camphor {

/// Timers in buckets of 10 ms. A timer is never removed early; when it fires, its owner checks
/// whether it still applies, so that cancellation costs nothing.
class TimerQueue
{
public:
    enum class Kind : std::uint8_t { Deadline, Hedge };

    struct Timer
    {
        TaskHandle handle = 0;
        std::uint32_t attempt = 0;
        Kind kind = Kind::Deadline;
    };

    void add(Milliseconds at, const Timer &timer) { m_buckets[bucketOf(at) + 1].push_back(timer); }

    /// Removes and returns the timers that are due, at most one bucket late.
    [[nodiscard]] std::vector<Timer> takeDue(Milliseconds now)
    {
        std::vector<Timer> due;
        const auto limit = bucketOf(now);
        while (!m_buckets.empty() && m_buckets.begin()->first <= limit) {
            const auto &timers = m_buckets.begin()->second;
            due.insert(due.end(), timers.begin(), timers.end());
            m_buckets.erase(m_buckets.begin());
        }
        return due;
    }

private:
    static constexpr double BucketMs = 10;

    /// Clamps the instant, because deadlines come from callers and may be any number.
    static std::int64_t bucketOf(Milliseconds at)
    {
        constexpr double Limit = 1e15;
        const auto bucket = std::floor(at.count() / BucketMs);
        return static_cast<std::int64_t>(bucket < Limit ? bucket : Limit);
    }

    std::map<std::int64_t, std::vector<Timer>> m_buckets;
};

} // namespace Camphor
