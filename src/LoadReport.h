/// @file The report of a load run, as JSON in the documented format and as a text table.
#pragma once

#include "InvariantCheck.h"
#include "LoadObservation.h"
#include "Scenario.h"
#include "StartLog.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Camphor {

/// Everything a report is made from.
struct LoadResult
{
    const Scenario &scenario;
    const std::vector<PlannedRequest> &plan;
    const LoadObservation &observation;
    const std::vector<StartRecord> &starts;
    const InvariantReport &invariants;
};

/// Returns the value below which a share of the sorted values lies (nearest rank); 0 without
/// values.
[[nodiscard]] double quantileOfSorted(const std::vector<double> &sorted, double share);

/// Returns the ideal response time of a request: its run time, or the ideal makespan of a job on
/// the slots left free by the phase's load, plus the network round trips.
[[nodiscard]] Milliseconds idealResponse(const Scenario &scenario, const PlannedRequest &request);

/// Makes the report. `phases` contains the same figures for each phase, and also the times in
/// milliseconds, the cancelled calls, the reasons of rejections, and the utilization of the fleet.
[[nodiscard]] nlohmann::json makeReport(const LoadResult &result);

/// Formats the report as text: one line for each phase and flow, followed by messages and
/// invariants.
[[nodiscard]] std::string makeTable(const nlohmann::json &report);

} // namespace Camphor
