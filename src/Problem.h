/// @file Responses of an entry to its callers: complete results, and problems that state the
/// outcome.
#pragma once

#include "Http.h"
#include "Outcome.h"
#include "Time.h"

#include <cstdint>
#include <string>

namespace Camphor {

/// The final outcome of a submission, as sent to the caller and as recorded in the ledger.
struct JobResponse
{
    Outcome outcome = Outcome::Unknown;
    std::string reason; ///< Empty for Outcome::Completed.
    std::uint32_t started = 0; ///< Number of tasks that were started, or may have been.
    /// For Outcome::Completed: the response body, or the JSON array of a job's results.
    std::string body;
    int status = 0; ///< 0 derives the status code from the outcome.
    Milliseconds retryAfter; ///< 0 omits the Retry-After header.

    auto operator<=>(const JobResponse &) const = default;

    [[nodiscard]] static JobResponse notRun(std::string reason, int status = 0,
                                            Milliseconds retryAfter = {});
    [[nodiscard]] static JobResponse unknown(std::string reason, std::uint32_t started);
};

/// Makes an application/problem+json response. The key is included unless it is empty.
[[nodiscard]] HttpResponse makeProblem(const JobResponse &jobResponse, const std::string &requestId,
                                       const std::string &key = {});

/// Returns the body of a target's response as a JSON value: a string, or {"base64": ...} if it is
/// not UTF-8.
[[nodiscard]] std::string bodyAsJson(const std::string &body);

/// Makes the 200 response of a job. @param results a JSON array.
[[nodiscard]] HttpResponse makeJobCompleted(const std::string &key, const std::string &results,
                                            const std::string &requestId);

} // namespace Camphor
