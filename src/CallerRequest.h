/// @file What a caller asks for, checked and independent of HTTP.
#pragma once

#include "DispatchTypes.h"
#include "Http.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Camphor {

/// A request or a job after all checks that need no other state.
struct Submission
{
    std::string requestId;
    std::string key; ///< The caller's own key or ticket; empty when there is none.
    std::string service;
    std::string team;
    std::optional<Urgency> urgency; ///< Default from the declaration.
    std::optional<Milliseconds> deadline; ///< Time from now; default from the declaration.
    std::optional<bool> isRepeatable; ///< Default from the declaration.
    bool isJob = false;
    std::vector<std::shared_ptr<const std::string>> inputs; ///< One for each task.
    std::uint64_t payloadHash = 0; ///< XXH3 of kind, service and inputs.
};

/// POST /v1/requests/{service}. The error's message is a reason for the caller.
[[nodiscard]] Result<Submission> parseSingleRequest(HttpRequest request,
                                                    const std::string &service);

/// POST /v1/jobs. A task's input that is a JSON string is sent to the target as its characters;
/// any other value is sent as JSON text.
[[nodiscard]] Result<Submission> parseJob(const HttpRequest &request);

/// POST /v1/tickets: the number of keys that are asked for.
[[nodiscard]] Result<std::uint32_t> parseTicketCount(const std::string &body);

/// PUT /v1/targets/{id}.
[[nodiscard]] Result<TargetAnnouncement> parseAnnouncement(const std::string &id,
                                                           const std::string &body);

/// Whether a text may be used as a key: 1 to 200 visible ASCII characters.
[[nodiscard]] bool isValidKey(std::string_view key);

} // namespace Camphor
