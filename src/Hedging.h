/// @file Decides when a slow task gets a second attempt (hedging).
#pragma once

#include "RetryBudget.h"
#include "RunTimeEstimator.h"

#include <optional>

namespace Camphor {

/// Hedges only repeatable single requests, only after 1.5 times the observed 95th percentile of the
/// run time, only into free slots while no tasks are queued, and for at most 2% of all starts. At
/// the percentile itself one task in twenty would be hedged, so that normal tasks would use up the
/// budget before the stuck ones (docs/placement.md).
class Hedging
{
public:
    static constexpr double ExtraStarts = 0.02;
    static constexpr double CheckFactor = 1.5;

    void attemptStarted() { m_budget.earn(); }
    void hedgeStarted() { m_budget.spend(); }

    /// Time from the start of an attempt to its check; nothing while there are too few samples.
    [[nodiscard]] static std::optional<Milliseconds> checkAfter(const RunTimeEstimator &runTimes)
    {
        return runTimes.isLearned() ? std::optional(runTimes.p95() * CheckFactor) : std::nullopt;
    }

    /// @param freeSlots for the service. @param queued tasks of the whole pool.
    [[nodiscard]] bool isWorthwhile(Milliseconds deadline, const RunTimeEstimator &runTimes,
                                    std::uint32_t freeSlots, std::uint32_t queued,
                                    Milliseconds now) const
    {
        return freeSlots > 0 && queued == 0 && m_budget.canSpend()
            && now + runTimes.median() <= deadline;
    }

private:
    RetryBudget m_budget{ExtraStarts, 0, 20};
};

} // namespace Camphor
