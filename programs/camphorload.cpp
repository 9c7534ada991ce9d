/// @file camphorload: sends the load of a scenario to the entries and checks the invariants.
#include "CommandLine.h"
#include "Ids.h"
#include "InvariantCheck.h"
#include "LoadReport.h"
#include "LoadRunner.h"
#include "Log.h"
#include "OptionValues.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

namespace {

using namespace Camphor;

constexpr int InvariantViolatedExitCode = 1;
/// Prefix length of a run's random id that keeps the ids of two runs on one cluster distinct.
constexpr std::size_t RunIdLength = 8;

const CommandLineSpec Spec{
    "camphorload",
    "Sends an open-loop load and checks the responses against the targets' start logs. "
    "Exits with 1 when an invariant is violated.",
    "--scenario FILE [options]",
    {{"scenario", "FILE", "Scenario file in YAML."},
     {"check", "", "Validate the scenario and exit: 0 if it is valid, 2 if not."},
     {"entries", "IP:PORT,...", "Entries to send to; overrides the scenario."},
     {"killed", "IP:PORT,...", "Entries that the test kills during the run."},
     {"start-logs", "FILE,...", "Start logs written by the stand-in targets."},
     {"seed", "N", "Random seed; overrides the scenario."},
     {"slots", "N", "Total slots of the fleet; overrides the scenario."},
     {"phases", "NAME,...", "Run only these phases of the scenario."},
     {"duration-factor", "F", "Factor for the durations of the phases (1)."},
     {"target-delay-ms", "MS", "One-way delay of the targets; overrides the scenario."},
     {"report", "FILE", "Write the report to this file as JSON."}}};

std::vector<StartRecord> readStartLogs(const std::vector<std::string> &paths,
                                       const std::string &idPrefix)
{
    std::vector<StartRecord> starts;
    for (const auto &path : paths) {
        const auto log = readStartLog(path);
        std::ranges::copy_if(log.value(), std::back_inserter(starts),
                             [&](const StartRecord &it) { return it.id.starts_with(idPrefix); });
    }
    return starts;
}

void writeReport(const std::string &path, const nlohmann::json &report)
{
    if (path.empty())
        return;
    std::ofstream file(path);
    file << report.dump(2) << "\n";
    if (!file)
        throw UserError({ErrorCode::Storage, "cannot write '" + path + "'"});
}

int run(const CommandLine &line)
{
    const OptionValues values(line);
    auto scenario =
        Scenario::load(line.value("scenario"))
            .value()
            .select(values.list("phases"), values.number("duration-factor", 1, 0.01, 100))
            .value();
    if (line.has("check"))
        return 0;
    scenario.slots = values.integer("slots", scenario.slots, 1, 1'000'000);
    scenario.targetDelay =
        Milliseconds{values.number("target-delay-ms", scenario.targetDelay.count(), 0, 10'000)};
    if (line.has("seed"))
        scenario.seed = static_cast<std::uint64_t>(values.integer("seed", 1, 0, 1L << 62));
    LoadSettings settings{line.has("entries") ? values.addresses("entries") : scenario.entries,
                          values.addresses("killed")};
    if (settings.entries.empty()) {
        throw UserError({ErrorCode::InvalidSettings,
                         "no entries given. Fix: pass --entries or set 'entries' in the scenario"});
    }
    const auto idPrefix = makeRandomId().substr(0, RunIdLength);
    const auto plan = planArrivals(scenario, idPrefix);
    const auto observation = runLoad(scenario, plan, settings);
    const auto starts = readStartLogs(values.list("start-logs"), idPrefix);
    const auto invariants = checkInvariants(scenario, plan, observation.calls, starts);
    const auto report = makeReport({scenario, plan, observation, starts, invariants});
    writeReport(line.value("report"), report);
    std::cout << makeTable(report) << "maximum send delay " << observation.maxSendDelay.count()
              << " ms\n";
    for (const auto &example : invariants.examples)
        std::cout << "invariant violated: " << example << "\n";
    return invariants.allHold() ? 0 : InvariantViolatedExitCode;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram("camphorload", [&] {
        const auto line = parseCommandLine(Spec, argc, argv);
        LogSettings log;
        log.toStandardError = true;
        startLog(log);
        return run(line);
    });
}
