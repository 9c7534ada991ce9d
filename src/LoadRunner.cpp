#include "LoadRunner.h"

#include "AsioSupport.h"
#include "EntryBalancer.h"
#include "HttpClient.h"
#include "Log.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <functional>
#include <random>

namespace Camphor {

namespace {

/// Time to connect and to read the first readiness responses before the first arrival.
constexpr Milliseconds StartDelay{500};
constexpr Milliseconds MetricsTimeout{5'000};
constexpr std::size_t MaxIdleConnections = 2'048;
constexpr int MaxSendAttempts = 16;
constexpr const char *JsonType = "application/json";

using Json = nlohmann::json;

HttpRequest makeJobCall(const FlowScenario &flow, const PlannedRequest &request)
{
    Json tasks = Json::array();
    for (const auto &task : request.tasks)
        tasks.push_back({{"input", Json::parse(encodeTask(task))}});
    Json body{{"service", flow.service},
              {"key", request.key},
              {"urgency", urgencyName(request.urgency)},
              {"deadlineMs", flow.deadline.count()},
              {"tasks", std::move(tasks)}};
    if (!flow.team.empty())
        body["team"] = flow.team;
    HttpRequest call;
    call.method = "POST";
    call.target = "/v1/jobs";
    call.headers["content-type"] = JsonType;
    call.body = body.dump();
    return call;
}

std::string stringField(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// Checks one result of a job. A result is the response of the target itself, as text or as a JSON
/// value.
ResponseCheck checkResult(const StandInTask &task, const Json &result)
{
    return checkResponse(task, result.is_string() ? result.get<std::string>() : result.dump());
}

ResponseCheck checkJobResponse(const PlannedRequest &request, const std::string &body)
{
    const auto json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("results") || !json["results"].is_array()
        || json["results"].size() != request.tasks.size())
        return ResponseCheck::Partial;
    if (stringField(json, "key") != request.key)
        return ResponseCheck::Wrong;
    auto worst = ResponseCheck::Complete;
    for (std::size_t n = 0; n < request.tasks.size(); ++n)
        worst = std::max(worst, checkResult(request.tasks[n], json["results"][n]));
    return worst;
}

/// Message counters of the entries other than those whose name ends in "_messages_total".
constexpr std::array<std::string_view, 4> MessageCounters{
    "camphorspindle_attempts_total", "camphorspindle_peer_requests_total",
    "camphorspindle_ledger_requests_total", "camphorspindle_digests_total"};

/// Returns whether a message was wasted: it started no task, or its response was of no use to
/// any caller.
bool isWasted(std::string_view name, std::string_view labels)
{
    return labels.find("wasted=\"true\"") != std::string_view::npos
        || (name == "camphorspindle_attempts_total"
            && labels.find("end=\"not-started\"") != std::string_view::npos);
}

/// Adds one line of the Prometheus text format; ignores lines that are not message counters.
void addMessageLine(std::string_view line, MessageCounts &counts)
{
    const auto nameEnd = line.find_first_of("{ ");
    const auto valueStart = line.rfind(' ');
    if (line.starts_with('#') || nameEnd == std::string_view::npos)
        return;
    double value = 0;
    const auto text = line.substr(valueStart + 1);
    if (std::from_chars(text.data(), text.data() + text.size(), value).ec != std::errc{})
        return;
    const auto name = line.substr(0, nameEnd);
    if (name == "camphorspindle_late_answers_total") {
        counts.wasted += value;
    } else if (name.ends_with("_messages_total")
               || std::ranges::find(MessageCounters, name) != MessageCounters.end()) {
        counts.all += value;
        counts.wasted += isWasted(name, line.substr(nameEnd, valueStart - nameEnd)) ? value : 0;
    }
}

/// One run. All of it executes on the thread that calls run().
class LoadRun
{
public:
    LoadRun(const Scenario &scenario, const std::vector<PlannedRequest> &plan,
            const LoadSettings &settings)
        : m_scenario(scenario)
        , m_plan(plan)
        , m_settings(settings)
        , m_client(HttpClient::make(m_io, clientSettings()))
        , m_balancer(EntryBalancer::make(m_io, m_client, settings.entries))
        , m_arrivalTimer(m_io)
        , m_engine(scenario.seed)
    {
        m_observation.calls.resize(plan.size());
        m_isInFlight.resize(plan.size());
    }

    LoadObservation run()
    {
        const auto before = readMetrics();
        m_start = std::chrono::steady_clock::now() + toChrono(StartDelay);
        m_observation.startWallMs = wallClockMs() + StartDelay.count();
        Log::info(LogEvent::LoadStarted).kv("requests", m_plan.size());
        schedulePhases();
        scheduleNext();
        m_io.run();
        m_io.restart();
        const auto after = readMetrics();
        m_observation.messages = {std::max(0.0, after.all - before.all),
                                  std::max(0.0, after.wasted - before.wasted)};
        m_observation.unsolicitedResponses = m_client->unsolicitedResponses();
        return std::move(m_observation);
    }

private:
    static HttpClientSettings clientSettings()
    {
        HttpClientSettings settings;
        settings.maxIdlePerAddress = MaxIdleConnections;
        return settings;
    }

    [[nodiscard]] Milliseconds sinceStart() const
    {
        const std::chrono::duration<double, std::milli> time =
            std::chrono::steady_clock::now() - m_start;
        return Milliseconds{time.count()};
    }

    /// Sums the message counters of the entries. An entry that the test kills loses its counters,
    /// so it is excluded both before and after the run.
    MessageCounts readMetrics()
    {
        MessageCounts counts;
        std::size_t open = 0;
        for (const auto &entry : m_settings.entries) {
            if (std::ranges::find(m_settings.killed, entry) != m_settings.killed.end())
                continue;
            HttpRequest request;
            request.method = "GET";
            request.target = "/metrics";
            ++open;
            m_client->send(entry, std::move(request), MetricsTimeout,
                           [&counts, &open](const HttpResult &result) {
                               --open;
                               const auto *response = std::get_if<HttpResponse>(&result);
                               if (response == nullptr || response->status != 200)
                                   return;
                               const auto it = readMessageCounts(response->body);
                               counts.all += it.all;
                               counts.wasted += it.wasted;
                           });
        }
        while (open > 0)
            m_io.run_one();
        return counts;
    }

    void scheduleNext()
    {
        while (m_nextPlanned < m_plan.size()) {
            const auto due = m_plan[m_nextPlanned].at + m_scenario.callerDelay;
            const auto now = sinceStart();
            if (due > now) {
                m_arrivalTimer.expires_at(m_start + toChrono(due));
                m_arrivalTimer.async_wait([this](const boost::system::error_code &ec) {
                    if (!ec)
                        scheduleNext();
                });
                return;
            }
            m_observation.maxSendDelay = std::max(m_observation.maxSendDelay, now - due);
            startCall(m_nextPlanned++);
        }
        stopIfDone();
    }

    void startCall(std::size_t index)
    {
        const auto &request = m_plan[index];
        auto &call = m_observation.calls[index];
        call.plan = index;
        call.sentWallMs = wallClockMs();
        m_isInFlight[index] = true;
        ++m_inFlight;
        m_submissionEntry.resize(std::max(m_submissionEntry.size(), request.submission + 1));
        auto &first = m_submissionEntry[request.submission];
        call.entry = m_balancer->next(request.isResubmission ? std::optional(first) : std::nullopt);
        first = call.entry;
        send(index, MaxSendAttempts);
    }

    void send(std::size_t index, int attemptsLeft)
    {
        const auto &flow = m_scenario.flows[m_plan[index].flow];
        const auto limit = m_plan[index].at + m_scenario.callerDelay + flow.deadline
            + m_scenario.grace - sinceStart();
        m_client->send(m_observation.calls[index].entry, makeCall(flow, m_plan[index]),
                       std::max(Milliseconds{1}, limit),
                       [this, index, attemptsLeft](const HttpResult &result) {
                           onResult(index, attemptsLeft, result);
                       });
    }

    void onResult(std::size_t index, int attemptsLeft, const HttpResult &result)
    {
        auto &call = m_observation.calls[index];
        if (const auto *failure = std::get_if<HttpFailure>(&result)) {
            if (!failure->maybeSent) {
                m_balancer->markRefused(call.entry);
                if (attemptsLeft > 1) {
                    call.entry = m_balancer->next(call.entry);
                    send(index, attemptsLeft - 1);
                    return;
                }
            }
            readFailure(*failure, call);
        } else {
            readResponse(m_scenario.flows[m_plan[index].flow], m_plan[index],
                         std::get<HttpResponse>(result), call);
        }
        finishCall(index);
    }

    static void readFailure(const HttpFailure &failure, CallRecord &call)
    {
        call.reason = failure.error.message;
        if (!failure.maybeSent)
            call.outcome = CallOutcome::NotRun;
        else if (failure.error.code == ErrorCode::Timeout)
            call.outcome = CallOutcome::NoResponse;
        else
            call.outcome = CallOutcome::ConnectionLost;
    }

    void finishCall(std::size_t index)
    {
        auto &call = m_observation.calls[index];
        call.respondedWallMs = wallClockMs();
        call.responseTime = sinceStart() + m_scenario.callerDelay - m_plan[index].at;
        call.isEntryKilled =
            std::ranges::find(m_settings.killed, call.entry) != m_settings.killed.end();
        m_isInFlight[index] = false;
        --m_inFlight;
        stopIfDone();
    }

    void stopIfDone()
    {
        if (m_nextPlanned < m_plan.size() || m_inFlight > 0)
            return;
        for (const auto &timer : m_timers)
            timer->cancel();
        m_balancer->stop();
        m_io.stop();
    }

    void schedulePhases()
    {
        Milliseconds start;
        for (const auto &phase : m_scenario.phases) {
            // tools/cluster waits for this line to inject faults in a phase.
            scheduleAt(start,
                       [&phase] { Log::info(LogEvent::PhaseStarted).kv("phase", phase.name); });
            if (phase.cancel) {
                scheduleAt(start + phase.cancel->at,
                           [this, share = phase.cancel->share] { cancelJobsInFlight(share); });
            }
            start += phase.duration;
        }
    }

    void scheduleAt(Milliseconds instant, std::function<void()> step)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_io);
        timer->expires_at(m_start + toChrono(instant));
        timer->async_wait([step = std::move(step)](const boost::system::error_code &ec) {
            if (!ec)
                step();
        });
        m_timers.push_back(std::move(timer));
    }

