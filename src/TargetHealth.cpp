#include "TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace Camphor {

namespace {

/// Assumed failure rate of a faulty target, and the lowest assumed one of a healthy target.
constexpr double FaultyFailureRate = 0.9;
constexpr double HealthyFailureRate = 0.01;
/// From this failure rate of the other targets on, the service is considered at fault.
constexpr double ServiceFaultRate = 0.25;
/// Score for probation: four consecutive failures while the other targets fail at most 1%. A
/// healthy target reaches it once in 10^8 tasks.
constexpr double ProbationScore = 17.9;
/// Score of consecutive failures from which a proven target is limited as suspect: one failure
/// while the others fail at most 1%. A healthy target stays suspect until its next task completes.
constexpr double SuspectScore = 4;

} // namespace

void TargetHealth::targetAdded(TargetIndex target)
{
    if (target >= m_targets.size())
        m_targets.resize(target + 1);
    resetLimits(target);
    m_targets[target] = Target{};
    addLimitedTarget(target);
}

void TargetHealth::addResult(TargetIndex target, std::uint32_t service, bool isFailure)
{
    if (service >= m_services.size())
        m_services.resize(service + 1);
    auto &it = m_services[service];
    it.results[it.next++ % ResultCount] = {target, isFailure, ++m_resultNumber};
}

double TargetHealth::failureRateOfOthers(TargetIndex target, std::uint32_t service) const
{
    const auto &it = m_services[service];
    const auto firstFailureNumber = m_targets[target].firstFailureNumber;
    struct
    {
        double failures = 0.1;
        double count = 1;

        [[nodiscard]] double rate() const { return failures / count; }
    } all, recent;
    // From newest to oldest.
    for (std::size_t n = 1; n <= std::min(it.next, ResultCount); ++n) {
        const auto &result = it.results[(it.next - n) % ResultCount];
        if (result.target == target)
            continue;
        const auto isRecent =
            result.number >= firstFailureNumber || recent.count <= MinRecentResults;
        for (auto *part : {&all, isRecent ? &recent : nullptr}) {
            if (part == nullptr)
                continue;
            part->failures += result.isFailure ? 1 : 0;
            part->count += 1;
        }
    }
    // A service that has just started to fail has a good history, so the rate of recent results is
    // considered separately; a few of them may all be good by chance, so the rate of the whole
    // history is considered as well.
    return std::max(all.rate(), recent.rate());
}

void TargetHealth::completed(TargetIndex target, std::uint32_t service, Milliseconds startedAt)
{
    addResult(target, service, false);
    auto &it = m_targets[target];
    it.consecutiveNotStarted = 0;
    // A task that started before the consecutive failures says little about the target since then.
    // It only clears the suspect state after a single failure, which a healthy target has
    // occasionally.
    if (it.consecutiveFailures > 0 && startedAt < it.firstFailureStartedAt) {
        if (it.consecutiveFailures == 1 && it.isProven && !it.isOnProbation && it.isSuspect)
            resetLimits(target);
        return;
    }
    const auto isProven = !it.isOnProbation;
    it.consecutiveFailures = 0;
    it.score = it.isOnProbation
        ? 0
        : std::max(0.0, it.score + std::log((1 - FaultyFailureRate) / (1 - HealthyFailureRate)));
    const auto isLimited = it.isOnProbation || it.isSuspect || !it.isProven;
    it.isProven = isProven;
    if (isLimited)
        resetLimits(target);
}

double TargetHealth::failed(TargetIndex target, std::uint32_t service, bool isProbationAllowed,
                            Milliseconds startedAt, Milliseconds now)
{
    auto &it = m_targets[target];
    if (it.consecutiveFailures == 0) {
        it.firstFailureNumber = m_resultNumber + 1;
        it.firstFailureStartedAt = startedAt;
    }
    addResult(target, service, true);
    const auto rate = failureRateOfOthers(target, service);
    if (rate >= ServiceFaultRate) {
        if (it.isOnProbation)
            startProbation(target, now);
        return 0;
    }
    ++it.consecutiveFailures;
    const auto scoreIncrease = std::log(FaultyFailureRate / std::max(rate, HealthyFailureRate));
    const auto streakScore = scoreIncrease * it.consecutiveFailures;
    it.isSuspect = !it.isProven || streakScore >= SuspectScore;
    // The current failure rate of the others is the best estimate for all consecutive failures: at
    // the first one, the others may not have had results yet.
    it.score = std::max(it.score + scoreIncrease, streakScore);
    if (it.isSuspect) {
        addLimitedTarget(target);
        pause(target, FirstSuspectPause * std::pow(2.0, std::min(it.consecutiveFailures - 1, 10U)),
              now);
    }
    if (it.isOnProbation || (it.score >= ProbationScore && isProbationAllowed))
        startProbation(target, now);
    return scoreIncrease;
}

