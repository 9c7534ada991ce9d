/// @file Answers of an entry to its callers: whole results, and problems with a true outcome.
#pragma once

#include "Http.h"
#include "Outcome.h"
#include "Time.h"

#include <cstdint>
#include <string>

namespace Camphor {

/// The end of a submission, as it is answered and as it is recorded in the ledger.
struct JobAnswer
{
    Outcome outcome = Outcome::Unknown;
    std::string reason; ///< Empty with Outcome::Completed.
    std::uint32_t started = 0; ///< Tasks that were started, or may have been.
    std::string body; ///< With Outcome::Completed: the body, or the JSON array of a job's results.
    int status = 0; ///< 0 derives the status code from the outcome.
    Milliseconds retryAfter; ///< 0 gives no Retry-After.

    auto operator<=>(const JobAnswer &) const = default;

    [[nodiscard]] static JobAnswer notRun(std::string reason, int status = 0,
                                          Milliseconds retryAfter = {});
    [[nodiscard]] static JobAnswer unknown(std::string reason, std::uint32_t started);
};

/// An application/problem+json answer. The key is included unless it is empty.
[[nodiscard]] HttpResponse makeProblem(const JobAnswer &answer, const std::string &requestId,
                                       const std::string &key = {});

/// A JSON value for the body of a target: a string, or {"base64": ...} if it is not UTF-8.
[[nodiscard]] std::string bodyAsJson(const std::string &body);

/// The 200 answer of a job. @param results a JSON array.
[[nodiscard]] HttpResponse makeJobCompleted(const std::string &key, const std::string &results,
                                            const std::string &requestId);

} // namespace Camphor