    void cancelJobsInFlight(double share)
    {
        std::bernoulli_distribution isChosen(share);
        std::size_t sent = 0;
        for (std::size_t n = 0; n < m_nextPlanned; ++n) {
            const auto &request = m_plan[n];
            if (!m_isInFlight[n] || request.isResubmission || !m_scenario.flows[request.flow].isJob
                || !isChosen(m_engine))
                continue;
            m_observation.calls[n].isCancelled = true;
            HttpRequest cancel;
            cancel.method = "DELETE";
            cancel.target = "/v1/jobs/" + request.key;
            m_client->send(m_balancer->next(std::nullopt), std::move(cancel), MetricsTimeout,
                           [](const HttpResult &) { });
            ++sent;
        }
        Log::info(LogEvent::JobsCancelled).kv("count", sent);
    }

    const Scenario &m_scenario;
    const std::vector<PlannedRequest> &m_plan;
    const LoadSettings &m_settings;
    boost::asio::io_context m_io{1};
    std::shared_ptr<HttpClient> m_client;
    std::shared_ptr<EntryBalancer> m_balancer;
    boost::asio::steady_timer m_arrivalTimer;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> m_timers;
    std::mt19937_64 m_engine;
    std::chrono::steady_clock::time_point m_start;
    LoadObservation m_observation;
    std::vector<bool> m_isInFlight; ///< By index in the plan.
    std::vector<Address> m_submissionEntry; ///< Last entry of each submission.
    std::size_t m_nextPlanned = 0;
    std::size_t m_inFlight = 0;
};

} // namespace

