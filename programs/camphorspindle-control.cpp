/// @file camphorspindle-control: a member of the group that agrees on declarations and replica
/// sets.
#include "CommandLine.h"
#include "ControlServer.h"
#include "ControlSettings.h"
#include "Log.h"
#include "ProcessRunner.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace Camphor;

/// Exit code after a disk error. A restart is safe, because all data on disk is verified again.
constexpr int StorageExitCode = 3;

int initialise(const ControlSettings &settings)
{
    const auto storage = RaftStorage::open(settings.dataFolder).value();
    if (!storage->isNew()) {
        throw UserError(
            Error{ErrorCode::Storage,
                  settings.dataFolder
                      + ": the folder already contains the state of a member. Fix: start without "
                        "--initialise"});
    }
    if (const auto status = storage->rewrite(RaftCore::initialState(settings.members)); !status)
        throw UserError(status.error());
    std::cout << settings.dataFolder << ": initialised for a group of " << settings.members.size()
              << " members\n";
    return 0;
}

[[noreturn]] void serve(const ControlSettings &settings)
{
    // Exceeding a file size limit must end as a failed write, not in the signal's default action.
    std::signal(SIGXFSZ, SIG_IGN);
    startLog(settings.log);
    boost::asio::io_context io;
    auto storage = RaftStorage::open(settings.dataFolder).value();
    if (storage->truncatedBytes() > 0)
        Log::warning(LogEvent::LogTailCut).kv("bytes", storage->truncatedBytes());
    if (storage->isNew())
        Log::warning(LogEvent::WaitingToBeAdded)
            .kv("instance", settings.instance)
            .kv("fix",
                "add it with 'camphorctl member add', or run --initialise once on each "
                "member of a new group");
    if (settings.members.size() < 3)
        Log::warning(LogEvent::TrialGroup)
            .kv("reason", "fewer than 3 members: the loss of one disk can lose the state");
    std::atomic<int> exitCode = 0;
    [[maybe_unused]] const auto server =
        ControlServer::make(io, settings, std::move(storage), [&](const Error &) {
            exitCode = StorageExitCode;
            io.stop();
        }).value();
    Log::info(LogEvent::Listening)
        .kv("rpc", settings.listen.toString())
        .kv("operators", settings.operatorListen.toString());
    runUntilDrained(io, 2, [&] { io.stop(); });
    stopLog();
    // Everything accepted is synced, so no work is left to finish. Open calls and the server hold
    // references to each other, so no destructors run; the system closes the connections.
    std::_Exit(exitCode);
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram("camphorspindle-control", [&] {
        CommandLineSpec spec{"camphorspindle-control",
                             "A member of the group that agrees on declarations and replica sets.",
                             "--settings FILE [--check | --initialise]", serverOptions()};
        spec.options.push_back(
            {"initialise", "", "Initialise the data folder of a member of a new group, and exit."});
        const auto line = parseCommandLine(spec, argc, argv);
        if (!line.has("settings")) {
            throw UserError(Error{ErrorCode::InvalidSettings,
                                  "--settings is missing. Fix: give a settings file"});
        }
        const auto settings = ControlSettings::load(line.value("settings"));
        if (line.has("check")) {
            std::cout << line.value("settings") << ": valid\n";
            return 0;
        }
        if (!line.has("initialise"))
            serve(settings);
        return initialise(settings);
    });
}