void TargetHealth::revertFailure(TargetIndex target, double scoreIncrease)
{
    if (scoreIncrease <= 0)
        return;
    auto &it = m_targets[target];
    it.score = std::max(0.0, it.score - scoreIncrease);
    it.consecutiveFailures -= it.consecutiveFailures > 0 ? 1 : 0;
    const auto isCleared = it.isOnProbation ? it.score < ProbationScore - scoreIncrease
                                            : it.isSuspect && it.consecutiveFailures == 0;
    if (isCleared)
        resetLimits(target);
}

void TargetHealth::notStarted(TargetIndex target, Milliseconds now)
{
    auto &it = m_targets[target];
    pause(target, FirstPause * std::pow(2.0, std::min(it.consecutiveNotStarted, 10U)), now);
    ++it.consecutiveNotStarted;
    it.isTrialRunning = false;
}

void TargetHealth::pause(TargetIndex target, Milliseconds duration, Milliseconds now)
{
    m_targets[target].pausedUntil = now + std::min(duration, MaxPause);
    if (std::ranges::find(m_paused, target) == m_paused.end())
        m_paused.push_back(target);
}

void TargetHealth::startProbation(TargetIndex target, Milliseconds now)
{
    auto &it = m_targets[target];
    it.backoff = it.isOnProbation ? std::min(it.backoff * 2, MaxBackoff) : FirstBackoff;
    it.trialAt = now + it.backoff;
    it.isTrialRunning = false;
    m_probationCount += it.isOnProbation ? 0 : 1;
    it.isOnProbation = true;
    addLimitedTarget(target);
}

void TargetHealth::addLimitedTarget(TargetIndex target)
{
    if (std::ranges::find(m_limitedTargets, target) == m_limitedTargets.end())
        m_limitedTargets.push_back(target);
}

void TargetHealth::resetLimits(TargetIndex target)
{
    auto &it = m_targets[target];
    m_probationCount -= it.isOnProbation ? 1 : 0;
    it.isOnProbation = false;
    it.isSuspect = false;
    it.isTrialRunning = false;
    it.pausedUntil = {};
    std::erase(m_limitedTargets, target);
    if (!it.isProven)
        m_limitedTargets.push_back(target);
}

void TargetHealth::trialStarted(TargetIndex target) { m_targets[target].isTrialRunning = true; }

void TargetHealth::trialEnded(TargetIndex target) { m_targets[target].isTrialRunning = false; }

std::uint32_t TargetHealth::cap(TargetIndex target, Milliseconds now) const
{
    const auto &it = m_targets[target];
    if (it.isOnProbation || it.pausedUntil > now)
        return 0;
    if (it.isSuspect)
        return 1;
    return it.isProven ? TargetRegistry::NoCap : UnprovenCap;
}

bool TargetHealth::isOnProbation(TargetIndex target) const
{
    return target < m_targets.size() && m_targets[target].isOnProbation;
}

bool TargetHealth::isTrialDue(TargetIndex target, bool isRepeatable, Milliseconds now) const
{
    const auto &it = m_targets[target];
    if (it.isTrialRunning || it.pausedUntil > now)
        return false;
    if (!it.isOnProbation)
        return isRepeatable && (it.isSuspect || !it.isProven);
    return (isRepeatable ? it.trialAt : it.trialAt + it.backoff) <= now;
}

std::vector<TargetIndex> TargetHealth::takeEndedPauses(Milliseconds now)
{
    std::vector<TargetIndex> ended;
    std::erase_if(m_paused, [&](TargetIndex it) {
        if (m_targets[it].pausedUntil > now)
            return false;
        ended.push_back(it);
        return true;
    });
    return ended;
}

} // namespace Camphor
