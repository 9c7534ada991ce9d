/// @file The report of a load run, as JSON in the format of the design page and as a table.
#pragma once

#include "InvariantCheck.h"
#include "LoadObservation.h"
#include "Scenario.h"
#include "StartLog.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Camphor {

/// Everything a report is made of.
struct LoadResult
{
    const Scenario &scenario;
    const std::vector<PlannedRequest> &plan;
    const LoadObservation &observation;
    const std::vector<StartRecord> &starts;
    const InvariantReport &invariants;
};

/// The value below which a share of the sorted values lies (nearest rank); 0 without values.
[[nodiscard]] double quantileOfSorted(const std::vector<double> &sorted, double share);

/// The ideal response time of a request: its run time, or the ideal makespan of a job on the slots
/// that the phase's load leaves free, plus the network round trips.
[[nodiscard]] Milliseconds idealResponse(const Scenario &scenario, const PlannedRequest &request);

/// The report. `phases` holds the same figures for each phase, and besides them the times in
/// milliseconds, cancelled calls, the reasons of refusals, and the busy share of the fleet.
[[nodiscard]] nlohmann::json makeReport(const LoadResult &result);

/// The report as text: a line for each phase and flow, then messages and invariants.
[[nodiscard]] std::string makeTable(const nlohmann::json &report);

} // namespace Camphor
