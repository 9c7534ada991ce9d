#include "CallerApi.h"

#include "Ids.h"
#include "Log.h"
#include "Problem.h"
#include "Tickets.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Camphor {

namespace {

using Json = nlohmann::json;

HttpResponse makeJson(int status, const Json &body)
{
    return makeResponse(status, "application/json",
                        body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

/// Makes a problem response for a request that has started nothing.
HttpResponse makeNotRunProblem(int status, std::string reason)
{
    return makeProblem(JobResponse::notRun(std::move(reason), status), makeRandomId());
}

HttpResponse makeMethodNotAllowed(const char *allowed)
{
    auto response = makeNotRunProblem(405, "method-not-allowed");
    response.headers["allow"] = allowed;
    return response;
}

/// Returns the key named in the body of an invalid job, or an empty string if none can be read.
std::string extractKey(const HttpRequest &request)
{
    const auto header = request.header("idempotency-key");
    if (isValidKey(header))
        return std::string(header);
    const auto json = Json::parse(request.body, nullptr, false);
    if (!json.is_object() || !json.contains("key") || !json["key"].is_string())
        return {};
    auto key = json["key"].get<std::string>();
    return isValidKey(key) ? key : std::string();
}

HttpResponse makeSingleResponse(const JobResponse &jobResponse, const std::string &requestId,
                                const std::string &key)
{
    if (jobResponse.outcome != Outcome::Completed)
        return makeProblem(jobResponse, requestId, key);
    auto response = makeResponse(200, "application/octet-stream", jobResponse.body);
    response.headers["camphorspindle-request"] = requestId;
    return response;
}

HttpResponse makeJobResponse(const JobResponse &jobResponse, const std::string &requestId,
                             const std::string &key)
{
    return jobResponse.outcome == Outcome::Completed
        ? makeJobCompleted(key, jobResponse.body, requestId)
        : makeProblem(jobResponse, requestId, key);
}

} // namespace

CallerApi::CallerApi(const ApiServices &services)
    : m_services(services)
{
}

void CallerApi::handle(HttpRequest request, const HttpRespond &respond)
{
    const auto path = splitPath(request.path());
    const bool isV1 = !path.empty() && path[0] == "v1";
    if (isV1 && path.size() == 3 && path[1] == "requests") {
        if (request.method == "POST")
            postRequest(std::move(request), path[2], respond);
        else
            respond(makeMethodNotAllowed("POST"));
    } else if (isV1 && path.size() == 2 && path[1] == "jobs") {
        if (request.method == "POST")
            postJob(request, respond);
        else
            respond(makeMethodNotAllowed("POST"));
    } else if (isV1 && path.size() == 3 && path[1] == "jobs") {
        handleJob(request.method, path[2], respond);
    } else if (isV1 && path.size() == 2 && path[1] == "tickets") {
        if (request.method == "POST")
            postTickets(request, respond);
        else
            respond(makeMethodNotAllowed("POST"));
    } else if (isV1 && path.size() == 3 && path[1] == "targets") {
        handleTarget(request, path[2], respond);
    } else if (isV1 && path.size() == 2 && path[1] == "declaration") {
        handleDeclaration(request, respond);
    } else {
        handleGet(request, path, respond);
    }
}

void CallerApi::rejectInvalid(const Error &error, const std::string &key,
                              const HttpRespond &respond)
{
    m_services.metrics.countInvalidRequest();
    const auto requestId = makeRandomId();
    Log::decision(LogEvent::Refused).kv("request", requestId).kv("reason", error.message);
    if (key.empty()) {
        respond(makeProblem(JobResponse::notRun(error.message, 400), requestId));
        return;
    }
    if (m_services.registry.find(key)) {
        respond(makeProblem(JobResponse::unknown(error.message, 0), requestId, key));
        return;
    }
    m_services.flow.query(key, [=, reason = error.message](const ClaimReply &reply) {
        const auto response = reply.state == ClaimState::Absent ? JobResponse::notRun(reason, 400)
                                                                : JobResponse::unknown(reason, 0);
        respond(makeProblem(response, requestId, key));
    });
}

void CallerApi::postRequest(HttpRequest request, const std::string &service,
                            const HttpRespond &respond)
{
    const auto header = request.header("idempotency-key");
    const std::string key(isValidKey(header) ? header : std::string_view{});
    auto submission = parseSingleRequest(std::move(request), service);
    if (!submission) {
        rejectInvalid(submission.error(), key, respond);
        return;
    }
    const auto requestId = submission.value().requestId;
    m_services.flow.submit(std::move(submission).value(),
                           [this, respond, requestId, key](const JobResponse &response) {
                               m_services.metrics.countResponse(response.outcome);
                               respond(makeSingleResponse(response, requestId, key));
                           });
}

void CallerApi::postJob(const HttpRequest &request, const HttpRespond &respond)
{
    auto submission = parseJob(request);
    if (!submission) {
        rejectInvalid(submission.error(), extractKey(request), respond);
        return;
    }
    const auto requestId = submission.value().requestId;
    const auto key = submission.value().key;
    m_services.flow.submit(std::move(submission).value(),
                           [this, respond, requestId, key](const JobResponse &response) {
                               m_services.metrics.countResponse(response.outcome);
                               respond(makeJobResponse(response, requestId, key));
                           });
}

void CallerApi::handleJob(const std::string &method, const std::string &key,
                          const HttpRespond &respond)
{
    if (!isValidKey(key))
        respond(makeNotRunProblem(400, "invalid-key"));
    else if (method == "GET")
        getJob(key, respond);
    else if (method == "DELETE")
        deleteJob(key, respond);
    else
        respond(makeMethodNotAllowed("GET, DELETE"));
}

void CallerApi::getJob(const std::string &key, const HttpRespond &respond)
{
    if (const auto execution = m_services.registry.find(key)) {
        const auto response = execution->response();
        const auto &submission = execution->submission;
        if (!response) {
            respond(makeJson(200,
                             {{"key", key},
                              {"state", "running"},
                              {"tasks", submission.inputs.size()},
                              {"done", execution->assembler.tasksDone()}}));
        } else if (response->outcome != Outcome::Completed) {
            respond(makeProblem(*response, submission.requestId, key));
        } else {
            respond(makeJobCompleted(
                key, submission.isJob ? response->body : "[" + bodyAsJson(response->body) + "]",
                submission.requestId));
        }
        return;
    }
    m_services.flow.query(key, [this, key, respond](const ClaimReply &reply) {
        respondFromLedger(key, reply, respond);
    });
}

void CallerApi::respondFromLedger(const std::string &key, const ClaimReply &reply,
                                  const HttpRespond &respond)
{
    const auto problem = [&](JobResponse response, int status) {
        response.status = status;
        respond(makeProblem(response, makeRandomId(), key));
    };
    switch (reply.state) {
    case ClaimState::Stored: {
        const auto response = SubmissionFlow::responseFromStored(reply);
        if (response.outcome != Outcome::Completed)
            problem(response, 0);
        else
            respond(makeJobCompleted(key,
                                     SubmissionFlow::isStoredJob(reply)
                                         ? response.body
                                         : "[" + bodyAsJson(response.body) + "]",
                                     makeRandomId()));
        return;
    }
    case ClaimState::Running:
        if (m_services.cluster.hasTerminated(reply.executor)) {
            problem(JobResponse::unknown("executor-died", 0), 0);
        } else {
            respond(makeJson(200,
                             {{"key", key},
                              {"state", "running"},
                              {"tasks", reply.taskCount},
                              {"executor", reply.executor.instance}}));
        }
        return;
    case ClaimState::Absent:
        // The key may have been used so long ago that its retention period in the ledger is over.
        problem(JobResponse::unknown("unknown-key", 0), 404);
        return;
    case ClaimState::Expired:
        problem(JobResponse::unknown("key-expired", 0), 0);
        return;
    default:
        problem(JobResponse::unknown("ledger-unreachable", 0), 0);
        return;
    }
}

void CallerApi::deleteJob(const std::string &key, const HttpRespond &respond)
{
    const auto accepted = [key] { return makeJson(202, {{"key", key}, {"state", "cancelling"}}); };
    const auto execution = m_services.registry.find(key);
    if (execution && !execution->response() && m_services.flow.cancel(key)) {
        respond(accepted());
        return;
    }
    m_services.flow.query(key, [this, key, respond, accepted](const ClaimReply &reply) {
        const bool isRunningOnPeer = reply.state == ClaimState::Running
            && m_services.cluster.isPeer(reply.executor.instance)
            && !m_services.cluster.hasTerminated(reply.executor);
        if (isRunningOnPeer) {
            m_services.peers.cancelSubmission(reply.executor.instance, key);
            respond(accepted());
            return;
        }
        respondFromLedger(key, reply, respond);
    });
}

void CallerApi::postTickets(const HttpRequest &request, const HttpRespond &respond)
{
    const auto count = parseTicketCount(request.body);
    if (!count) {
        rejectInvalid(count.error(), {}, respond);
        return;
    }
    auto keys = Json::array();
    for (std::uint32_t n = 0; n < count.value(); ++n)
        keys.push_back(makeTicket(m_services.settings.domain));
    respond(makeJson(200, {{"keys", std::move(keys)}}));
}

void CallerApi::handleTarget(const HttpRequest &request, const std::string &id,
                             const HttpRespond &respond)
{
    if (request.method == "DELETE") {
        m_services.directory.leave(id);
        respond(makeJson(200, {{"state", "left"}}));
        return;
    }
    if (request.method != "PUT") {
        respond(makeMethodNotAllowed("PUT, DELETE"));
        return;
    }
    auto announcement = parseAnnouncement(id, request.body);
    if (!announcement) {
        rejectInvalid(announcement.error(), {}, respond);
        return;
    }
    const auto &domain = announcement.value().domain;
    if (!domain.empty() && domain != m_services.settings.domain) {
        respond(makeNotRunProblem(409, "target-of-another-domain"));
        return;
    }
    const auto reply = m_services.directory.announce(std::move(announcement).value());
    respond(makeJson(200,
                     {{"owner", reply.owner.toString()},
                      {"heartbeatMs", static_cast<long>(reply.heartbeat.count())}}));
}

void CallerApi::handleDeclaration(const HttpRequest &request, const HttpRespond &respond)
{
    if (request.method == "PUT") {
        respond(makeNotRunProblem(403, "declarations-are-changed-at-the-operators-listener"));
        return;
    }
    if (request.method != "GET") {
        respond(makeMethodNotAllowed("GET"));
        return;
    }
    const auto current = m_services.declaration.current();
    if (current.version == 0) {
        respond(makeNotRunProblem(404, "no-declaration"));
        return;
    }
    auto response = makeResponse(200, "application/yaml", current.text);
    response.headers["etag"] = "\"" + std::to_string(current.version) + "\"";
    respond(std::move(response));
}

void CallerApi::handleGet(const HttpRequest &request, const Path &path, const HttpRespond &respond)
{
    const auto isPath = [&path](std::initializer_list<const char *> parts) {
        return std::equal(path.begin(), path.end(), parts.begin(), parts.end());
    };
    const bool isExplain = path.size() == 3 && path[0] == "v1" && path[1] == "explain";
    const bool isKnown = isExplain || isPath({"v1", "status"}) || isPath({"metrics"})
        || isPath({"healthz"}) || isPath({"readyz"});
    if (!isKnown)
        respond(makeNotRunProblem(404, "no-such-path"));
    else if (request.method != "GET")
        respond(makeMethodNotAllowed("GET"));
    else if (isExplain)
        respond(explainRequest(path[2]));
    else if (isPath({"v1", "status"}))
        respond(status());
    else if (isPath({"metrics"}))
        respond(metricsText());
    else if (isPath({"readyz"}))
        respond(readiness());
    else
        respond(makeResponse(200, "text/plain", "ok\n"));
}

HttpResponse CallerApi::readiness() const
{
    if (m_isDraining)
        return makeNotRunProblem(503, "draining");
    if (!m_services.pools.declaration())
        return makeNotRunProblem(503, "no-declaration");
    return makeResponse(200, "text/plain", "ready\n");
}

HttpResponse CallerApi::status() const
{
    auto pools = Json::object();
    for (const auto &shard : m_services.pools.shards()) {
        const auto stats = shard->stats();
        pools[shard->pool()] = {{"queuedTasks", stats.queuedTasks},
                                {"runningTasks", stats.runningTasks},
                                {"targets", stats.targets},
                                {"targetsOnProbation", stats.targetsOnProbation},
                                {"freeSlots", stats.freeSlots},
                                {"slots", stats.slots},
                                {"queuedSlotMs", stats.queuedSlotMs},
                                {"submitted", stats.submitted},
                                {"finished", stats.finished},
                                {"starts", stats.starts},
                                {"hedges", stats.hedges},
                                {"retries", stats.retries},
                                {"forwards", stats.forwards},
                                {"pulls", stats.pulls},
                                {"expired", stats.expired}};
    }
    auto peers = Json::object();
    for (const auto &peer : m_services.settings.peers) {
        peers[peer.instance] = {{"domain", peer.domain},
                                {"state", peerStateName(m_services.cluster.state(peer.instance))},
                                {"incarnation", m_services.cluster.incarnation(peer.instance)}};
    }
    const auto &self = m_services.cluster.self();
    return makeJson(200,
                    {{"instance", self.instance},
                     {"incarnation", self.incarnation},
                     {"domain", m_services.settings.domain},
                     {"declarationVersion", m_services.declaration.current().version},
                     {"draining", m_isDraining.load()},
                     {"executions", m_services.registry.size()},
                     {"ownedTargets", m_services.directory.ownedTargets()},
                     {"pools", std::move(pools)},
                     {"peers", std::move(peers)}});
}

HttpResponse CallerApi::explainRequest(const std::string &requestId) const
{
    auto tasks = Json::array();
    for (const auto &shard : m_services.pools.shards()) {
        for (const auto &task : shard->explain(requestId)) {
            tasks.push_back({{"task", task.taskIndex},
                             {"state", task.state},
                             {"reason", task.reason},
                             {"place", task.place},
                             {"attempts", task.attempts},
                             {"sinceMs", task.since.count()}});
        }
    }
    auto decisions = Json::array();
    for (const auto &line : m_services.explain.lines(requestId))
        decisions.push_back({{"timeMs", line.time.count()}, {"text", line.text}});
    if (tasks.empty() && decisions.empty())
        return makeNotRunProblem(404, "unknown-request");
    return makeJson(200,
                    {{"requestId", requestId},
                     {"tasks", std::move(tasks)},
                     {"decisions", std::move(decisions)}});
}

HttpResponse CallerApi::metricsText()
{
    auto &metrics = m_services.metrics;
    for (const auto &shard : m_services.pools.shards()) {
        const auto stats = shard->stats();
        const auto set = [&](const char *name, double value) {
            metrics.setGauge(std::string("camphorspindle_") + name, "pool", shard->pool(), value);
        };
        set("queued_tasks", stats.queuedTasks);
        set("running_tasks", stats.runningTasks);
        set("targets", stats.targets);
        set("targets_on_probation", stats.targetsOnProbation);
        set("free_slots", stats.freeSlots);
        set("slots", stats.slots);
        set("starts", static_cast<double>(stats.starts));
        set("hedges", static_cast<double>(stats.hedges));
        set("retries", static_cast<double>(stats.retries));
        set("forwards", static_cast<double>(stats.forwards));
        set("pulls", static_cast<double>(stats.pulls));
    }
    metrics.setGauge("camphorspindle_declaration_version", "", "",
                     static_cast<double>(m_services.declaration.current().version));
    metrics.setGauge("camphorspindle_executions", "", "",
                     static_cast<double>(m_services.registry.size()));
    return makeResponse(200, "text/plain; version=0.0.4", metrics.text());
}

} // namespace Camphor
