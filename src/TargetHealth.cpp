#include "TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace Camphor {

namespace {

/// Failure rate of a broken target, and the lowest one that a sound target is assumed to have.
constexpr double BrokenRate = 0.9;
constexpr double SoundRate = 0.01;
/// Above this failure rate of the other targets the fault is the service's.
constexpr double ServiceFaultRate = 0.25;
/// Score for probation: four failures in a row while the others fail at most 1%, which a sound
/// target shows once in 10^8 tasks.
constexpr double ProbationScore = 17.9;
/// Score of one row of failures from which a proven target is slowed down: one failure while the
/// others fail at most 1%. A sound target is so until the next of its tasks completes.
constexpr double SuspectScore = 4;

} // namespace

void TargetHealth::targetAdded(TargetIndex target)
{
    if (target >= m_targets.size())
        m_targets.resize(target + 1);
    clear(target);
    m_targets[target] = Target{};
    addLimited(target);
}

void TargetHealth::record(TargetIndex target, std::uint32_t service, bool isFailure)
{
    if (service >= m_services.size())
        m_services.resize(service + 1);
    auto &it = m_services[service];
    it.results[it.next++ % ResultCount] = {target, isFailure, ++m_resultNumber};
}

double TargetHealth::failureRateOfOthers(TargetIndex target, std::uint32_t service) const
{
    const auto &it = m_services[service];
    const auto rowStart = m_targets[target].rowStart;
    struct
    {
        double failures = 0.1;
        double count = 1;

        [[nodiscard]] double rate() const { return failures / count; }
    } all, recent;
    // Newest first.
    for (std::size_t n = 1; n <= std::min(it.next, ResultCount); ++n) {
        const auto &result = it.results[(it.next - n) % ResultCount];
        if (result.target == target)
            continue;
        const auto isRecent = result.number >= rowStart || recent.count <= EarlierResults;
        for (auto *part : {&all, isRecent ? &recent : nullptr}) {
            if (part == nullptr)
                continue;
            part->failures += result.isFailure ? 1 : 0;
            part->count += 1;
        }
    }
    // A service that has just broken has a good history, so recent results count on their own; few
    // of them may all be good by chance, so the longer history counts as well.
    return std::max(all.rate(), recent.rate());
}

void TargetHealth::completed(TargetIndex target, std::uint32_t service, Milliseconds startedAt)
{
    record(target, service, false);
    auto &it = m_targets[target];
    it.refusals = 0;
    // A task that started before the row of failures says little about the target since then. It
    // lifts the suspicion of a single failure, which a sound target shows now and then.
    if (it.failuresInRow > 0 && startedAt < it.rowStartedAt) {
        if (it.failuresInRow == 1 && it.isProven && !it.isOnProbation && it.isSuspect)
            clear(target);
        return;
    }
    const auto isProven = !it.isOnProbation;
    it.failuresInRow = 0;
    it.score = it.isOnProbation
        ? 0
        : std::max(0.0, it.score + std::log((1 - BrokenRate) / (1 - SoundRate)));
    const auto isLimited = it.isOnProbation || it.isSuspect || !it.isProven;
    it.isProven = isProven;
    if (isLimited)
        clear(target);
}

double TargetHealth::failed(TargetIndex target, std::uint32_t service, bool isProbationAllowed,
                            Milliseconds startedAt, Milliseconds now)
{
    auto &it = m_targets[target];
    if (it.failuresInRow == 0) {
        it.rowStart = m_resultNumber + 1;
        it.rowStartedAt = startedAt;
    }
    record(target, service, true);
    const auto rate = failureRateOfOthers(target, service);
    if (rate >= ServiceFaultRate) {
        if (it.isOnProbation)
            startProbation(target, now);
        return 0;
    }
    ++it.failuresInRow;
    const auto blame = std::log(BrokenRate / std::max(rate, SoundRate));
    const auto rowScore = blame * it.failuresInRow;
    it.isSuspect = !it.isProven || rowScore >= SuspectScore;
    // The newest rate is the best one for the whole row: at its start the others may not have had
    // results yet.
    it.score = std::max(it.score + blame, rowScore);
    if (it.isSuspect) {
        addLimited(target);
        pause(target, FirstSuspectPause * std::pow(2.0, std::min(it.failuresInRow - 1, 10U)), now);
    }
    if (it.isOnProbation || (it.score >= ProbationScore && isProbationAllowed))
        startProbation(target, now);
    return blame;
}

void TargetHealth::forgive(TargetIndex target, double blame)
{
    if (blame <= 0)
        return;
    auto &it = m_targets[target];
    it.score = std::max(0.0, it.score - blame);
    it.failuresInRow -= it.failuresInRow > 0 ? 1 : 0;
    const auto isCleared = it.isOnProbation ? it.score < ProbationScore - blame
                                            : it.isSuspect && it.failuresInRow == 0;
    if (isCleared)
        clear(target);
}

void TargetHealth::refused(TargetIndex target, Milliseconds now)
{
    auto &it = m_targets[target];
    pause(target, FirstPause * std::pow(2.0, std::min(it.refusals, 10U)), now);
    ++it.refusals;
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
    addLimited(target);
}

void TargetHealth::addLimited(TargetIndex target)
{
    if (std::ranges::find(m_limited, target) == m_limited.end())
        m_limited.push_back(target);
}

void TargetHealth::clear(TargetIndex target)
{
    auto &it = m_targets[target];
    m_probationCount -= it.isOnProbation ? 1 : 0;
    it.isOnProbation = false;
    it.isSuspect = false;
    it.isTrialRunning = false;
    it.pausedUntil = {};
    std::erase(m_limited, target);
    if (!it.isProven)
        m_limited.push_back(target);
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
