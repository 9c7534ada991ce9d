#include "ControlServer.h"

#include "Log.h"
#include "RpcDecode.h"
#include "Wire.h"

#include <boost/asio/post.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace Camphor {

namespace {

constexpr const char *JsonContentType = "application/json";
constexpr std::size_t MaxRequestIdBytes = 128;
constexpr std::size_t DefaultHistoryLimit = 100;

/// Compares in constant time, so that the timing reveals nothing about the token.
bool isEqualSecret(std::string_view a, std::string_view b)
{
    unsigned difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t n = 0; n < a.size(); ++n)
        difference |= static_cast<unsigned char>(a[n])
            ^ static_cast<unsigned char>(b.empty() ? '\0' : b[n % b.size()]);
    return difference == 0;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Parses the version in an ETag: "7" with its quotes.
std::optional<std::uint64_t> parseETag(std::string_view text)
{
    if (text.size() < 3 || text.front() != '"' || text.back() != '"')
        return std::nullopt;
    return parseNumber(text.substr(1, text.size() - 2));
}

std::string makeETag(std::uint64_t version) { return "\"" + std::to_string(version) + "\""; }

std::string queryParameter(const HttpRequest &request, std::string_view key)
{
    const auto queryStart = request.target.find('?');
    std::string_view remaining = queryStart == std::string::npos
        ? std::string_view()
        : std::string_view(request.target).substr(queryStart + 1);
    while (!remaining.empty()) {
        const auto parameter = remaining.substr(0, remaining.find('&'));
        if (parameter.starts_with(key) && parameter.size() > key.size()
            && parameter[key.size()] == '=')
            return std::string(parameter.substr(key.size() + 1));
        remaining.remove_prefix(std::min(remaining.size(), parameter.size() + 1));
    }
    return {};
}

HttpResponse makeProblem(int status, ControlOutcome outcome, const std::string &reason)
{
    // "outcome" has the values that all HTTP responses of the system use; "result" is specific to
    // the control group.
    const bool isUnknown = outcome == ControlOutcome::Unknown;
    return makeResponse(status, ProblemContentType,
                        nlohmann::json{{"outcome", isUnknown ? "unknown" : "not-run"},
                                       {"result", controlOutcomeName(outcome)},
                                       {"reason", reason}}
                            .dump());
}

HttpResponse makeApplyResponse(const ApplyReply &reply)
{
    nlohmann::json body{{"result", controlOutcomeName(reply.outcome)},
                        {"expectedVersion", reply.expectedVersion},
                        {"currentVersion", reply.currentVersion}};
    if (reply.outcome == ControlOutcome::Accepted) {
        body["outcome"] = "completed";
        body["version"] = reply.version;
        auto response = makeResponse(200, JsonContentType, body.dump());
        response.headers["etag"] = makeETag(reply.version);
        return response;
    }
    body["outcome"] = reply.outcome == ControlOutcome::Unknown ? "unknown" : "not-run";
    body["reason"] = reply.message;
    const auto status = [&] {
        switch (reply.outcome) {
        case ControlOutcome::Conflict:
            return 409;
        case ControlOutcome::Invalid:
            return 422;
        case ControlOutcome::Unknown:
            return 504;
        default:
            return 503;
        }
    }();
    return makeResponse(status, ProblemContentType, body.dump());
}

/// The reply to a command, or a reply with the outcome Unknown if there is none.
template <typename T>
T commandReply(const std::optional<ControlReply> &reply)
{
    if (reply)
        return std::get<T>(*reply);
    T unknown;
    unknown.outcome = ControlOutcome::Unknown;
    unknown.message = "leadership was lost before the outcome of the change was known. Fix: retry "
                      "the same request";
    return unknown;
}

} // namespace

ControlServer::ControlServer(const ControlSettings &settings, std::shared_ptr<ControlNode> node)
    : m_settings(settings)
    , m_node(std::move(node))
{
}

Result<std::shared_ptr<ControlServer>>
ControlServer::make(boost::asio::io_context &io, const ControlSettings &settings,
                    std::unique_ptr<RaftStorage> storage,
                    std::function<void(const Error &)> onFatal)
{
    auto node = std::make_shared<ControlNode>(io, settings, std::move(storage), std::move(onFatal));
    std::shared_ptr<ControlServer> server(new ControlServer(settings, std::move(node)));
    if (const auto status = server->listen(io); !status)
        return status.error();
    server->m_node->start();
    return server;
}

