/// @file Detection of targets that fail more often than others, and the limits on their work.
#pragma once

#include "TargetRegistry.h"
#include "Time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace Camphor {

/// Compares the failure rate of each target with that of the other targets of the same service. The
/// score of a target is the log-likelihood ratio of "this target fails 90% of its tasks" to "it
/// fails as often as the others" (a cumulative sum test, Page 1954). A service that fails
/// everywhere therefore raises no score.
class TargetHealth
{
public:
    /// Limit of attempts in flight on a target that has not completed a task yet. With two, a
    /// target that fails everything gets at most five starts, even if the first two belong to one
    /// job.
    static constexpr std::uint32_t UnprovenCap = 2;
    static constexpr Milliseconds FirstBackoff{1'000};
    static constexpr Milliseconds MaxBackoff{60'000};
    /// Pause after an attempt that provably did not start; doubles up to the heartbeat interval.
    static constexpr Milliseconds FirstPause{50};
    /// Pause after a failure that makes the target suspect. It is as long as a typical task, so
    /// that other targets yield results for comparison meanwhile.
    static constexpr Milliseconds FirstSuspectPause{200};
    static constexpr Milliseconds MaxPause{1'000};

    /// A new target, which may reuse the index of a removed one.
    void targetAdded(TargetIndex target);

    void completed(TargetIndex target, std::uint32_t service, Milliseconds startedAt);
    /// A started attempt failed without having been stopped. @param isProbationAllowed whether one
    /// more target of the service may be put on probation. @return the increase of the score, for
    /// revertFailure().
    double failed(TargetIndex target, std::uint32_t service, bool isProbationAllowed,
                  Milliseconds startedAt, Milliseconds now);
    /// Reverts a failure, because the job was at fault: it failed on another target as well.
    void revertFailure(TargetIndex target, double scoreIncrease);
    /// An attempt provably did not start on the target.
    void notStarted(TargetIndex target, Milliseconds now);

    void trialStarted(TargetIndex target);
    /// A trial ended, possibly without a result, for example because it was cancelled.
    void trialEnded(TargetIndex target);

    /// Limit of attempts in flight on the target.
    [[nodiscard]] std::uint32_t cap(TargetIndex target, Milliseconds now) const;
    [[nodiscard]] bool isOnProbation(TargetIndex target) const;
    [[nodiscard]] std::uint32_t probationCount() const { return m_probationCount; }
    /// Targets that are on probation, suspect or not proven yet. They get work as trials, because a
    /// target that gets work only when all others are full would never be proven under low load.
    [[nodiscard]] const std::vector<TargetIndex> &limitedTargets() const
    {
        return m_limitedTargets;
    }
    /// Whether a trial may start. On probation, repeatable tasks are preferred; if none arrived for
    /// another backoff period, any task is used.
    [[nodiscard]] bool isTrialDue(TargetIndex target, bool isRepeatable, Milliseconds now) const;
    /// Returns the targets whose pause has ended, which changes their cap; each is returned once.
    [[nodiscard]] std::vector<TargetIndex> takeEndedPauses(Milliseconds now);
    [[nodiscard]] double score(TargetIndex target) const { return m_targets[target].score; }

private:
    /// Retained results for each service.
    static constexpr std::size_t ResultCount = 64;
    /// Number of newest results of other targets that count as recent even if they precede the
    /// first failure of the target.
    static constexpr double MinRecentResults = 8;

    struct Target
    {
        double score = 0;
        std::uint32_t consecutiveFailures = 0;
        std::uint64_t firstFailureNumber = 0; ///< Result number of the first of these failures.
        Milliseconds firstFailureStartedAt; ///< When the attempt of that failure started.
        bool isProven = false;
        bool isSuspect = false; ///< One attempt at a time, after a pause.
        bool isOnProbation = false;
        bool isTrialRunning = false;
        Milliseconds backoff;
        Milliseconds trialAt;
        std::uint32_t consecutiveNotStarted = 0;
        Milliseconds pausedUntil;
    };

    struct TaskResultEntry
    {
        TargetIndex target = 0;
        bool isFailure = false;
        std::uint64_t number = 0; ///< From 1; 0 is an empty entry.
    };

    struct Service
    {
        std::array<TaskResultEntry, ResultCount> results;
        std::size_t next = 0;
    };

    void addResult(TargetIndex target, std::uint32_t service, bool isFailure);
    [[nodiscard]] double failureRateOfOthers(TargetIndex target, std::uint32_t service) const;
    void pause(TargetIndex target, Milliseconds duration, Milliseconds now);
    void startProbation(TargetIndex target, Milliseconds now);
    void addLimitedTarget(TargetIndex target);
    void resetLimits(TargetIndex target); ///< Ends probation, suspect state and pause.

    std::vector<Target> m_targets;
    std::vector<Service> m_services;
    std::vector<TargetIndex> m_limitedTargets;
    std::uint32_t m_probationCount = 0;
    std::vector<TargetIndex> m_paused;
    std::uint64_t m_resultNumber = 0;
};

} // namespace Camphor
