/// @file camphorspindle-entry: takes callers' requests and runs them on targets.
#include "CommandLine.h"
#include "HttpClient.h"
#include "HttpServer.h"
#include "Ids.h"
#include "Log.h"
#include "ProcessRunner.h"

#include <boost/asio/io_context.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <mutex>

namespace {

using namespace Camphor;

constexpr Milliseconds RequestTimeout{10'000};

/// Announced targets by service.
class TargetTable
{
public:
    void announce(const std::string &id, const nlohmann::json &announcement)
    {
        const std::lock_guard lock(m_mutex);
        const auto address = Address::parse(announcement.at("address").get<std::string>()).value();
        for (const auto &[service, slots] : announcement.at("services").items())
            m_targets[service][id] = address;
    }

    std::optional<Address> next(const std::string &service)
    {
        const std::lock_guard lock(m_mutex);
        const auto &targets = m_targets[service];
        if (targets.empty())
            return std::nullopt;
        return std::next(targets.begin(), static_cast<long>(m_turn++ % targets.size()))->second;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::map<std::string, Address>> m_targets;
    std::size_t m_turn = 0;
};

HttpResponse makeProblem(int status, const char *outcome, const std::string &reason)
{
    return makeResponse(
        status, ProblemContentType,
        nlohmann::json{{"outcome", outcome}, {"reason", reason}, {"started", 0}}.dump());
}

void forward(HttpClient &client, TargetTable &targets, const std::string &service,
             HttpRequest request, const HttpRespond &respond)
{
    const auto target = targets.next(service);
    if (!target) {
        respond(makeProblem(503, "not-run", "no-target"));
        return;
    }
    const auto attempt = makeRandomId();
    Log::decision("attempt-started")
        .kv("attempt", attempt)
        .kv("service", service)
        .kv("target", target->toString())
        .kv("reason", "round-robin");
    HttpRequest call;
    call.method = "POST";
    call.target = "/v1/run";
    call.headers["camphorspindle-service"] = service;
    call.headers["camphorspindle-attempt"] = attempt;
    call.body = std::move(request.body);
    client.send(*target, std::move(call), RequestTimeout, [respond](HttpResult result) {
        if (auto *response = std::get_if<HttpResponse>(&result))
            respond(std::move(*response));
        else
            respond(makeProblem(504, "unknown", "target-lost"));
    });
}

int run(const CommandLine &line)
{
    boost::asio::io_context io;
    HttpServerSettings settings;
    settings.listen = Address::parse(line.value("listen", "127.0.0.1:8080")).value();
    TargetTable targets;
    const auto client = HttpClient::make(io, {});
    const auto server =
        HttpServer::make(io, settings, [&](HttpRequest request, const HttpRespond &respond) {
            const auto path = splitPath(request.path());
            if (path.size() == 3 && path[1] == "targets") {
                targets.announce(path[2], nlohmann::json::parse(request.body));
                respond(makeResponse(200, "application/json", R"({"heartbeatMs":1000})"));
            } else if (path.size() == 3 && path[1] == "requests") {
                forward(*client, targets, path[2], std::move(request), respond);
            } else {
                respond(makeProblem(404, "not-run", "no-such-path"));
            }
        }).value();
    Log::info("listening").kv("port", server->port());
    runUntilDrained(io, 2, [&] { io.stop(); });
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram("camphorspindle-entry", [&] {
        const CommandLineSpec spec{"camphorspindle-entry",
                                   "Takes callers' requests and runs them on targets.",
                                   "[options]",
                                   {{"listen", "IP:PORT", "Address to serve on."}}};
        const auto line = parseCommandLine(spec, argc, argv);
        startLog({});
        return run(line);
    });
}