Status ControlServer::listen(boost::asio::io_context &io)
{
    RpcSettings rpcSettings;
    rpcSettings.cluster = m_settings.cluster;
    rpcSettings.instance = m_settings.instance;
    rpcSettings.maxConnections = 1'024;
    auto rpc =
        RpcServer::make(io, m_settings.listen, rpcSettings,
                        [self = shared_from_this()](const Hello &peer, MessageKind kind,
                                                    std::string payload, const RpcReply &reply) {
                            boost::asio::post(self->m_node->strand(),
                                              [self, peer, kind, payload = std::move(payload),
                                               reply] { self->onRpc(peer, kind, payload, reply); });
                        });
    if (!rpc)
        return rpc.error();
    HttpServerSettings httpSettings;
    httpSettings.listen = m_settings.operatorListen;
    httpSettings.maxConnections = 64;
    auto httpServer = HttpServer::make(
        io, httpSettings,
        [self = shared_from_this()](HttpRequest request, const HttpRespond &respond) {
            boost::asio::post(
                self->m_node->strand(),
                [self, request = std::move(request), respond] { self->onHttp(request, respond); });
        });
    if (!httpServer) {
        rpc.value()->stop();
        return httpServer.error();
    }
    m_rpc = std::move(rpc).value();
    m_http = std::move(httpServer).value();
    return okStatus();
}

std::string ControlServer::leaderAddress() const
{
    const auto *leader = m_node->leader();
    return leader == nullptr ? std::string() : leader->address;
}

// --- RPC

void ControlServer::onRpc(const Hello &peer, MessageKind kind, const std::string &payload,
                          const RpcReply &reply)
{
    if (m_node->onMemberCall(peer.instance, kind, payload, reply))
        return;
    switch (kind) {
    case MessageKind::Subscribe:
        return onSubscribe(payload, reply);
    case MessageKind::Apply:
        return onApply(payload, reply);
    case MessageKind::CompareAndSet:
        return onCompareAndSet(payload, reply);
    case MessageKind::ReadReplicaSet:
        return onReadReplicaSet(payload, reply);
    case MessageKind::History:
        return onHistory(payload, reply);
    case MessageKind::MoveBucket:
        return onMoveBucket(payload, reply);
    default:
        return reply(
            Error{ErrorCode::InvalidRequest, "a control instance does not support this call"});
    }
}

void ControlServer::onSubscribe(const std::string &payload, const RpcReply &reply)
{
    const auto request = decodeOrReject<SubscribeRequest>(payload, reply);
    if (!request)
        return;
    m_node->subscribe(*request,
                      [reply](const SubscribeReply &update) { reply(encodeMessage(update)); });
}

void ControlServer::onHistory(const std::string &payload, const RpcReply &reply)
{
    if (const auto request = decodeOrReject<HistoryRequest>(payload, reply))
        reply(encodeMessage(HistoryReply{newestRecords(request->limit)}));
}

void ControlServer::apply(std::string requestId, std::uint64_t expectedVersion, std::string text,
                          std::function<void(ApplyReply)> callback)
{
    ApplyReply refusal;
    refusal.expectedVersion = expectedVersion;
    refusal.currentVersion = m_node->state().version();
    refusal.outcome = ControlOutcome::Invalid;
    if (requestId.empty() || requestId.size() > MaxRequestIdBytes) {
        refusal.message = "the request id must have 1 to 128 characters";
        callback(refusal);
        return;
    }
    const auto declaration = Declaration::parse("declaration", text);
    if (!declaration) {
        refusal.message = declaration.error().message;
        callback(refusal);
        return;
    }
    ApplyCommand command{std::move(requestId), expectedVersion, std::move(text), {}, wallClockMs()};
    for (const auto &domain : declaration.value().domains())
        command.domains.push_back(domain.name);
    Log::info(LogEvent::ChangeReceived)
        .kv("request", command.requestId)
        .kv("expectedVersion", expectedVersion);
    const auto id = command.requestId;
    m_node->propose(command,
                    [callback = std::move(callback), expectedVersion,
                     id](const std::optional<ControlReply> &result) {
                        auto reply = commandReply<ApplyReply>(result);
                        reply.expectedVersion = expectedVersion;
                        Log::info(LogEvent::ChangeAnswered)
                            .kv("request", id)
                            .kv("result", controlOutcomeName(reply.outcome))
                            .kv("version", reply.version);
                        callback(std::move(reply));
                    });
}

