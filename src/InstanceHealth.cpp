#include "InstanceHealth.h"

#include <algorithm>
#include <cmath>

namespace Camphor {

namespace {

/// A single failure can be the task's fault; two consecutive failures of different tasks seldom
/// are.
constexpr int FailuresBeforeProbation = 2;
constexpr Milliseconds FirstProbation{1'000};
constexpr Milliseconds LongestProbation{8'000};
/// Weight of the newest run in the moving average. A slow instance is detected within a few runs.
constexpr double SlowdownWeight = 0.3;
constexpr double MaxSlowdown = 20.0;
/// An instance with a higher slowdown gets only single trial runs.
constexpr double SlowdownLimit = 2.2;
constexpr Milliseconds SlowTrialDelay{1'000};

} // namespace

void InstanceHealth::onDone(const std::string &instance, double slowdown, Milliseconds now)
{
    auto &record = m_records[instance];
    record.failures = 0;
    const auto bounded = std::clamp(slowdown, 0.1, MaxSlowdown);
    const bool hasRecovered = record.slowdown > SlowdownLimit && bounded < SlowdownLimit;
    record.slowdown =
        hasRecovered ? bounded : record.slowdown + (bounded - record.slowdown) * SlowdownWeight;
    if (record.slowdown > SlowdownLimit)
        record.nextTrialAt = now + SlowTrialDelay;
}

void InstanceHealth::onFailed(const std::string &instance, Milliseconds now)
{
    auto &record = m_records[instance];
    ++record.failures;
    const int excessFailures = record.failures - FailuresBeforeProbation;
    if (excessFailures >= 0)
        record.nextTrialAt = now
            + std::min(FirstProbation * std::exp2(std::min(excessFailures, 8)), LongestProbation);
}

void InstanceHealth::onTaskAtFault(const std::string &instance)
{
    auto &record = m_records[instance];
    record.failures = std::max(0, record.failures - 1);
}

bool InstanceHealth::isTrusted(const std::string &instance) const
{
    const auto it = m_records.find(instance);
    return it == m_records.end()
        || (it->second.failures < FailuresBeforeProbation && it->second.slowdown <= SlowdownLimit);
}

bool InstanceHealth::mayRunTrial(const std::string &instance, Milliseconds now) const
{
    const auto it = m_records.find(instance);
    return it == m_records.end() || now >= it->second.nextTrialAt;
}

double InstanceHealth::slowdown(const std::string &instance) const
{
    const auto it = m_records.find(instance);
    return it == m_records.end() ? 1.0 : it->second.slowdown;
}

} // namespace Camphor
