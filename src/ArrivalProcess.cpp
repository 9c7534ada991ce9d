#include "ArrivalProcess.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <queue>

namespace Camphor {

namespace {

constexpr int MeanSampleCount = 20'000;
constexpr std::uint64_t MeanSeed = 4'711;

bool isInPhase(const Scenario &scenario, const PhaseScenario &phase, std::size_t flow)
{
    return phase.flows.empty()
        || std::ranges::find(phase.flows, scenario.flows[flow].name) != phase.flows.end();
}

std::uint64_t hashOf(const std::string &text) { return XXH64(text.data(), text.size(), 0); }

/// Steps of this size, taken modulo 1, cover the quantiles of a distribution evenly.
constexpr double GoldenRatio = 0.618033988749895;

/// Appends the arrivals of one Poisson process, conditioned on its mean number of arrivals. A few
/// large jobs make up most of the work, so with a random arrival count and independent job sizes
/// the offered load of a ten-second phase would deviate from its target by more than a tenth.
class FlowPlanner
{
public:
    FlowPlanner(const Scenario &scenario, const std::string &idPrefix,
                std::vector<PlannedRequest> &plan)
        : m_scenario(scenario)
        , m_idPrefix(idPrefix)
        , m_plan(plan)
    {
    }

    void add(std::size_t phase, std::size_t flow, Milliseconds start, double ratePerSecond,
             Urgency urgency, std::uint64_t streamIndex)
    {
        if (ratePerSecond <= 0)
            return;
        // Seeded by name, so that a run with only some of the phases has the same arrivals in them.
        std::seed_seq seed{m_scenario.seed, hashOf(m_scenario.phases[phase].name),
                           hashOf(m_scenario.flows[flow].name), streamIndex};
        std::mt19937_64 engine(seed);
        const auto duration = m_scenario.phases[phase].duration.count();
        const double mean = ratePerSecond / 1'000.0 * duration;
        std::uniform_real_distribution<double> unit(0, 1);
        const auto count = static_cast<std::size_t>(mean + unit(engine));
        std::vector<double> instants(count);
        std::ranges::generate(instants, [&] { return duration * unit(engine); });
        std::ranges::sort(instants);
        double quantile = unit(engine);
        for (const double instant : instants) {
            quantile = std::fmod(quantile + GoldenRatio, 1.0);
            addArrival(phase, flow, start + Milliseconds{instant}, urgency, quantile, engine);
        }
    }

private:
    void addArrival(std::size_t phase, std::size_t flow, Milliseconds at, Urgency urgency,
                    double sizeQuantile, std::mt19937_64 &engine)
    {
        const auto &settings = m_scenario.flows[flow];
        PlannedRequest request;
        request.at = at;
        request.flow = flow;
        request.phase = phase;
        request.submission = m_nextSubmission++;
        request.urgency = urgency;
        const auto id = m_idPrefix + "-" + std::to_string(request.submission);
        if (settings.isKeyed)
            request.key = "k-" + id;
        const auto count = taskCountAt(settings, sizeQuantile);
        for (long n = 0; n < count; ++n) {
            request.tasks.push_back({id + "." + std::to_string(n),
                                     sampleRunTime(settings.runTime, engine),
                                     static_cast<std::size_t>(settings.responseBytes)});
        }
        const bool isResubmitted = std::bernoulli_distribution(settings.resubmit)(engine);
        m_plan.push_back(request);
        if (isResubmitted) {
            // A caller resubmits while the first submission is running or shortly after it has
            // ended.
            const auto longest = idealMakespan(request.tasks, count).count();
            request.at +=
                Milliseconds{std::uniform_real_distribution<double>(0, 2 * longest + 10)(engine)};
            request.isResubmission = true;
            m_plan.push_back(std::move(request));
        }
    }