void ControlServer::onApply(const std::string &payload, const RpcReply &reply)
{
    auto request = decodeOrReject<ApplyRequest>(payload, reply);
    if (!request)
        return;
    ApplyReply refusal;
    if (!isEqualSecret(request->token, m_settings.token)) {
        refusal.outcome = ControlOutcome::Refused;
        reply(encodeMessage(refusal));
    } else if (!m_node->isLeader()) {
        refusal.outcome = ControlOutcome::NotLeader;
        refusal.leader = leaderAddress();
        reply(encodeMessage(refusal));
    } else {
        apply(std::move(request->requestId), request->expectedVersion, std::move(request->text),
              [reply](const ApplyReply &result) { reply(encodeMessage(result)); });
    }
}

void ControlServer::onCompareAndSet(const std::string &payload, const RpcReply &reply)
{
    const auto command = decodeOrReject<CompareAndSetCommand>(payload, reply);
    if (!command)
        return;
    if (!m_node->isLeader()) {
        reply(encodeMessage(ReplicaSetReply{ControlOutcome::NotLeader, {}, {}, leaderAddress()}));
        return;
    }
    m_node->propose(*command, [reply](const std::optional<ControlReply> &result) {
        reply(encodeMessage(commandReply<ReplicaSetReply>(result)));
    });
}

void ControlServer::onMoveBucket(const std::string &payload, const RpcReply &reply)
{
    const auto request = decodeOrReject<MoveBucketRequest>(payload, reply);
    if (!request)
        return;
    if (!isEqualSecret(request->token, m_settings.token)) {
        reply(encodeMessage(MoveBucketReply{ControlOutcome::Refused, {}, "wrong token", {}}));
    } else if (!m_node->isLeader()) {
        reply(encodeMessage(MoveBucketReply{ControlOutcome::NotLeader, {}, {}, leaderAddress()}));
    } else {
        m_node->propose(request->command, [reply](const std::optional<ControlReply> &result) {
            reply(encodeMessage(commandReply<MoveBucketReply>(result)));
        });
    }
}

void ControlServer::onReadReplicaSet(const std::string &payload, const RpcReply &reply)
{
    const auto request = decodeOrReject<ReadReplicaSetRequest>(payload, reply);
    if (!request)
        return;
    if (!m_node->isLeader()) {
        reply(encodeMessage(ReplicaSetReply{ControlOutcome::NotLeader, {}, {}, leaderAddress()}));
        return;
    }
    m_node->read([self = shared_from_this(), domain = request->domain, reply](bool isConfirmed) {
        ReplicaSetReply result;
        result.outcome = isConfirmed ? ControlOutcome::Accepted : ControlOutcome::Unavailable;
        if (isConfirmed)
            result.current = self->m_node->state().replicaSet(domain);
        reply(encodeMessage(result));
    });
}

// --- HTTP

void ControlServer::onHttp(const HttpRequest &request, const HttpRespond &respond)
{
    if (!isEqualSecret(request.header("authorization"), "Bearer " + m_settings.token)) {
        Log::warning(LogEvent::OperatorRefused).kv("path", request.path());
        auto response = makeProblem(401, ControlOutcome::Refused,
                                    "missing or wrong token. Fix: send 'Authorization: Bearer "
                                    "TOKEN' with the token of tokenFile");
        response.headers["www-authenticate"] = "Bearer";
        respond(std::move(response));
        return;
    }
    const auto path = request.path();
    const auto segments = splitPath(path);
    const bool isGet = request.method == "GET";
    if (path == "/v1/control/status" && isGet)
        respond(makeResponse(200, JsonContentType, m_node->statusJson()));
    else if (path == "/v1/declaration" && isGet)
        readOnLeader(request, respond, [=, this] { return declarationResponse(request); });
    else if (path == "/v1/history" && isGet)
        readOnLeader(request, respond, [=, this] { return historyResponse(request); });
    else if (path == "/v1/declaration" && request.method == "PUT")
        onPutDeclaration(request, respond);
    else if (segments.size() == 4 && segments[1] == "control" && segments[2] == "members")
        onMember(request, segments[3], respond);
    else
        respond(makeProblem(404, ControlOutcome::Invalid, "unknown path or method"));
}

HttpResponse ControlServer::notLeaderResponse(const HttpRequest &request) const
{
    const auto *leader = m_node->leader();
    if (leader == nullptr || m_node->isLeader()) {
        auto response = makeProblem(503, ControlOutcome::Unavailable,
                                    "the control group has no leader at present. Fix: retry, and "
                                    "check that a majority of its members is running");
        response.headers["retry-after"] = "1";
        return response;
    }
    auto response =
        makeProblem(421, ControlOutcome::NotLeader, "'" + leader->instance + "' is the leader");
    response.headers["location"] = "http://" + leader->operatorAddress + request.target;
    return response;
}

