/// @file camphorspindle-entry: accepts requests from callers and runs them on targets.
#include "CommandLine.h"
#include "EntryServer.h"
#include "Log.h"
#include "ProcessRunner.h"

#include <boost/asio/io_context.hpp>

#include <iostream>

namespace {

using namespace Camphor;

int run(const CommandLine &line)
{
    const auto path = line.value("settings");
    if (path.empty())
        throw UserError(Error{ErrorCode::InvalidSettings, "option --settings FILE is missing"});
    const auto settings = EntrySettings::load(path).value();
    if (line.has("check")) {
        std::cout << path << ": ok\n";
        return 0;
    }
    startLog(settings.log);
    boost::asio::io_context io(settings.threads);
    const auto server = EntryServer::make(io, settings).value();
    runUntilDrained(io, settings.threads, [&] { server->startDrain(); });
    stopLog();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram("camphorspindle-entry", [&] {
        const CommandLineSpec spec{"camphorspindle-entry",
                                   "Accepts requests from callers and runs them on targets.",
                                   "--settings FILE [--check]", serverOptions()};
        return run(parseCommandLine(spec, argc, argv));
    });
}
