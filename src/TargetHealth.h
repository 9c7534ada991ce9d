/// @file Which targets fail more than the others, and how much work they may get.
#pragma once

#include "TargetRegistry.h"
#include "Time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace Camphor {

/// Compares the failures of each target with those of the other targets of the same service. The
/// score of a target is the logarithm of how much better "this target fails 90% of its tasks"
/// explains its results than "it fails as often as the others" (a cumulative sum test, Page 1954).
/// A service that fails everywhere therefore raises no score.
class TargetHealth
{
public:
    /// Attempts in flight on a target that has not completed a task yet. With two, a target that
    /// fails everything gets at most five starts, also when the first two belong to one job.
    static constexpr std::uint32_t UnprovenCap = 2;
    static constexpr Milliseconds FirstBackoff{1'000};
    static constexpr Milliseconds MaxBackoff{60'000};
    /// Pause after an attempt that provably did not start; doubles up to the heartbeat interval.
    static constexpr Milliseconds FirstPause{50};
    /// Pause after a failure that makes the target suspect. It gives the other targets time for
    /// results to compare with, so it is as long as a usual task.
    static constexpr Milliseconds FirstSuspectPause{200};
    static constexpr Milliseconds MaxPause{1'000};

    /// A new target, or a forgotten index that is used again.
    void targetAdded(TargetIndex target);

    void completed(TargetIndex target, std::uint32_t service, Milliseconds startedAt);
    /// A started attempt failed and nobody stopped it. @param isProbationAllowed whether one more
    /// target of the service may be put on probation. Returns the blame, for forgive().
    double failed(TargetIndex target, std::uint32_t service, bool isProbationAllowed,
                  Milliseconds startedAt, Milliseconds now);
    /// Takes blame back, because the fault was the job's: it failed on another target as well.
    void forgive(TargetIndex target, double blame);
    /// The attempt provably did not start there.
    void refused(TargetIndex target, Milliseconds now);

    void trialStarted(TargetIndex target);
    /// A trial ended without a verdict, for example because it was cancelled.
    void trialEnded(TargetIndex target);

    /// Attempts that may be in flight on the target.
    [[nodiscard]] std::uint32_t cap(TargetIndex target, Milliseconds now) const;
    [[nodiscard]] bool isOnProbation(TargetIndex target) const;
    [[nodiscard]] std::uint32_t probationCount() const { return m_probationCount; }
    /// Targets that are on probation, suspect or not proven yet. They get work as trials, because a
    /// target that is given work only when all others are full would never become a sound one
    /// while the load is low.
    [[nodiscard]] const std::vector<TargetIndex> &limited() const { return m_limited; }
    /// Whether a trial may start. On probation a task that may be repeated is used first; when none
    /// came for another back-off time, any task is.
    [[nodiscard]] bool isTrialDue(TargetIndex target, bool isRepeatable, Milliseconds now) const;
    /// Targets whose cap changes with time alone: those that pause.
    [[nodiscard]] std::vector<TargetIndex> takeEndedPauses(Milliseconds now);
    [[nodiscard]] double score(TargetIndex target) const { return m_targets[target].score; }

private:
    /// Results that are remembered for each service.
    static constexpr std::size_t ResultCount = 64;
    /// Newest results of others that count as recent even if they are from before the target's
    /// first failure.
    static constexpr double EarlierResults = 8;

    struct Target
    {
        double score = 0;
        std::uint32_t failuresInRow = 0;
        std::uint64_t rowStart = 0; ///< Result number of the first of them.
        Milliseconds rowStartedAt; ///< When its attempt started.
        bool isProven = false;
        bool isSuspect = false; ///< One attempt at a time, after a pause.
        bool isOnProbation = false;
        bool isTrialRunning = false;
        Milliseconds backoff;
        Milliseconds trialAt;
        std::uint32_t refusals = 0;
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

    void record(TargetIndex target, std::uint32_t service, bool isFailure);
    [[nodiscard]] double failureRateOfOthers(TargetIndex target, std::uint32_t service) const;
    void pause(TargetIndex target, Milliseconds duration, Milliseconds now);
    void startProbation(TargetIndex target, Milliseconds now);
    void addLimited(TargetIndex target);
    void clear(TargetIndex target); ///< Ends probation, suspicion and pauses.

    std::vector<Target> m_targets;
    std::vector<Service> m_services;
    std::vector<TargetIndex> m_limited;
    std::uint32_t m_probationCount = 0;
    std::vector<TargetIndex> m_paused;
    std::uint64_t m_resultNumber = 0;
};

} // namespace Camphor
