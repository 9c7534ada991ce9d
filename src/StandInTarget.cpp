#include "StandInTarget.h"

#include "AsioSupport.h"
#include "HttpClient.h"
#include "Log.h"
#include "StandInTask.h"
#include "TargetAnnouncer.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <numeric>
#include <optional>

namespace Camphor {

namespace {

constexpr double StraggleFactor = 10;
/// Longest run time that a task may request.
constexpr Milliseconds MaxRunTime{600'000};
/// Entries may still send work that they placed before they learned that the target is leaving.
constexpr Milliseconds MinDrainTime{300};
constexpr const char *JsonType = "application/json";

/// State shared by the targets of a fleet.
struct FleetState
{
    StandInFleetSettings settings;
    StartLog startLog;
    FaultPlan faults;
    StandInCounters counters;
    SteadyClock clock;
};

HttpResponse makeError(int status, const std::string &reason)
{
    return makeResponse(status, JsonType, nlohmann::json{{"error", reason}}.dump());
}

HttpResponse makeNotStarted(const std::string &reason)
{
    auto response = makeError(503, reason);
    response.headers["Camphorspindle-Started"] = "false";
    return response;
}

/// One target with its slots.
class StandInTarget : public std::enable_shared_from_this<StandInTarget>
{
public:
    StandInTarget(boost::asio::io_context &io, std::shared_ptr<FleetState> fleet, std::size_t index)
        : m_io(io)
        , m_fleet(std::move(fleet))
        , m_index(index)
    {
    }

    Status start(const std::shared_ptr<HttpClient> &client)
    {
        auto listen = m_fleet->settings.listen;
        if (listen.port != 0)
            listen.port = static_cast<std::uint16_t>(listen.port + m_index);
        auto server = TargetServer::make(
            m_io, listen, m_fleet->settings.oneWayDelay,
            [self = weak_from_this()](HttpRequest request, const TargetRespond &respond) {
                if (const auto target = self.lock())
                    target->handle(std::move(request), respond);
            });
        if (!server)
            return server.error();
        m_server = server.value();
        m_address = Address{listen.host, m_server->port()};
        m_announcer = TargetAnnouncer::make(
            m_io, client, id(), m_fleet->settings.entries, [self = weak_from_this()] {
                const auto target = self.lock();
                return target ? target->announcement() : std::string();
            });
        m_announcer->announceNow();
        return okStatus();
    }

    [[nodiscard]] const Address &address() const { return m_address; }
    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    [[nodiscard]] const std::shared_ptr<TargetAnnouncer> &announcer() const { return m_announcer; }

    void startLeaving()
    {
        if (!m_leavingSince)
            m_leavingSince = m_fleet->clock.now();
        m_announcer->announceNow();
    }

private:
    struct Run
    {
        TargetRespond respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
        StandInTask task;
        std::string input;
        std::optional<TargetFault> fault;
    };

    [[nodiscard]] std::string id() const
    {
        return m_fleet->settings.workerPrefix + std::to_string(m_index);
    }

    std::string announcement()
    {
        maybeStartLeaving();
        nlohmann::json services = nlohmann::json::object();
        for (const auto &service : m_fleet->settings.services)
            services[service] = m_fleet->settings.slots;
        nlohmann::json running = nlohmann::json::array();
        for (const auto &[attempt, run] : m_running)
            running.push_back(attempt);
        const auto rack = m_index / static_cast<std::size_t>(m_fleet->settings.rackSize);
        return nlohmann::json{{"address", m_address.toString()},
                              {"services", services},
                              {"slots", m_fleet->settings.slots},
                              {"worker", id()},
                              {"rack", m_fleet->settings.domain + "-rack-" + std::to_string(rack)},
                              {"domain", m_fleet->settings.domain},
                              {"state", m_leavingSince ? "leaving" : "serving"},
                              {"running", running}}
            .dump();
    }

    void maybeStartLeaving()
    {
        if (m_leavingSince || !m_fleet->faults.drawLeave(m_index))
            return;
        ++m_fleet->counters.faults;
        m_leavingSince = m_fleet->clock.now();
        auto timer = std::make_shared<boost::asio::steady_timer>(m_io);
        timer->expires_after(toChrono(m_fleet->settings.leaveDuration));
        timer->async_wait([self = shared_from_this(), timer](const boost::system::error_code &) {
            self->m_leavingSince.reset();
        });
    }

    void handle(HttpRequest request, const TargetRespond &respond)
    {
        const auto path = splitPath(request.path());
        const bool isRun = path.size() >= 2 && path[0] == "v1" && path[1] == "run";
        if (request.method == "POST" && isRun && path.size() == 2)
            run(std::move(request), respond);
        else if (request.method == "DELETE" && isRun && path.size() == 3)
            stop(path[2], respond);
        else
            respond(makeError(404, "no-such-path"), ReplyMode::Complete);
    }

    void run(HttpRequest request, const TargetRespond &respond)
    {
        const std::string attempt(request.header("camphorspindle-attempt"));
        if (m_running.size() >= static_cast<std::size_t>(m_fleet->settings.slots)) {
            ++m_fleet->counters.refused;
            respond(makeNotStarted("no-free-slot"), ReplyMode::Complete);
            return;
        }
        auto task = decodeTask(request.body);
        ++m_fleet->counters.starts;
        m_fleet->startLog.append(
            {wallClockMs(), id(), attempt, std::string(request.header("camphorspindle-task")),
             task.id, std::string(request.header("camphorspindle-service")),
             m_leavingSince ? (m_fleet->clock.now() - *m_leavingSince).count() : 0.0});
        Run entry{respond, nullptr, std::move(task), std::move(request.body),
                  m_fleet->faults.draw(m_index)};
        if (entry.fault)
            ++m_fleet->counters.faults;
        const auto time = slotTime(entry);
        if (time <= Milliseconds{0}) {
            sendResponse(entry, attempt);
            return;
        }
        // A second start of an attempt must not replace the first one, so that both stay visible.
        auto key = attempt;
        while (m_running.contains(key))
            key += "+";
        entry.timer = std::make_shared<boost::asio::steady_timer>(m_io);
        entry.timer->expires_after(toChrono(time));
        entry.timer->async_wait(
            [self = shared_from_this(), key](const boost::system::error_code &ec) {
                if (!ec)
                    self->finish(key);
            });
        m_running.emplace(std::move(key), std::move(entry));
    }

    [[nodiscard]] Milliseconds slotTime(const Run &run) const
    {
        const auto time = std::clamp(run.task.runTime, Milliseconds{0}, MaxRunTime);
        if (!run.fault)
            return time;
        switch (*run.fault) {
        case TargetFault::Fail:
            return Milliseconds{0};
        case TargetFault::Straggle:
            return time * StraggleFactor;
        case TargetFault::Stall:
            return m_fleet->settings.stallLimit;
        case TargetFault::AnswerLate:
            return time + m_fleet->settings.lateResponseDelay;
        case TargetFault::Truncate:
        case TargetFault::Reset:
        case TargetFault::AnswerTwice:
        case TargetFault::Leave:
            break;
        }
        return time;
    }

    void finish(const std::string &attempt)
    {
        if (auto node = m_running.extract(attempt); !node.empty())
            sendResponse(node.mapped(), attempt.substr(0, attempt.find('+')));
    }

    static void sendResponse(const Run &run, const std::string &attempt)
    {
        if (run.fault == TargetFault::Fail) {
            run.respond(makeError(500, "task-failed"), ReplyMode::Complete);
            return;
        }
        auto mode = ReplyMode::Complete;
        if (run.fault == TargetFault::Truncate)
            mode = ReplyMode::Truncated;
        else if (run.fault == TargetFault::Stall || run.fault == TargetFault::Reset)
            mode = ReplyMode::Reset;
        else if (run.fault == TargetFault::AnswerTwice)
            mode = ReplyMode::Twice;
        auto response = makeResponse(200, JsonType, makeResponseBody(run.task, run.input));
        // Allows the entry to recognize a late second response on a connection that it has reused.
        response.headers["camphorspindle-attempt"] = attempt;
        run.respond(std::move(response), mode);
    }

    void stop(const std::string &attempt, const TargetRespond &respond)
    {
        auto node = m_running.extract(attempt);
        if (node.empty()) {
            respond(makeError(404, "no-such-attempt"), ReplyMode::Complete);
            return;
        }
        ++m_fleet->counters.stopped;
        node.mapped().timer->cancel();
        node.mapped().respond(makeError(500, "stopped"), ReplyMode::Complete);
        respond(makeResponse(200, JsonType, R"({"stopped":true})"), ReplyMode::Complete);
    }

    boost::asio::io_context &m_io;
    std::shared_ptr<FleetState> m_fleet;
    std::size_t m_index;
    Address m_address;
    std::shared_ptr<TargetServer> m_server;
    std::shared_ptr<TargetAnnouncer> m_announcer;
    std::map<std::string, Run> m_running; ///< By attempt id.
    std::optional<Milliseconds> m_leavingSince;
};

class AsioStandInFleet : public StandInFleet, public std::enable_shared_from_this<AsioStandInFleet>
{
public:
    AsioStandInFleet(boost::asio::io_context &io, StandInFleetSettings settings)
        : m_io(io)
        , m_state(std::make_shared<FleetState>())
        , m_client(HttpClient::make(io, {}))
        , m_timer(io)
    {
        m_state->settings = std::move(settings);
    }

    Status start()
    {
        auto log = StartLog::open(m_state->settings.startLogPath);
        if (!log)
            return log.error();
        m_state->startLog = std::move(log).value();
        if (const auto status = setFaults(m_state->settings.faults); !status)
            return status.error();
        for (int n = 0; n < m_state->settings.targets; ++n) {
            m_targets.push_back(
                std::make_shared<StandInTarget>(m_io, m_state, static_cast<std::size_t>(n)));
            if (const auto status = m_targets.back()->start(m_client); !status)
                return status.error();
        }
        return okStatus();
    }

    void startDrain() override
    {
        m_drainStart = m_state->clock.now();
        for (const auto &target : m_targets)
            target->startLeaving();
        waitForTasks();
    }

    [[nodiscard]] Status setFaults(const std::string &faults) override
    {
        auto plan = FaultPlan::parse(faults, static_cast<std::size_t>(m_state->settings.targets),
                                     m_state->settings.faultSeed);
        if (!plan)
            return plan.error();
        m_state->faults = std::move(plan).value();
        return okStatus();
    }

    [[nodiscard]] StandInCounters counters() const override { return m_state->counters; }

    [[nodiscard]] std::vector<Address> addresses() const override
    {
        std::vector<Address> all;
        std::ranges::transform(m_targets, std::back_inserter(all),
                               [](const auto &target) { return target->address(); });
        return all;
    }

    [[nodiscard]] std::size_t running() const override
    {
        return std::accumulate(
            m_targets.begin(), m_targets.end(), std::size_t{0},
            [](auto sum, const auto &target) { return sum + target->running(); });
    }

private:
    void waitForTasks()
    {
        if (running() == 0 && m_state->clock.now() - m_drainStart >= MinDrainTime) {
            leave();
            return;
        }
        m_timer.expires_after(std::chrono::milliseconds(20));
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
            if (!ec)
                self->waitForTasks();
        });
    }

    void leave()
    {
        const auto remaining = std::make_shared<std::size_t>(m_targets.size());
        for (const auto &target : m_targets) {
            target->announcer()->leave([self = shared_from_this(), remaining] {
                if (--*remaining == 0)
                    self->m_io.stop();
            });
        }
    }

    boost::asio::io_context &m_io;
    std::shared_ptr<FleetState> m_state;
    std::shared_ptr<HttpClient> m_client;
    boost::asio::steady_timer m_timer;
    std::vector<std::shared_ptr<StandInTarget>> m_targets;
    Milliseconds m_drainStart;
};

} // namespace

Result<std::shared_ptr<StandInFleet>> StandInFleet::make(boost::asio::io_context &io,
                                                         const StandInFleetSettings &settings)
{
    auto fleet = std::make_shared<AsioStandInFleet>(io, settings);
    if (const auto status = fleet->start(); !status)
        return status.error();
    return std::shared_ptr<StandInFleet>(std::move(fleet));
}

} // namespace Camphor
