/// @file Fault injection for stand-in targets, with a seeded choice of targets and tasks.
#pragma once

#include "Result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Camphor {

/// Kinds of faults.
enum class TargetFault : std::uint8_t {
    Fail, ///< Responds with status 500 at once instead of running the task.
    Straggle, ///< Takes ten times the run time.
    Truncate, ///< Closes the connection in the middle of the response.
    Stall, ///< Never responds; the slot stays in use until the attempt is stopped.
    Reset, ///< Resets the connection instead of responding.
    AnswerTwice, ///< Sends the response twice.
    AnswerLate, ///< Responds a fixed time after the end of the run.
    Leave, ///< Announces that it leaves, and returns after a while.
};

[[nodiscard]] const char *targetFaultName(TargetFault fault);
[[nodiscard]] std::optional<TargetFault> parseTargetFault(std::string_view name);

/// Applies a fault to a fraction of the targets, with a probability for each task there.
struct FaultRule
{
    TargetFault fault = TargetFault::Fail;
    double targetFraction = 1.0;
    double probability = 1.0;

    auto operator<=>(const FaultRule &) const = default;
};

/// The rules of a fleet. The same seed and fleet size always affect the same targets.
class FaultPlan
{
public:
    FaultPlan() = default;

    /// Parses for example "fail=0.1,truncate=1:0.01": name, fraction of the targets, and
    /// probability for each task (1 by default). An empty text means no faults.
    [[nodiscard]] static Result<FaultPlan> parse(const std::string &text, std::size_t targetCount,
                                                 std::uint64_t seed);

    /// Whether the target belongs to the chosen fraction of a rule for this fault.
    [[nodiscard]] bool affects(TargetFault fault, std::size_t target) const;

    /// Draws the fault for one task on a target; the first rule that applies is used. Rules for
    /// Leave are drawn by drawLeave() instead.
    [[nodiscard]] std::optional<TargetFault> draw(std::size_t target);

    /// Draws, once per heartbeat, whether the target leaves now.
    [[nodiscard]] bool drawLeave(std::size_t target);

private:
    struct ChosenRule
    {
        FaultRule rule;
        std::vector<bool> isChosen; ///< By target.
    };

    [[nodiscard]] bool drawRule(const ChosenRule &it, std::size_t target);

    std::vector<ChosenRule> m_rules;
    std::mt19937_64 m_engine;
};

} // namespace Camphor
