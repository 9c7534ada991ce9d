/// @file Sends a planned load to the entries. Arrivals never wait for responses.
#pragma once

#include "Http.h"
#include "LoadObservation.h"
#include "Scenario.h"

#include <string>
#include <string_view>
#include <vector>

namespace Camphor {

/// Settings of a run besides its scenario and plan.
struct LoadSettings
{
    std::vector<Address> entries;
    std::vector<Address> killed; ///< Entries that the test kills during the run.

    auto operator<=>(const LoadSettings &) const = default;
};

/// Makes the HTTP request of a planned submission.
[[nodiscard]] HttpRequest makeCall(const FlowScenario &flow, const PlannedRequest &request);

/// Sets the outcome, the response check and the reason of a call from its response.
void readResponse(const FlowScenario &flow, const PlannedRequest &request,
                  const HttpResponse &response, CallRecord &call);

/// Sums the message counters of one /metrics text.
[[nodiscard]] MessageCounts readMessageCounts(std::string_view metrics);

/// Runs the whole plan and returns when every call has ended.
[[nodiscard]] LoadObservation runLoad(const Scenario &scenario,
                                      const std::vector<PlannedRequest> &plan,
                                      const LoadSettings &settings);

} // namespace Camphor
