/// @file Checks the callers' observations against the start logs of the targets.
#pragma once

#include "LoadObservation.h"
#include "Scenario.h"
#include "StartLog.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Camphor {

/// Number of violations of each invariant, with examples as text.
struct InvariantReport
{
    /// Tasks that may start only once, and attempt ids, that were started more than once.
    std::size_t doubleStarts = 0;
    std::size_t partialResponses = 0;
    std::size_t wrongResponses = 0;
    std::size_t falseNotRun = 0; ///< Calls reported as "not run" although a part had started.
    std::size_t lostConnections = 0; ///< Connections lost by entries that the test did not kill.
    std::size_t missingResponses = 0;
    std::vector<std::string> examples; ///< A bounded number of violations, described as text.

    [[nodiscard]] std::size_t total() const
    {
        return doubleStarts + partialResponses + wrongResponses + falseNotRun + lostConnections
            + missingResponses;
    }
    [[nodiscard]] bool allHold() const { return total() == 0; }

    auto operator<=>(const InvariantReport &) const = default;
};

/// Returns true if the tasks of a flow may start only once.
[[nodiscard]] bool startsAtMostOnce(const FlowScenario &flow);

/// Checks a run. Starts whose task id is not part of this plan are only checked for repeated
/// attempt ids.
[[nodiscard]] InvariantReport checkInvariants(const Scenario &scenario,
                                              const std::vector<PlannedRequest> &plan,
                                              const std::vector<CallRecord> &calls,
                                              const std::vector<StartRecord> &starts);

} // namespace Camphor
