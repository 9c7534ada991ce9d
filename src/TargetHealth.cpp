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
/// Score of one row of failures from which a proven target is slowed down: two failures while the
/// others fail at most 1%.
constexpr double SuspectScore = 8;

} // namespace

void TargetHealth::targetAdded(TargetIndex target)
{
    if (target >= m_targets.size())
        m_targets.resize(target + 1);
    endProbation(target);
    m_targets[target] = Target{};
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
    std::uint64_t count = 0;
    std::uint64_t failures = 0;
    std::uint64_t earlier = 0;
    // Newest first. What happened before the row began counts little, because a service that has
    // just broken has a good history.
    for (std::size_t n = 1; n <= std::min(it.next, ResultCount); ++n) {
        const auto &result = it.results[(it.next - n) % ResultCount];
        if (result.target == target)
            continue;
        if (result.number < rowStart && ++earlier > EarlierResults)
            break;
        ++count;
        failures += result.isFailure ? 1 : 0;
    }
    return (static_cast<double>(failures) + 0.1) / (static_cast<double>(count) + 1);
}

void TargetHealth::completed(TargetIndex target, std::uint32_t service)
{
    record(target, service, false);
    auto &it = m_targets[target];
    it.isProven = true;
    it.failuresInRow = 0;
    it.isSuspect = false;
    it.refusals = 0;
    if (it.isOnProbation) {
        endProbation(target);
        it.score = 0;
        it.isProven = false;
        return;
    }
    it.score = std::max(0.0, it.score + std::log((1 - BrokenRate) / (1 - SoundRate)));
}

double TargetHealth::failed(TargetIndex target, std::uint32_t service, bool isProbationAllowed,
                            Milliseconds now)
{
    auto &it = m_targets[target];
    if (it.failuresInRow == 0)
        it.rowStart = m_resultNumber + 1;
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
    if (it.isSuspect)
        pause(target, FirstPause * std::pow(2.0, std::min(it.failuresInRow - 1, 10U)), now);
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
    it.isSuspect = it.isSuspect && it.failuresInRow > 0;
    if (it.isOnProbation && it.score < ProbationScore - blame)
        endProbation(target);
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
    if (!it.isOnProbation)
        m_probation.push_back(target);
    it.isOnProbation = true;
}

void TargetHealth::endProbation(TargetIndex target)
{
    m_targets[target].isOnProbation = false;
    m_targets[target].isTrialRunning = false;
    std::erase(m_probation, target);
}

void TargetHealth::trialStarted(TargetIndex target)
{
    m_targets[target].isTrialRunning = m_targets[target].isOnProbation;
}

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
    const auto dueAt = isRepeatable ? it.trialAt : it.trialAt + it.backoff;
    return it.isOnProbation && !it.isTrialRunning && it.pausedUntil <= now && dueAt <= now;
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
