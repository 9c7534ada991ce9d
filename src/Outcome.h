/// @file The outcome of a task, a request or a job, as it is reported to the caller.
#pragma once

#include <string>

namespace Camphor {

/// What is known about an execution.
enum class Outcome {
    NotRun, ///< No part of it was ever sent to a target.
    Completed, ///< The complete result is available.
    Failed, ///< It ended without a complete result.
    Unknown, ///< It was sent, but whether it ran is not known.
};

/// The name of an outcome in the external API: "not-run", "completed", "failed" or "unknown".
[[nodiscard]] const char *outcomeName(Outcome outcome);

/// The result of one task. It is created only by the factory functions, so that a body exists only
/// with Outcome::Completed and a reason only with the other outcomes.
class TaskResult
{
public:
    /// @param reason why it was refused; short lower-case words joined by '-'.
    [[nodiscard]] static TaskResult notRun(std::string reason);
    [[nodiscard]] static TaskResult completed(std::string body);
    [[nodiscard]] static TaskResult failed(std::string reason);
    [[nodiscard]] static TaskResult unknown(std::string reason);

    [[nodiscard]] Outcome outcome() const { return m_outcome; }
    [[nodiscard]] const std::string &body() const { return m_body; }
    [[nodiscard]] const std::string &reason() const { return m_reason; }

    auto operator<=>(const TaskResult &) const = default;

private:
    TaskResult(Outcome outcome, std::string body, std::string reason);

    Outcome m_outcome;
    std::string m_body;
    std::string m_reason;
};

} // namespace Camphor
