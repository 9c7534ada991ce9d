#include "LoadReport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <map>
#include <numeric>
#include <optional>
#include <sstream>
#include <unordered_map>

namespace Camphor {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds FirstSecondLength{1'000};

/// Figures of one flow over the whole run or over one phase.
struct FlowFigures
{
    std::size_t offered = 0;
    std::map<CallOutcome, std::size_t> outcomes;
    std::size_t cancelled = 0;
    std::size_t metDeadline = 0;
    std::vector<double> stretch;
    std::vector<double> response;
    std::map<std::string, std::size_t> reasons; ///< Reasons of responses other than completed.

    [[nodiscard]] std::size_t count(CallOutcome outcome) const
    {
        const auto it = outcomes.find(outcome);
        return it == outcomes.end() ? 0 : it->second;
    }

    [[nodiscard]] double deadlineMetShare() const
    {
        const auto notCancelled = offered - cancelled;
        return notCancelled == 0
            ? 1.0
            : static_cast<double>(metDeadline) / static_cast<double>(notCancelled);
    }
};

double roundForReport(double value)
{
    constexpr double Precision = 10'000;
    return std::round(value * Precision) / Precision;
}

Json quantilesOf(std::vector<double> values)
{
    std::ranges::sort(values);
    return {{"p50", roundForReport(quantileOfSorted(values, 0.5))},
            {"p90", roundForReport(quantileOfSorted(values, 0.9))},
            {"p99", roundForReport(quantileOfSorted(values, 0.99))},
            {"max", roundForReport(quantileOfSorted(values, 1))}};
}

/// Converts the figures to JSON. The caller does not know the outcome of calls that lost their
/// connection or got no response, so they count as unknown.
Json toJson(const FlowFigures &figures)
{
    return {{"offered", figures.offered},
            {"completed", figures.count(CallOutcome::Completed)},
            {"failed", figures.count(CallOutcome::Failed)},
            {"notRun", figures.count(CallOutcome::NotRun)},
            {"unknown",
             figures.count(CallOutcome::Unknown) + figures.count(CallOutcome::ConnectionLost)
                 + figures.count(CallOutcome::NoResponse)},
            {"stretch", quantilesOf(figures.stretch)},
            {"deadlineMet", roundForReport(figures.deadlineMetShare())}};
}

/// Collects the figures of the calls that a filter selects, by flow index.
class FigureTable
{
public:
    explicit FigureTable(const LoadResult &result)
        : m_result(result)
    {
    }

    using Filter = std::function<bool(const PlannedRequest &)>;

    [[nodiscard]] std::map<std::size_t, FlowFigures> collect(const Filter &filter) const
    {
        std::map<std::size_t, FlowFigures> table;
        for (const auto &call : m_result.observation.calls) {
            const auto &request = m_result.plan[call.plan];
            if (!request.isResubmission && filter(request))
                add(table[request.flow], request, call);
        }
        return table;
    }

private:
    void add(FlowFigures &figures, const PlannedRequest &request, const CallRecord &call) const
    {
        ++figures.offered;
        ++figures.outcomes[call.outcome];
        if (call.outcome != CallOutcome::Completed) {
            figures.cancelled += call.isCancelled ? 1 : 0;
            ++figures.reasons[call.reason];
            figures.response.push_back(call.responseTime.count());
            return;
        }
        figures.response.push_back(call.responseTime.count());
        figures.stretch.push_back(call.responseTime.count()
                                  / idealResponse(m_result.scenario, request).count());
        const auto limit =
            m_result.scenario.flows[request.flow].deadline + m_result.scenario.callerDelay * 2;
        figures.metDeadline += call.responseTime <= limit ? 1 : 0;
    }

