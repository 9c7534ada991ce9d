/// @file A small fleet of real processes: control instances and entries, with simulated instances.
#pragma once

#include "FleetModel.h"
#include "HttpServer.h"
#include "LogTimeline.h"
#include "TestProcess.h"

#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <atomic>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Camphor::Testing {

/// Version 3, with one queue at the prefix /q/ of the host h.example.
inline constexpr const char *Configuration =
    R"({"version":3,"routes":[{"name":"r","host":"h.example","path_prefix":"/q/",)"
    R"("kind":"non_idempotent","timeout_ms":9000,"target_duration_ms":60,"priority":0,)"
    R"("service":"s","max_attempts":3,"stretch_factor":20}],"services":[{"name":"s"}],)"
    R"("limits":{}})";

/// Serves simulated instances over HTTP on a thread of its own.
class SimulatedInstances
{
public:
    explicit SimulatedInstances(int count)
    {
        for (int n = 0; n < count; ++n)
            add(n);
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~SimulatedInstances()
    {
        m_io.stop();
        m_thread.join();
    }
    SimulatedInstances(const SimulatedInstances &) = delete;
    SimulatedInstances &operator=(const SimulatedInstances &) = delete;

    /// Sends each instance's report to a control instance. @return whether all were acknowledged.
    bool report(const Address &control)
    {
        ++m_sequence;
        return std::ranges::all_of(m_instances, [&](const auto &it) {
            const auto &report = it.second.report();
            const nlohmann::json body{
                {"service", report.service},
                {"address", report.address},
                {"zone", report.domain},
                {"state", "ready"},
                {"seq", m_sequence},
                {"born", report.key.startTimeMs},
                {"capacity", {{"cpu", 32'000}, {"mem_mb", 1'000}, {"gpu", 0}}},
                {"labels", nlohmann::json::array()}};
            return statusOf(
                       callHttp(control, makeRequest("PUT", "/instances/" + it.first, body.dump())))
                == 200;
        });
    }

    std::size_t running()
    {
        const std::lock_guard lock(m_mutex);
        std::size_t count = 0;
        for (auto &[id, instance] : m_instances) {
            instance.advance(now());
            count += instance.running().size();
        }
        return count;
    }

    std::atomic<double> runMs{30};
    /// Number of starts of a task that was running on another instance.
    std::atomic<int> doubleRuns{0};

private:
    void add(int n)
    {
        const auto id = "i-" + std::to_string(n);
        HttpServerSettings settings;
        settings.listen = {"127.0.0.1", freePort()};
        auto server = HttpServer::make(
            m_io, settings, [this, id](const HttpRequest &request, const HttpRespond &respond) {
                onOrder(id, request, respond);
            });
        InstanceReport report;
        report.key = {id, 1'000};
        report.service = "s";
        report.domain = "north";
        report.address = settings.listen.toString();
        report.capacity = {32'000, 1'000, 0};
        m_instances.emplace(id, SimulatedInstance(report, 0));
        m_servers.push_back(std::move(server).value());
    }

    [[nodiscard]] double now() const { return (m_clock.now() - m_start).count(); }

    void onOrder(const std::string &id, const HttpRequest &request, const HttpRespond &respond)
    {
        const std::lock_guard lock(m_mutex);
        auto &instance = m_instances.at(id);
        const auto body = nlohmann::json::parse(request.body);
        const OrderTarget target{{id, 1'000}, {}, body.value("fencing_token", std::uint64_t{0})};
        const RunKey key{body.value("task", ""), body.value("run", std::uint64_t{0})};
        if (request.target == "/run-start") {
            const StartOrder order{target, key, body.value("spec", ""),
                                   body.at("deadline_ms").get<std::uint64_t>()};
            const auto reply = instance.start(order, {14'000, 64, 0}, runMs, false, now());
            if (reply.result == OrderResult::Accepted && isRunningElsewhere(id, key.task))
                ++doubleRuns;
            sendReply(reply, respond);
        } else if (request.target == "/run-stop") {
            sendReply(instance.stop({target, key}, now()), respond);
        } else {
            HoldOrder order{target, std::nullopt, body.value("acked_through", std::uint64_t{0}),
                            body.value("wait_ms", 0U), 0};
            if (body.contains("deadline_ms"))
                order.leaseUntilMs = body.at("deadline_ms").get<std::uint64_t>();
            hold(id, order, now() + order.waitMs, respond);
        }
    }

    /// Requires the lock.
    bool isRunningElsewhere(const std::string &id, const std::string &task)
    {
        return std::ranges::any_of(m_instances, [&](auto &it) {
            it.second.advance(now());
            return it.first != id && std::ranges::any_of(it.second.running(), [&](const auto &run) {
                       return run.key.task == task;
                   });
        });
    }

    /// Replies at the first end, or when the wait is over. Requires the lock.
    void hold(const std::string &id, const HoldOrder &order, double until,
              const HttpRespond &respond)
    {
        const auto reply = m_instances.at(id).hold(order, now());
        if (reply.result == OrderResult::Accepted && reply.ended.empty() && now() < until) {
            auto timer =
                std::make_shared<boost::asio::steady_timer>(m_io, std::chrono::milliseconds(2));
            timer->async_wait([=, this](const boost::system::error_code &) {
                (void)timer;
                const std::lock_guard lock(m_mutex);
                hold(id, order, until, respond);
            });
            return;
        }
        if (reply.result != OrderResult::Accepted) {
            sendReply({reply.result, reply.clockMs, 0}, respond);
            return;
        }
        nlohmann::json body{{"clock_ms", *reply.clockMs},
                            {"running", nlohmann::json::array()},
                            {"ended_runs", nlohmann::json::array()}};
        for (const auto &run : reply.running)
            body["running"].push_back({run.key.task, run.key.run, "", run.percent});
        for (const auto &end : reply.ended)
            body["ended_runs"].push_back(
                {end.number, end.key.task, end.key.run, runEndName(end.end), ""});
        respond(makeResponse(200, "application/json", body.dump()));
    }

    static void sendReply(const OrderReply &reply, const HttpRespond &respond)
    {
        nlohmann::json body{{"clock_ms", *reply.clockMs}};
        if (reply.result != OrderResult::Accepted) {
            const std::map<OrderResult, const char *> reasons{{OrderResult::Fenced, "fence"},
                                                              {OrderResult::Outdated, "old"},
                                                              {OrderResult::TooLate, "late"},
                                                              {OrderResult::NoRoom, "room"}};
            body["reason"] = reasons.at(reply.result);
        }
        respond(makeResponse(reply.result == OrderResult::Accepted ? 200 : 409, "application/json",
                             body.dump()));
    }

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{
        m_io.get_executor()};
    SteadyClock m_clock;
    Milliseconds m_start = m_clock.now();
    std::mutex m_mutex;
    std::map<std::string, SimulatedInstance> m_instances;
    std::vector<std::shared_ptr<HttpServer>> m_servers;
    std::uint64_t m_sequence = 0;
    std::thread m_thread;
};

/// The processes of a small fleet in one failure domain.
class Fleet
{
public:
    explicit Fleet(int entries = 2)
    {
        const auto operators = freePort();
        for (int n = 0; n < 3; ++n)
            m_seeds.push_back({"127.0.0." + std::to_string(11 + n), operators});
        for (const auto &seed : m_seeds)
            startControl(seed, true);
        for (int n = 0; n < entries; ++n) {
            const auto name = "entry-" + std::to_string(n);
            const auto host = "127.0.0." + std::to_string(21 + n);
            callers.push_back({host, freePort()});
            readiness.push_back({host, freePort()});
            settings[name] = common(name, host) + "callerListen: \"" + callers.back().toString()
                + "\"\nreadinessListen: \"" + readiness.back().toString() + "\"\n";
            start(name);
        }
    }

    /// Starts one more control instance, with an empty disk. @return its name.
    std::string addControl()
    {
        const auto host = "127.0.0." + std::to_string(11 + m_controls.size());
        return startControl({host, m_seeds.front().port}, false);
    }

    void start(const std::string &name)
    {
        const bool isEntry = name.starts_with("entry");
        m_processes[name] = std::make_unique<TestProcess>(
            isEntry ? "camphorspindle-fleet-entry" : "camphorspindle-fleet-control",
            std::vector<std::string>{"--settings", m_folder.write(name + ".yaml", settings[name])},
            logOf(name));
    }

    void kill(const std::string &name)
    {
        m_processes.at(name)->signal(SIGKILL);
        (void)m_processes.at(name)->wait();
    }

    TestProcess &process(const std::string &name) { return *m_processes.at(name); }

    void eraseDisk(const std::string &name)
    {
        std::filesystem::remove_all(m_folder.path() / name);
        const auto at = settings[name].find("firstStart: true");
        settings[name].replace(at, 16, "firstStart: false");
    }

    [[nodiscard]] std::string logOf(const std::string &name) const
    {
        return (m_folder.path() / (name + ".log")).string();
    }

    /// Whether a line of a process's log contains all the words.
    [[nodiscard]] bool hasLogLine(const std::string &name, const std::vector<std::string> &words)
    {
        std::ifstream file(logOf(name));
        for (std::string line; std::getline(file, line);) {
            if (std::ranges::all_of(
                    words, [&](const auto &it) { return line.find(it) != std::string::npos; }))
                return true;
        }
        return false;
    }

    /// Calls control instances in turn until one responds with 200.
    HttpResponse callAnyControl(const std::string &method, const std::string &body = {})
    {
        HttpResponse response;
        (void)waitUntil([&] {
            return std::ranges::any_of(m_controls, [&](const auto &control) {
                return callControl(control, method, body, response);
            });
        });
        return response;
    }

    /// Calls one control instance. @return whether it responds with 200.
    static bool callControl(const Address &control, const std::string &method,
                            const std::string &body, HttpResponse &response)
    {
        const auto result =
            callHttp(control, makeRequest(method, "/configuration", body), Milliseconds{2'000});
        if (statusOf(result) != 200)
            return false;
        response = std::get<HttpResponse>(result);
        return true;
    }

    /// Submits a job until it is completed, like a caller that retries.
    bool completeJob(std::size_t entry, const std::string &jobId)
    {
        return waitUntil([&] { return submit(entry, jobId) == 200; });
    }

    int submit(std::size_t entry, const std::string &jobId,
               Milliseconds timeout = Milliseconds{10'000}) const
    {
        return submitTo("/q/", entry, jobId, timeout);
    }

    /// Submits a job of that many tasks.
    int submitWide(std::size_t entry, const std::string &jobId, int tasks,
                   Milliseconds timeout = Milliseconds{10'000}) const
    {
        return submitTo("/q/", entry, jobId, timeout, tasks);
    }

    int submitTo(const std::string &prefix, std::size_t entry, const std::string &jobId,
                 Milliseconds timeout = Milliseconds{10'000}, int tasks = 3,
                 const std::string &host = "h.example") const
    {
        auto request = makeRequest("POST", prefix + jobId,
                                   R"({"spec":"x","best_effort":true,"phases":[{"count":)"
                                       + std::to_string(tasks)
                                       + R"(,"cpu":14000,"mem_mb":64,"estimated_ms":50}]})");
        request.headers["host"] = host;
        return statusOf(callHttp(callers[entry], request, timeout));
    }

    /// Waits until the entries serve jobs on the instances.
    [[nodiscard]] bool awaitReady(SimulatedInstances &instances)
    {
        return callAnyControl("PUT", Configuration).status == 200
            && waitUntil([&] { return instances.report(controls()[0]); })
            && std::ranges::all_of(readiness, [](const Address &it) {
                   return waitUntil([&] {
                       return statusOf(callHttp(it, makeRequest("GET", "/readyz"))) == 200;
                   });
               });
    }

    /// The log of each process.
    [[nodiscard]] std::vector<LogSource> logs() const
    {
        std::vector<LogSource> sources;
        for (const auto &[name, text] : settings) {
            std::ifstream file(logOf(name));
            std::ostringstream content;
            content << file.rdbuf();
            sources.push_back({name, content.str()});
        }
        return sources;
    }

    [[nodiscard]] const std::vector<Address> &controls() const { return m_controls; }

    std::map<std::string, std::string> settings;
    std::vector<Address> callers;
    std::vector<Address> readiness;

private:
    std::string startControl(const Address &operators, bool isFirstStart)
    {
        const auto name = "control-" + std::to_string(m_controls.size());
        m_controls.push_back(operators);
        settings[name] = common(name, operators.host) + "operatorListen: \"" + operators.toString()
            + "\"\nfirstStart: " + (isFirstStart ? "true" : "false") + "\ndataFolder: \""
            + (m_folder.path() / name).string() + "\"\ndomains: {north: here}\n";
        start(name);
        return name;
    }

    std::string common(const std::string &name, const std::string &host) const
    {
        std::string seeds;
        for (const auto &seed : m_seeds)
            seeds += (seeds.empty() ? "\"" : ", \"") + seed.toString() + "\"";
        return "instance: " + name + "\ndomain: north\nrpcListen: \"" + host + ":"
            + std::to_string(m_rpcPort) + "\"\nmetricsListen: \"" + host + ":"
            + std::to_string(freePort()) + "\"\nseeds: [" + seeds + "]\n";
    }

    TemporaryFolder m_folder;
    std::uint16_t m_rpcPort = freePort(); ///< Of all processes.
    std::vector<Address> m_seeds; ///< Operator addresses of the founders.
    std::vector<Address> m_controls; ///< Operator addresses.
    std::map<std::string, std::unique_ptr<TestProcess>> m_processes;
};

} // namespace Camphor::Testing
