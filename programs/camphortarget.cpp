/// @file camphortarget: stand-in for targets. One process serves one target and announces it.
#include "CommandLine.h"
#include "HttpClient.h"
#include "HttpServer.h"
#include "Log.h"
#include "ProcessRunner.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>

namespace {

using namespace Camphor;

constexpr std::chrono::seconds HeartbeatPeriod{1};

void announce(const std::shared_ptr<HttpClient> &client, const Address &entry,
              const Address &target, const std::string &service, int slots)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = "/v1/targets/" + target.toString();
    request.body = nlohmann::json{{"address", target.toString()},
                                  {"services", {{service, slots}}},
                                  {"state", "serving"}}
                       .dump();
    client->send(entry, std::move(request), Milliseconds{1000}, [](const HttpResult &) { });
}

int run(const CommandLine &line)
{
    const auto entry = Address::parse(line.value("entry")).value();
    const auto service = line.value("service", "echo");
    boost::asio::io_context io;
    HttpServerSettings settings;
    settings.listen = Address::parse(line.value("listen", "127.0.0.1:0")).value();
    const auto server =
        HttpServer::make(io, settings, [](HttpRequest request, const HttpRespond &respond) {
            respond(makeResponse(200, "application/octet-stream", std::move(request.body)));
        }).value();
    const Address own{settings.listen.host, server->port()};
    const auto client = HttpClient::make(io, {});
    boost::asio::steady_timer timer(io);
    std::function<void()> beat = [&] {
        announce(client, entry, own, service, 8);
        timer.expires_after(HeartbeatPeriod);
        timer.async_wait([&](const boost::system::error_code &ec) {
            if (!ec)
                beat();
        });
    };
    beat();
    runUntilDrained(io, 1, [&] { io.stop(); });
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram("camphortarget", [&] {
        const CommandLineSpec spec{"camphortarget",
                                   "Stand-in target that answers every task with its input.",
                                   "--entry IP:PORT [options]",
                                   {{"entry", "IP:PORT", "Entry to announce to."},
                                    {"listen", "IP:PORT", "Address to serve on."},
                                    {"service", "NAME", "Service to offer."}}};
        const auto line = parseCommandLine(spec, argc, argv);
        startLog({});
        return run(line);
    });
}
