/// @file When a second attempt of a slow task is worth its message.
#pragma once

#include "RetryBudget.h"
#include "RunTimeEstimator.h"

#include <optional>

namespace Camphor {

/// Hedges only single requests that may be repeated, only after 1.5 times the learned 95th
/// percentile of the run time, only into slots that nothing waits for, and for at most 2% of all
/// starts. At the percentile itself one task in twenty is due, so that ordinary tasks would use up
/// the budget before the stuck ones (docs/placement.md).
class Hedging
{
public:
    static constexpr double ExtraStarts = 0.02;
    static constexpr double CheckFactor = 1.5;

    void attemptStarted() { m_budget.earn(); }
    void hedgeStarted() { m_budget.spend(); }

    /// How long after its start an attempt is checked; nothing while too little was learned.
    [[nodiscard]] static std::optional<Milliseconds> checkAfter(const RunTimeEstimator &runTimes)
    {
        return runTimes.isLearned() ? std::optional(runTimes.p95() * CheckFactor) : std::nullopt;
    }

    /// @param freeSlots for the service. @param queued tasks that wait for them.
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
