#include "TargetCaller.h"

#include <algorithm>
#include <utility>

namespace Camphor {

namespace {

constexpr Milliseconds StopTimeout{2'000};
/// Minimum timeout of a call, so that a task that ends at its deadline can still respond.
constexpr Milliseconds MinCallTimeout{1};

std::string failureReason(const Error &error)
{
    switch (error.code) {
    case ErrorCode::Timeout:
        return "target-timeout";
    case ErrorCode::InvalidMessage:
        return "target-answer-truncated";
    case ErrorCode::ConnectionRefused:
        return "target-refused-connection";
    default:
        return "target-connection-lost";
    }
}

AttemptResult classifyResponse(HttpResponse response, const std::string &attempt)
{
    // A target may state which attempt its response is for. A response for another attempt says
    // nothing about this one.
    const auto respondedAttempt = response.header("camphorspindle-attempt");
    if (!respondedAttempt.empty() && respondedAttempt != attempt)
        return {AttemptEnd::Unknown, {}, "answer-of-another-attempt", {}};
    if (response.status == 200)
        return {AttemptEnd::Completed, std::move(response.body), {}, {}};
    if (response.status == 503 && response.header("camphorspindle-started") == "false")
        return {AttemptEnd::NotStarted, {}, "target-refused", {}};
    return {AttemptEnd::Failed, {}, "target-status-" + std::to_string(response.status), {}};
}

} // namespace

const char *attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Completed:
        return "completed";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::Unknown:
        return "unknown";
    case AttemptEnd::NotStarted:
        return "not-started";
    }
    return "unknown";
}

AttemptResult classifyTargetResult(HttpResult result, const std::string &attempt)
{
    if (auto *response = std::get_if<HttpResponse>(&result))
        return classifyResponse(std::move(*response), attempt);
    const auto &failure = std::get<HttpFailure>(result);
    if (!failure.maybeSent)
        return {AttemptEnd::NotStarted, {}, failureReason(failure.error), {}};
    // The target has responded, so the task has ended, but its result is not usable.
    if (failure.error.code == ErrorCode::TooLarge)
        return {AttemptEnd::Failed, {}, "target-answer-too-large", {}};
    return {AttemptEnd::Unknown, {}, failureReason(failure.error), {}};
}

TargetCaller::TargetCaller(std::shared_ptr<HttpClient> client, const Clock &clock)
    : m_client(std::move(client))
    , m_clock(clock)
{
}

void TargetCaller::run(const TargetCall &call, Callback callback)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/run";
    request.headers["camphorspindle-service"] = call.service;
    request.headers["camphorspindle-attempt"] = call.attempt;
    request.headers["camphorspindle-task"] = std::to_string(call.task);
    request.headers["camphorspindle-deadline-ms"] =
        std::to_string(std::max(0L, static_cast<long>(call.timeLeft.count())));
    request.body = *call.input;
    m_client->send(call.address, std::move(request), std::max(call.timeLeft, MinCallTimeout),
                   [attempt = call.attempt, start = m_clock.now(), &clock = m_clock,
                    callback = std::move(callback)](HttpResult it) {
                       auto result = classifyTargetResult(std::move(it), attempt);
                       result.runTime = clock.now() - start;
                       callback(std::move(result));
                   });
}

void TargetCaller::stop(const Address &address, const std::string &attempt)
{
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/v1/run/" + attempt;
    m_client->send(address, std::move(request), StopTimeout, [](const HttpResult &) { });
}

} // namespace Camphor
