/// @file camphortarget: a stand-in for targets. One process serves many targets and announces them
/// to the entries.
#include "CommandLine.h"
#include "HttpServer.h"
#include "Log.h"
#include "OptionValues.h"
#include "ProcessRunner.h"
#include "StandInTarget.h"

#include <boost/asio/io_context.hpp>

#include <nlohmann/json.hpp>

namespace {

using namespace Camphor;

const CommandLineSpec Spec{
    "camphortarget",
    "Stand-in for targets: sleeps for the run time stated by a task and responds, or injects "
    "faults.",
    "--entries IP:PORT,... --services NAME,... [options]",
    {{"listen", "IP:PORT", "Address of the first target; the others use the following ports."},
     {"targets", "N", "Number of targets (1)."},
     {"slots", "N", "Slots of each target (8)."},
     {"rack-size", "N", "Number of targets per rack (8)."},
     {"domain", "NAME", "Failure domain of the targets."},
     {"worker-prefix", "TEXT", "Prefix of the target ids."},
     {"entries", "IP:PORT,...", "Entries of the domain that get announcements."},
     {"services", "NAME,...", "Services offered by every target."},
     {"start-log", "FILE", "Append one JSON line to this file for each start of a task."},
     {"faults", "LIST",
      "Faults as NAME=FRACTION[:PROBABILITY],... with NAME fail, straggle, truncate, stall, "
      "reset, answer-twice, answer-late or leave."},
     {"fault-seed", "N", "Random seed for choosing faulty targets and tasks (1)."},
     {"late-ms", "MS", "Delay of the fault answer-late (2000)."},
     {"network-delay-ms", "MS", "Added one-way delay between entry and target (0)."},
     {"admin", "IP:PORT", "Serves GET /v1/stats and PUT /v1/faults (body as for --faults)."}}};

StandInFleetSettings readSettings(const CommandLine &line)
{
    const OptionValues values(line);
    StandInFleetSettings settings;
    settings.listen = values.address("listen", "127.0.0.1:0");
    settings.targets = static_cast<int>(values.integer("targets", 1, 1, 5'000));
    settings.slots = static_cast<int>(values.integer("slots", 8, 1, 10'000));
    settings.rackSize = static_cast<int>(values.integer("rack-size", 8, 1, 10'000));
    settings.domain = line.value("domain", settings.domain);
    settings.workerPrefix = line.value("worker-prefix", settings.workerPrefix);
    settings.services = values.list("services");
    settings.entries = values.addresses("entries");
    settings.startLogPath = line.value("start-log");
    settings.faults = line.value("faults");
    settings.faultSeed = static_cast<std::uint64_t>(values.integer("fault-seed", 1, 0, 1L << 62));
    settings.lateResponseDelay = Milliseconds{values.number("late-ms", 2'000, 0, 600'000)};
    settings.oneWayDelay = Milliseconds{values.number("network-delay-ms", 0, 0, 10'000)};
    return settings;
}

HttpResponse handleAdminRequest(StandInFleet &fleet, const HttpRequest &request)
{
    if (request.method == "PUT" && request.path() == "/v1/faults") {
        const auto status = fleet.setFaults(request.body);
        Log::info(LogEvent::FaultsSet).kv("faults", request.body).kv("accepted", status.isOk());
        return status ? makeResponse(200, "text/plain", "")
                      : makeResponse(400, "text/plain", status.error().message + "\n");
    }
    if (request.method == "GET" && request.path() == "/v1/stats") {
        const auto counters = fleet.counters();
        return makeResponse(200, "application/json",
                            nlohmann::json{{"starts", counters.starts},
                                           {"refused", counters.refused},
                                           {"stopped", counters.stopped},
                                           {"faults", counters.faults},
                                           {"running", fleet.running()}}
                                .dump());
    }
    return makeResponse(404, "text/plain", "no such path\n");
}

int run(const CommandLine &line)
{
    boost::asio::io_context io(1);
    const auto fleet = StandInFleet::make(io, readSettings(line)).value();
    std::shared_ptr<HttpServer> admin;
    if (line.has("admin")) {
        HttpServerSettings settings;
        settings.listen = OptionValues(line).address("admin", "");
        admin = HttpServer::make(io, settings,
                                 [&](const HttpRequest &request, const HttpRespond &respond) {
                                     respond(handleAdminRequest(*fleet, request));
                                 })
                    .value();
    }
    Log::info(LogEvent::Serving)
        .kv("first", fleet->addresses().front().toString())
        .kv("targets", fleet->addresses().size());
    runUntilDrained(io, 1, [&] { fleet->startDrain(); });
    const auto counters = fleet->counters();
    Log::info(LogEvent::Stopped).kv("starts", counters.starts).kv("refused", counters.refused);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram("camphortarget", [&] {
        const auto line = parseCommandLine(Spec, argc, argv);
        startLog({});
        return run(line);
    });
}
