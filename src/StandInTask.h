/// @file Inputs and responses of stand-in targets, made so that a caller can verify a response.
#pragma once

#include "Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Camphor {

/// Parameters of a task for a stand-in target.
struct StandInTask
{
    std::string id; ///< Unique id chosen by the caller; returned in the response.
    Milliseconds runTime; ///< The true run time.
    std::size_t responseBytes = 0; ///< Size of the padding in the response.

    auto operator<=>(const StandInTask &) const = default;
};

/// Largest padding that a task may request.
inline constexpr std::size_t MaxResponseBytes = std::size_t{1024} * 1024;

/// Encodes the input as JSON: {"id","runMs","answerBytes"}.
[[nodiscard]] std::string encodeTask(const StandInTask &task);

/// Parses an input. Anything other than such a JSON object is a task without id and with run time
/// 0.
[[nodiscard]] StandInTask decodeTask(std::string_view input);

/// Makes the response: {"id","filling","checksum"}. A task without an id gets its input back
/// unchanged.
[[nodiscard]] std::string makeResponseBody(const StandInTask &task, std::string_view input);

/// Result of verifying a response.
enum class ResponseCheck : std::uint8_t { Complete, Partial, Wrong };

/// Compares a response with the task: Partial if it is incomplete, Wrong if it belongs to another
/// task or its checksum does not match.
[[nodiscard]] ResponseCheck checkResponse(const StandInTask &task, std::string_view response);

} // namespace Camphor
