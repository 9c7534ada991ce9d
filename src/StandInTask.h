/// @file Inputs and answers of stand-in targets, made so that a caller can check an answer.
#pragma once

#include "Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Camphor {

/// What a task asks of a stand-in target.
struct StandInTask
{
    std::string id; ///< Chosen by the caller and unique; returned in the answer.
    Milliseconds runTime; ///< The true run time.
    std::size_t answerBytes = 0; ///< Size of the filling of the answer.

    auto operator<=>(const StandInTask &) const = default;
};

/// Largest filling that a task may ask for.
inline constexpr std::size_t MaxAnswerBytes = std::size_t{1024} * 1024;

/// The input as JSON: {"id","runMs","answerBytes"}.
[[nodiscard]] std::string encodeTask(const StandInTask &task);

/// Reads an input. Anything but such a JSON object is a task without id and with run time 0.
[[nodiscard]] StandInTask decodeTask(std::string_view input);

/// The answer: {"id","filling","checksum"}. A task without an id gets its input back unchanged.
[[nodiscard]] std::string makeAnswer(const StandInTask &task, std::string_view input);

/// What a caller finds when it checks an answer.
enum class AnswerCheck : std::uint8_t { Whole, Partial, Wrong };

/// Compares an answer with the task: Partial if it is not whole, Wrong if it belongs to another
/// task or its checksum does not match.
[[nodiscard]] AnswerCheck checkAnswer(const StandInTask &task, std::string_view answer);

} // namespace Camphor