void ControlServer::readOnLeader(const HttpRequest &request, const HttpRespond &respond,
                                 std::function<HttpResponse()> buildResponse)
{
    if (!m_node->isLeader()) {
        respond(notLeaderResponse(request));
        return;
    }
    m_node->read([self = shared_from_this(), request, respond,
                  buildResponse = std::move(buildResponse)](bool isConfirmed) {
        respond(isConfirmed ? buildResponse() : self->notLeaderResponse(request));
    });
}

HttpResponse ControlServer::declarationResponse(const HttpRequest &request) const
{
    const auto &state = m_node->state();
    const auto query = queryParameter(request, "version");
    const auto version = query.empty() ? state.version() : parseNumber(query).value_or(0);
    const auto text = version == 0 && query.empty() ? std::string() : state.text(version);
    if (!text)
        return makeProblem(404, ControlOutcome::Invalid,
                           "the text of version " + query + " is not available");
    auto response = makeResponse(200, "application/yaml", *text);
    response.headers["etag"] = makeETag(version);
    return response;
}

std::vector<VersionRecord> ControlServer::newestRecords(std::size_t limit) const
{
    const auto &history = m_node->state().history();
    std::vector<VersionRecord> records;
    for (auto it = history.rbegin(); it != history.rend() && records.size() < limit; ++it) {
        records.push_back(
            {it->version, it->requestId, it->textHash, it->textBytes, it->timeMs, {}});
    }
    return records;
}

HttpResponse ControlServer::historyResponse(const HttpRequest &request) const
{
    const auto limit = parseNumber(queryParameter(request, "limit")).value_or(DefaultHistoryLimit);
    const auto &state = m_node->state();
    auto versions = nlohmann::json::array();
    for (const auto &record : newestRecords(limit)) {
        versions.push_back({{"version", record.version},
                            {"requestId", record.requestId},
                            {"bytes", record.textBytes},
                            {"timeMs", record.timeMs},
                            {"isKept", state.text(record.version).has_value()}});
    }
    return makeResponse(
        200, JsonContentType,
        nlohmann::json{{"version", state.version()}, {"versions", versions}}.dump());
}

void ControlServer::onPutDeclaration(const HttpRequest &request, const HttpRespond &respond)
{
    const auto expected = parseETag(request.header("if-match"));
    if (!expected) {
        respond(
            makeProblem(428, ControlOutcome::Invalid,
                        "If-Match is missing or malformed. Fix: send the version that the change "
                        "is based on, such as If-Match: \"7\" (\"0\" for the first one)"));
    } else if (request.header("idempotency-key").empty()) {
        respond(makeProblem(400, ControlOutcome::Invalid,
                            "Idempotency-Key is missing. Fix: send a random key, and the same key "
                            "with each retry"));
    } else if (!m_node->isLeader()) {
        respond(notLeaderResponse(request));
    } else {
        apply(std::string(request.header("idempotency-key")), *expected, request.body,
              [respond](const ApplyReply &reply) { respond(makeApplyResponse(reply)); });
    }
}

void ControlServer::onMember(const HttpRequest &request, const std::string &instance,
                             const HttpRespond &respond)
{
    if (!m_node->isLeader()) {
        respond(notLeaderResponse(request));
        return;
    }
    Status status = Error{ErrorCode::InvalidRequest, "use PUT or DELETE"};
    if (request.method == "DELETE") {
        status = m_node->removeMember(instance);
    } else if (request.method == "PUT") {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        const auto field = [&](const char *key) {
            const bool isText = body.is_object() && body.contains(key) && body[key].is_string();
            return isText ? body[key].get<std::string>() : std::string();
        };
        const RaftMember member{instance, field("address"), field("operatorAddress"), false};
        if (Address::parse(member.address) && Address::parse(member.operatorAddress))
            status = m_node->addMember(member);
        else
            status = Error{ErrorCode::InvalidRequest,
                           "expected {\"address\": \"IP:PORT\", \"operatorAddress\": \"IP:PORT\"}"};
    }
    if (status) {
        respond(makeResponse(202, JsonContentType, R"({"outcome":"completed"})"));
        return;
    }
    const auto code = status.error().code;
    const int httpStatus = code == ErrorCode::Unavailable ? 503
        : code == ErrorCode::NotFound                     ? 404
        : code == ErrorCode::InvalidRequest               ? 400
                                                          : 409;
    respond(makeProblem(httpStatus, ControlOutcome::Invalid, status.error().message));
}

} // namespace Camphor
