/// @file Validated requests of callers, independent of HTTP.
#pragma once

#include "DispatchTypes.h"
#include "Http.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Camphor {

/// A request or a job that has passed all checks which need no other state.
struct Submission
{
    std::string requestId;
    std::string key; ///< The caller's own key or a ticket; empty when there is none.
    std::string service;
    std::string team;
    std::optional<Urgency> urgency; ///< Defaults to the value in the declaration.
    /// Time from now; defaults to the value in the declaration.
    std::optional<Milliseconds> deadline;
    std::optional<bool> isRepeatable; ///< Defaults to the value in the declaration.
    bool isJob = false;
    std::vector<std::shared_ptr<const std::string>> inputs; ///< One input for each task.
    std::uint64_t payloadHash = 0; ///< XXH3 hash of kind, service and inputs.
};

/// Parses POST /v1/requests/{service}. The message of an error is the reason given to the caller.
[[nodiscard]] Result<Submission> parseSingleRequest(HttpRequest request,
                                                    const std::string &service);

/// Parses POST /v1/jobs. A task input that is a JSON string is sent to the target as its
/// characters; any other value is sent as JSON text.
[[nodiscard]] Result<Submission> parseJob(const HttpRequest &request);

/// Parses POST /v1/tickets. Returns the number of requested keys.
[[nodiscard]] Result<std::uint32_t> parseTicketCount(const std::string &body);

/// Parses PUT /v1/targets/{id}.
[[nodiscard]] Result<TargetAnnouncement> parseAnnouncement(const std::string &id,
                                                           const std::string &body);

/// Returns whether a text may be used as a key: 1 to 200 visible ASCII characters.
[[nodiscard]] bool isValidKey(std::string_view key);

} // namespace Camphor