    const Scenario &m_scenario;
    const std::string &m_idPrefix;
    std::vector<PlannedRequest> &m_plan;
    std::size_t m_nextSubmission = 0;
};

} // namespace

Milliseconds sampleRunTime(const RunTimeDistribution &distribution, std::mt19937_64 &engine)
{
    const bool isTail = std::bernoulli_distribution(distribution.tailShare)(engine);
    const auto low = isTail ? distribution.max : distribution.min;
    const auto high = isTail ? distribution.tailMax : distribution.max;
    double time = std::uniform_real_distribution<double>(low.count(), high.count())(engine);
    if (distribution.estimateErrorFactor > 1) {
        const double exponent = std::log(distribution.estimateErrorFactor);
        time *= std::exp(std::uniform_real_distribution<double>(-exponent, exponent)(engine));
        time = std::clamp(time, 1.0, std::max(1.0, distribution.tailMax.count()));
    }
    return Milliseconds{time};
}

long taskCountAt(const FlowScenario &flow, double quantile)
{
    if (flow.minTasks == flow.maxTasks)
        return flow.minTasks;
    const double low = std::log(static_cast<double>(flow.minTasks));
    const double high = std::log(static_cast<double>(flow.maxTasks) + 1);
    const auto count = std::floor(std::exp(low + (high - low) * quantile));
    return std::clamp(static_cast<long>(count), flow.minTasks, flow.maxTasks);
}

double meanWork(const FlowScenario &flow)
{
    std::mt19937_64 engine(MeanSeed);
    double tasks = 0;
    double time = 0;
    for (int n = 0; n < MeanSampleCount; ++n) {
        tasks += static_cast<double>(taskCountAt(flow, (n + 0.5) / MeanSampleCount));
        time += sampleRunTime(flow.runTime, engine).count();
    }
    return tasks / MeanSampleCount * time / MeanSampleCount;
}

double arrivalRate(const Scenario &scenario, const PhaseScenario &phase, std::size_t flow)
{
    if (!isInPhase(scenario, phase, flow))
        return 0;
    const auto &settings = scenario.flows[flow];
    if (settings.ratePerSecond > 0)
        return settings.ratePerSecond;
    double shares = 0;
    for (std::size_t n = 0; n < scenario.flows.size(); ++n) {
        const auto &it = scenario.flows[n];
        shares += it.ratePerSecond > 0 || !isInPhase(scenario, phase, n) ? 0 : it.share;
    }
    const double work = meanWork(settings);
    if (shares <= 0 || work <= 0)
        return 0;
    return phase.load * static_cast<double>(scenario.slots) * 1'000.0 * settings.share / shares
        / work;
}

std::vector<PlannedRequest> planArrivals(const Scenario &scenario, const std::string &idPrefix)
{
    std::vector<PlannedRequest> plan;
    FlowPlanner planner(scenario, idPrefix, plan);
    Milliseconds start;
    for (std::size_t phase = 0; phase < scenario.phases.size(); ++phase) {
        const auto &settings = scenario.phases[phase];
        for (std::size_t flow = 0; flow < scenario.flows.size(); ++flow) {
            const double rate = arrivalRate(scenario, settings, flow);
            planner.add(phase, flow, start, rate, scenario.flows[flow].urgency, 0);
            if (settings.flood && settings.flood->flow == scenario.flows[flow].name) {
                planner.add(phase, flow, start, rate * (settings.flood->factor - 1),
                            settings.flood->urgency.value_or(scenario.flows[flow].urgency), 1);
            }
        }
        start += settings.duration;
    }
    std::ranges::stable_sort(plan, {}, &PlannedRequest::at);
    return plan;
}

Milliseconds idealMakespan(const std::vector<StandInTask> &tasks, long slots)
{
    std::vector<double> times;
    std::ranges::transform(tasks, std::back_inserter(times),
                           [](const StandInTask &task) { return task.runTime.count(); });
    std::ranges::sort(times, std::greater{});
    std::priority_queue<double, std::vector<double>, std::greater<>> ends;
    double makespan = 0;
    for (const double time : times) {
        double start = 0;
        if (ends.size() >= static_cast<std::size_t>(std::max(1L, slots))) {
            start = ends.top();
            ends.pop();
        }
        ends.push(start + time);
        makespan = std::max(makespan, start + time);
    }
    return Milliseconds{makespan};
}

} // namespace Camphor