HttpRequest makeCall(const FlowScenario &flow, const PlannedRequest &request)
{
    if (flow.isJob)
        return makeJobCall(flow, request);
    HttpRequest call;
    call.method = "POST";
    call.target = "/v1/requests/" + flow.service;
    call.headers["Content-Type"] = JsonType;
    call.headers["Camphorspindle-Urgency"] = urgencyName(request.urgency);
    call.headers["Camphorspindle-Deadline-Ms"] =
        std::to_string(static_cast<long>(flow.deadline.count()));
    call.headers["Camphorspindle-Repeatable"] = flow.isRepeatable ? "true" : "false";
    if (!flow.team.empty())
        call.headers["Camphorspindle-Team"] = flow.team;
    if (!request.key.empty())
        call.headers["Idempotency-Key"] = request.key;
    call.body = encodeTask(request.tasks.front());
    return call;
}

void readResponse(const FlowScenario &flow, const PlannedRequest &request,
                  const HttpResponse &response, CallRecord &call)
{
    if (response.status == 200) {
        call.outcome = CallOutcome::Completed;
        call.responseCheck = flow.isJob ? checkJobResponse(request, response.body)
                                        : checkResponse(request.tasks.front(), response.body);
        return;
    }
    const auto json = Json::parse(response.body, nullptr, false);
    const auto outcome = json.is_object() ? stringField(json, "outcome") : std::string();
    call.reason =
        json.is_object() ? stringField(json, "reason") : "response is not a problem document";
    if (outcome == "not-run")
        call.outcome = CallOutcome::NotRun;
    else if (outcome == "failed")
        call.outcome = CallOutcome::Failed;
    else
        call.outcome = CallOutcome::Unknown;
}

MessageCounts readMessageCounts(std::string_view metrics)
{
    MessageCounts counts;
    while (!metrics.empty()) {
        const auto end = metrics.find('\n');
        addMessageLine(metrics.substr(0, end), counts);
        metrics = end == std::string_view::npos ? std::string_view{} : metrics.substr(end + 1);
    }
    return counts;
}

LoadObservation runLoad(const Scenario &scenario, const std::vector<PlannedRequest> &plan,
                        const LoadSettings &settings)
{
    return LoadRun(scenario, plan, settings).run();
}

} // namespace Camphor
