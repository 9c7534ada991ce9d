/// @file Joins what the callers saw with the start logs of the targets.
#pragma once

#include "LoadObservation.h"
#include "Scenario.h"
#include "StartLog.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Camphor {

/// Number of violations of each invariant, and examples for a person.
struct InvariantReport
{
    std::size_t doubleStarts = 0; ///< Of tasks that may start once, and of attempt ids.
    std::size_t partialAnswers = 0;
    std::size_t wrongAnswers = 0;
    std::size_t falseNotRun = 0; ///< Answered "not run" although a part had started.
    std::size_t cutOff = 0; ///< By an entry that was not killed on purpose.
    std::size_t lost = 0;
    std::vector<std::string> examples; ///< A bounded number of violations in words.

    [[nodiscard]] std::size_t total() const
    {
        return doubleStarts + partialAnswers + wrongAnswers + falseNotRun + cutOff + lost;
    }
    [[nodiscard]] bool isKept() const { return total() == 0; }

    auto operator<=>(const InvariantReport &) const = default;
};

/// True if the tasks of a flow may start only once.
[[nodiscard]] bool isSingleStart(const FlowScenario &flow);

/// Checks a run. Starts whose task id is not of this plan only count for the attempt ids.
[[nodiscard]] InvariantReport checkInvariants(const Scenario &scenario,
                                              const std::vector<PlannedRequest> &plan,
                                              const std::vector<CallRecord> &calls,
                                              const std::vector<StartRecord> &starts);

} // namespace Camphor