    const LoadResult &m_result;
};

Json flowsToJson(const Scenario &scenario, const std::map<std::size_t, FlowFigures> &table)
{
    Json flows = Json::object();
    for (const auto &[flow, figures] : table)
        flows[scenario.flows[flow].name] = toJson(figures);
    return flows;
}

/// Returns the last phase before this one without a flood and without a cancellation.
std::optional<std::size_t> lastUndisturbedPhase(const Scenario &scenario, std::size_t phase)
{
    while (phase-- > 0) {
        if (!scenario.phases[phase].flood && !scenario.phases[phase].cancel)
            return phase;
    }
    return std::nullopt;
}

Milliseconds phaseStart(const Scenario &scenario, std::size_t phase)
{
    return std::accumulate(
        scenario.phases.begin(), scenario.phases.begin() + static_cast<std::ptrdiff_t>(phase),
        Milliseconds{},
        [](Milliseconds sum, const PhaseScenario &it) { return sum + it.duration; });
}

/// Returns the goodput that the flows which are not flooded retain in a flood phase, relative to a
/// baseline phase.
Json retainedShares(const LoadResult &result, std::size_t phase, std::size_t baselinePhase,
                    const std::map<std::size_t, FlowFigures> &floodFigures)
{
    const auto &scenario = result.scenario;
    const FigureTable table(result);
    const auto baseline = table.collect([&](const auto &it) { return it.phase == baselinePhase; });
    const auto limit = phaseStart(scenario, phase) + FirstSecondLength;
    const auto first =
        table.collect([&](const auto &it) { return it.phase == phase && it.at < limit; });
    const double seconds =
        scenario.phases[phase].duration.count() / scenario.phases[baselinePhase].duration.count();
    Json goodputShares = Json::object();
    Json deadlineMetShares = Json::object();
    Json firstSecondShares = Json::object();
    for (const auto &[flow, figures] : floodFigures) {
        const auto &name = scenario.flows[flow].name;
        const auto it = baseline.find(flow);
        if (name == scenario.phases[phase].flood->flow || it == baseline.end()
            || it->second.metDeadline == 0)
            continue;
        goodputShares[name] = roundForReport(static_cast<double>(figures.metDeadline) / seconds
                                             / static_cast<double>(it->second.metDeadline));
        deadlineMetShares[name] =
            roundForReport(figures.deadlineMetShare() / it->second.deadlineMetShare());
        if (const auto start = first.find(flow); start != first.end())
            firstSecondShares[name] =
                roundForReport(start->second.deadlineMetShare() / it->second.deadlineMetShare());
    }
    return {{"keptShare", goodputShares},
            {"keptOfOffered", deadlineMetShares},
            {"firstSecond", firstSecondShares}};
}

/// Returns the share of the fleet's slot time in a phase in which a started task was expected to
/// run.
double slotUtilization(const LoadResult &result, std::size_t phase)
{
    std::unordered_map<std::string, double> runTimes;
    for (const auto &request : result.plan) {
        for (const auto &task : request.tasks)
            runTimes.emplace(task.id, task.runTime.count());
    }
    const auto &scenario = result.scenario;
    const double begin = result.observation.startWallMs + phaseStart(scenario, phase).count();
    const double end = begin + scenario.phases[phase].duration.count();
    double busyMs = 0;
    for (const auto &start : result.starts) {
        if (const auto it = runTimes.find(start.id); it != runTimes.end()) {
            busyMs += std::max(
                0.0, std::min(end, start.timeMs + it->second) - std::max(begin, start.timeMs));
        }
    }
    return busyMs / (end - begin) / static_cast<double>(scenario.slots);
}

Json phaseToJson(const LoadResult &result, std::size_t phase)
{
    const auto &scenario = result.scenario;
    const auto table = FigureTable(result).collect(
        [phase](const PlannedRequest &it) { return it.phase == phase; });
    Json json{{"flows", flowsToJson(scenario, table)},
              {"durationMs", scenario.phases[phase].duration.count()},
              {"busy", roundForReport(slotUtilization(result, phase))},
              {"flood", Json::object()}};
    for (const auto &[flow, figures] : table) {
        auto &it = json["flows"][scenario.flows[flow].name];
        it["responseMs"] = quantilesOf(figures.response);
        it["cancelled"] = figures.cancelled;
        it["reasons"] = figures.reasons;
    }
    const auto baselinePhase = lastUndisturbedPhase(scenario, phase);
    if (scenario.phases[phase].flood && baselinePhase)
        json["flood"] = retainedShares(result, phase, *baselinePhase, table);
    return json;
}

/// Returns the lowest share of each flow over all floods of the run.
Json lowestRetainedShares(const Json &phases)
{
    Json lowest = Json::object();
    for (const auto &phase : phases) {
        if (!phase["flood"].contains("keptShare"))
            continue;
        for (const auto &[flow, share] : phase["flood"]["keptShare"].items()) {
            if (!lowest.contains(flow) || share < lowest[flow])
                lowest[flow] = share;
        }
    }
    return lowest;
}

Json messagesToJson(const LoadResult &result)
{
    const double tasks = std::max<double>(1, static_cast<double>(result.starts.size()));
    return {{"perTask", roundForReport(result.observation.messages.all / tasks)},
            {"wastedPerTask", roundForReport(result.observation.messages.wasted / tasks)}};
}

void addFlowLine(std::ostream &out, const std::string &phase, const std::string &flow,
                 const Json &figures)
{
    const auto &stretch = figures["stretch"];
    out << std::left << std::setw(18) << phase << std::setw(16) << flow << std::right
        << std::setw(8) << figures["offered"].get<std::size_t>() << std::setw(8)
        << figures["completed"].get<std::size_t>() << std::setw(7)
        << figures["failed"].get<std::size_t>() << std::setw(8)
        << figures["notRun"].get<std::size_t>() << std::setw(8)
        << figures["unknown"].get<std::size_t>() << std::fixed << std::setprecision(2)
        << std::setw(8) << stretch["p50"].get<double>() << std::setw(8)
        << stretch["p90"].get<double>() << std::setw(8) << stretch["p99"].get<double>()
        << std::setw(9) << stretch["max"].get<double>() << std::setprecision(3) << std::setw(8)
        << figures["deadlineMet"].get<double>();
}

} // namespace

double quantileOfSorted(const std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto rank =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

Milliseconds idealResponse(const Scenario &scenario, const PlannedRequest &request)
{
    const double load = std::clamp(scenario.phases[request.phase].load, 0.0, 1.0);
    const auto freeSlots = static_cast<long>(static_cast<double>(scenario.slots) * (1 - load));
    return idealMakespan(request.tasks, std::max(1L, freeSlots))
        + (scenario.callerDelay + scenario.targetDelay) * 2;
}

Json makeReport(const LoadResult &result)
{
    const auto &scenario = result.scenario;
    Json phases = Json::object();
    for (std::size_t n = 0; n < scenario.phases.size(); ++n)
        phases[scenario.phases[n].name] = phaseToJson(result, n);
    const auto &invariants = result.invariants;
    const auto all = FigureTable(result).collect([](const PlannedRequest &) { return true; });
    return {{"scenario", scenario.name},
            {"seed", scenario.seed},
            {"durationMs", scenario.duration().count()},
            {"flows", flowsToJson(scenario, all)},
            {"messages", messagesToJson(result)},
            {"flood", {{"keptShare", lowestRetainedShares(phases)}}},
            {"invariants",
             {{"doubleStarts", invariants.doubleStarts},
              {"partialAnswers", invariants.partialResponses},
              {"wrongAnswers", invariants.wrongResponses},
              {"falseNotRun", invariants.falseNotRun},
              {"cutOff", invariants.lostConnections},
              {"lost", invariants.missingResponses}}},
            {"phases", phases}};
}

std::string makeTable(const Json &report)
{
    std::ostringstream out;
    out << "scenario " << report["scenario"].get<std::string>() << ", seed " << report["seed"]
        << ", " << report["durationMs"].get<double>() / 1'000 << " s\n"
        << std::left << std::setw(18) << "phase" << std::setw(16) << "flow"
        << " offered    done failed not-run unknown  stretch p50 p90     p99      max in-time"
           "    kept\n";
    for (const auto &[name, phase] : report["phases"].items()) {
        for (const auto &[flow, figures] : phase["flows"].items()) {
            addFlowLine(out, name, flow, figures);
            if (phase["flood"].contains("keptShare") && phase["flood"]["keptShare"].contains(flow))
                out << std::setw(8) << phase["flood"]["keptShare"][flow].get<double>();
            out << "\n";
        }
        out << std::left << std::setw(18) << name << "fleet busy "
            << 100 * phase["busy"].get<double>() << "%\n";
    }
    out << "messages per task " << report["messages"]["perTask"] << ", wasted "
        << report["messages"]["wastedPerTask"] << "\ninvariants " << report["invariants"].dump()
        << "\n";
    return std::move(out).str();
}

} // namespace Camphor
