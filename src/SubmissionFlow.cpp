#include "SubmissionFlow.h"

#include "Log.h"
#include "Tickets.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>

namespace Camphor {

namespace {

constexpr Milliseconds DefaultDeadline{10'000};
constexpr Milliseconds MinLedgerTimeout{50};
constexpr Milliseconds MaxLedgerTimeout{5'000};
constexpr Milliseconds FirstPollInterval{10};
constexpr Milliseconds MaxPollInterval{250};
constexpr Milliseconds RecordTimeout{5'000};
constexpr Milliseconds RecordRetryInterval{500};
/// Maximum attempts to record an outcome, at most about 110 s including timeouts and pauses. After
/// that the ledger still shows the claim as running, and a resubmission gets the outcome unknown.
constexpr int MaxRecordAttempts = 20;
/// Prefix of a stored response, which tells a job's response from that of a single request.
constexpr char StoredSingle = 'r';
constexpr char StoredJob = 'j';

int refusalStatus(const AdmissionDecision &decision)
{
    if (decision.reason == "unknown-service")
        return 404;
    if (decision.reason == "too-many-tasks")
        return 400;
    return decision.retryAfter > Milliseconds{} && decision.reason != "draining" ? 429 : 503;
}

} // namespace

SubmissionFlow::SubmissionFlow(const FlowServices &services)
    : m_services(services)
{
}

void SubmissionFlow::runAfter(Milliseconds pause, std::function<void()> action) const
{
    auto timer = std::make_shared<boost::asio::steady_timer>(
        m_services.io, std::chrono::microseconds(static_cast<std::int64_t>(pause.count() * 1000)));
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &ec) {
        if (!ec)
            action();
    });
}

Milliseconds SubmissionFlow::deadlineOf(const Submission &submission) const
{
    const auto declaration = m_services.pools.declaration();
    const auto *service = declaration ? declaration->service(submission.service) : nullptr;
    const auto fallback = service != nullptr ? service->deadline : DefaultDeadline;
    return m_services.clock.now() + submission.deadline.value_or(fallback);
}

bool SubmissionFlow::needsClaim(const Submission &submission) const
{
    if (!submission.key.empty())
        return true;
    const auto declaration = m_services.pools.declaration();
    const auto *service = declaration ? declaration->service(submission.service) : nullptr;
    return !submission.isRepeatable.value_or(service != nullptr && service->isRepeatable);
}

Milliseconds SubmissionFlow::ledgerTimeout(const ExecutionPtr &execution) const
{
    return std::clamp(execution->deadline - m_services.clock.now(), MinLedgerTimeout,
                      MaxLedgerTimeout);
}

std::optional<JobResponse> SubmissionFlow::checkAdmission(const Submission &submission,
                                                          Milliseconds deadline) const
{
    const auto shard = m_services.pools.shardOf(submission.service);
    if (!shard) {
        return m_services.pools.declaration() ? JobResponse::notRun("unknown-service", 404)
                                              : JobResponse::notRun("no-declaration", 503);
    }
    const auto decision =
        shard->admit(submission.service, submission.team,
                     static_cast<std::uint32_t>(submission.inputs.size()), deadline);
    if (decision.isAdmitted)
        return std::nullopt;
    return JobResponse::notRun(decision.reason, refusalStatus(decision), decision.retryAfter);
}

void SubmissionFlow::submit(Submission submission, ResponseCallback callback)
{
    if (!submission.key.empty() && !m_services.isLedgerShared) {
        Log::decision(LogEvent::Refused)
            .kv("request", submission.requestId)
            .kv("service", submission.service)
            .kv("reason", "no-shared-ledger");
        callback(JobResponse::notRun("no-shared-ledger", 503));
        return;
    }
    const auto deadline = deadlineOf(submission);
    const bool requiresClaim = needsClaim(submission);
    // With a caller's key an earlier attempt may have run, so only the claim shows whether "not
    // run" would be true.
    if (submission.key.empty()) {
        if (const auto refusal = checkAdmission(submission, deadline)) {
            Log::decision(LogEvent::Refused)
                .kv("request", submission.requestId)
                .kv("service", submission.service)
                .kv("reason", refusal->reason);
            callback(*refusal);
            return;
        }
    }
    auto key = !submission.key.empty() ? submission.key
        : requiresClaim                ? makeTicket(m_services.domain)
                                       : submission.requestId;
    const auto execution =
        std::make_shared<Execution>(std::move(submission), std::move(key), requiresClaim, deadline);
    const auto registered = m_services.registry.findOrAdd(execution);
    // An execution with another payload may not have its claim yet, so it does not prove which
    // payload the key belongs to. The ledger decides.
    const bool isSamePayload =
        registered.execution->submission.payloadHash == execution->submission.payloadHash;
    if (!registered.isNew && isSamePayload) {
        join(registered.execution, execution->submission, deadline, std::move(callback));
        return;
    }
    execution->addWaiter(std::move(callback));
    if (requiresClaim)
        claim(execution);
    else
        start(execution);
}

void SubmissionFlow::join(const ExecutionPtr &execution, const Submission &submission,
                          Milliseconds deadline, ResponseCallback callback)
{
    Log::decision(LogEvent::Joined)
        .kv("request", submission.requestId)
        .kv("execution", execution->submission.requestId)
        .kv("reason", "same-key");
    if (deadline >= execution->deadline) {
        execution->addWaiter(std::move(callback));
        return;
    }
    // This caller's deadline passes before that of the execution.
    const auto hasResponded = std::make_shared<std::atomic<bool>>(false);
    const auto once = [hasResponded, callback = std::move(callback)](const JobResponse &response) {
        if (!hasResponded->exchange(true))
            callback(response);
    };
    execution->addWaiter(once);
    runAfter(deadline - m_services.clock.now(), [execution, once] {
        once(JobResponse::unknown("still-running", execution->assembler.tasksDone()));
    });
}

void SubmissionFlow::claim(const ExecutionPtr &execution)
{
    m_services.metrics.countLedgerMessage();
    m_services.ledger.claim(
        {execution->key, execution->submission.payloadHash, m_services.cluster.self(),
         static_cast<std::uint32_t>(execution->submission.inputs.size()), execution->nonce},
        ledgerTimeout(execution),
        [this, execution](const ClaimReply &reply) { onClaim(execution, reply); });
}

void SubmissionFlow::onClaim(const ExecutionPtr &execution, const ClaimReply &reply)
{
    switch (reply.state) {
    case ClaimState::Granted:
        m_services.registry.addOrReplace(execution);
        start(execution);
        return;
    case ClaimState::Running:
        waitForExecutor(execution, reply.executor, FirstPollInterval);
        return;
    case ClaimState::Stored:
        removeAndRespond(execution, responseFromStored(reply));
        return;
    case ClaimState::PayloadMismatch:
        removeAndRespond(execution, JobResponse::notRun("payload-mismatch", 422));
        return;
    case ClaimState::Full:
        removeAndRespond(execution, JobResponse::notRun("ledger-full", 503, Milliseconds{1'000}));
        return;
    case ClaimState::Expired:
        removeAndRespond(execution, JobResponse::unknown("key-expired", 0));
        return;
    case ClaimState::Absent:
    case ClaimState::Unreachable:
        onUnreachable(execution, reply);
        return;
    }
}

void SubmissionFlow::onUnreachable(const ExecutionPtr &execution, const ClaimReply &reply)
{
    if (execution->hasCallerKey()) {
        removeAndRespond(execution, JobResponse::unknown("ledger-unreachable", 0));
        return;
    }
    // No one else knows the ticket and no task was sent, so nothing ran. A claim that may have been
    // granted is released once the ledger can be reached.
    const auto response = JobResponse::notRun("ledger-unreachable", 503, Milliseconds{1'000});
    execution->setResponse(response);
    if (reply.maybeGranted)
        recordOutcome(execution, response, 1);
    else
        m_services.registry.remove(execution);
}

void SubmissionFlow::waitForExecutor(const ExecutionPtr &execution, const Executor &executor,
                                     Milliseconds interval)
{
    const bool isSelf = executor == m_services.cluster.self();
    const auto running = isSelf ? m_services.registry.find(execution->key) : nullptr;
    if (running && running != execution
        && running->submission.payloadHash == execution->submission.payloadHash) {
        join(running, execution->submission, execution->deadline,
             [this, execution](const JobResponse &response) {
                 removeAndRespond(execution, response);
             });
        return;
    }
    if (isSelf || m_services.cluster.hasTerminated(executor)) {
        removeAndRespond(execution,
                         JobResponse::unknown(isSelf ? "end-not-recorded" : "executor-died", 0));
        return;
    }
    if (m_services.clock.now() >= execution->deadline) {
        removeAndRespond(execution, JobResponse::unknown("running-at " + executor.instance, 0));
        return;
    }
    runAfter(interval, [this, execution, executor, interval] {
        m_services.metrics.countLedgerMessage();
        m_services.ledger.query(execution->key, ledgerTimeout(execution),
                                [this, execution, executor, interval](const ClaimReply &reply) {
                                    onExecutorPolled(execution, executor, interval, reply);
                                });
    });
}

void SubmissionFlow::onExecutorPolled(const ExecutionPtr &execution, const Executor &executor,
                                      Milliseconds interval, const ClaimReply &reply)
{
    const auto nextInterval = std::min(interval * 1.5, MaxPollInterval);
    switch (reply.state) {
    case ClaimState::Stored:
        removeAndRespond(execution, responseFromStored(reply));
        return;
    case ClaimState::Absent:
        // The executor released the claim as not run, so this submission may claim the key.
        claim(execution);
        return;
    case ClaimState::Running:
        waitForExecutor(execution, reply.executor, nextInterval);
        return;
    case ClaimState::Expired:
        removeAndRespond(execution, JobResponse::unknown("key-expired", 0));
        return;
    default:
        waitForExecutor(execution, executor, nextInterval);
        return;
    }
}

JobResponse SubmissionFlow::responseFromStored(const ClaimReply &reply)
{
    JobResponse response;
    response.outcome = reply.outcome;
    response.started = reply.started;
    if (reply.outcome != Outcome::Completed) {
        response.reason = reply.response;
        return response;
    }
    // The execution completed, but its response was evicted or was too long to be stored. Nothing
    // more may be reported than that.
    if (!reply.hasResponse || reply.response.empty())
        return JobResponse::unknown("completed-answer-forgotten", reply.started);
    response.body = reply.response.substr(1);
    return response;
}

bool SubmissionFlow::isStoredJob(const ClaimReply &reply)
{
    return reply.response.starts_with(StoredJob);
}

void SubmissionFlow::start(const ExecutionPtr &execution)
{
    const auto &submission = execution->submission;
    // Admission is checked again, because the claim took time.
    if (const auto refusal = checkAdmission(submission, execution->deadline)) {
        Log::decision(LogEvent::Refused)
            .kv("request", submission.requestId)
            .kv("service", submission.service)
            .kv("reason", refusal->reason);
        finish(execution, *refusal);
        return;
    }
    if (!execution->beginSubmit()) {
        finish(execution, JobResponse::notRun("cancelled", 409));
        return;
    }
    m_services.pools.shardOf(submission.service)->submit(makeTasks(execution));
    // A cancellation that arrived before the shard knew the tasks found nothing to cancel.
    if (execution->isCancelled())
        cancelTasks(execution);
}

std::vector<PlacedTask> SubmissionFlow::makeTasks(const ExecutionPtr &execution)
{
    const auto &submission = execution->submission;
    const auto declaration = m_services.pools.declaration();
    const auto *service = declaration->service(submission.service);
    TaskSpec spec;
    spec.requestId = submission.requestId;
    spec.service = submission.service;
    spec.team = submission.team;
    spec.urgency =
        submission.urgency.value_or(service == nullptr ? Urgency::Normal : service->urgency);
    spec.deadline = execution->deadline;
    // No task of a claimed submission is started twice, even if its service is repeatable.
    spec.isRepeatable = !execution->requiresClaim;
    spec.isJobTask = submission.isJob;
    std::vector<PlacedTask> tasks;
    tasks.reserve(submission.inputs.size());
    for (const auto &input : submission.inputs) {
        spec.handle = nextTaskHandle();
        spec.taskIndex = static_cast<std::uint32_t>(tasks.size());
        tasks.push_back({spec, input, [this, execution, index = spec.taskIndex](TaskEnd end) {
                             onTaskEnd(execution, index, std::move(end));
                         }});
    }
    return tasks;
}

void SubmissionFlow::cancelTasks(const ExecutionPtr &execution) const
{
    if (const auto shard = m_services.pools.shardOf(execution->submission.service))
        shard->cancelRequest(execution->submission.requestId);
}

void SubmissionFlow::onTaskEnd(const ExecutionPtr &execution, std::uint32_t index, TaskEnd end)
{
    const auto result = execution->assembler.record(index, std::move(end));
    // After a cancellation the other tasks have already been cancelled.
    if (result.shouldCancelRest && !execution->isCancelled()) {
        (void)execution->requestCancel();
        cancelTasks(execution);
    }
    if (result.response)
        finish(execution, *result.response);
}

void SubmissionFlow::finish(const ExecutionPtr &execution, const JobResponse &response)
{
    if (!execution->requiresClaim) {
        removeAndRespond(execution, response);
        return;
    }
    // A caller that gets "not run" may claim the key again at once, so its release is recorded
    // first. Other responses do not wait for the record.
    if (response.outcome != Outcome::NotRun)
        execution->setResponse(response);
    recordOutcome(execution, response, 1);
}

void SubmissionFlow::recordOutcome(const ExecutionPtr &execution, const JobResponse &response,
                                   int attempt)
{
    FinishRequest request{execution->key,   m_services.cluster.self(), execution->nonce,
                          response.outcome, response.started,          response.reason};
    if (response.outcome == Outcome::Completed)
        request.response = (execution->submission.isJob ? StoredJob : StoredSingle) + response.body;
    m_services.metrics.countLedgerMessage();
    m_services.ledger.finish(
        std::move(request), RecordTimeout, [this, execution, response, attempt](bool isRecorded) {
            execution->setResponse(response);
            if (isRecorded || attempt >= MaxRecordAttempts) {
                if (!isRecorded)
                    Log::warning(LogEvent::EndNotRecorded).kv("key", execution->key);
                m_services.registry.remove(execution);
                return;
            }
            runAfter(RecordRetryInterval,
                     [=, this] { recordOutcome(execution, response, attempt + 1); });
        });
}

void SubmissionFlow::removeAndRespond(const ExecutionPtr &execution, const JobResponse &response)
{
    // Removed first: a caller that resubmits after this response must not join this execution.
    m_services.registry.remove(execution);
    execution->setResponse(response);
}

bool SubmissionFlow::cancel(const std::string &key)
{
    const auto execution = m_services.registry.find(key);
    if (!execution)
        return false;
    Log::decision(LogEvent::CancelRequested)
        .kv("request", execution->submission.requestId)
        .kv("reason", "caller");
    if (execution->requestCancel())
        cancelTasks(execution);
    return true;
}

void SubmissionFlow::query(const std::string &key, SubmissionLedger::ClaimCallback callback)
{
    m_services.metrics.countLedgerMessage();
    m_services.ledger.query(key, MaxLedgerTimeout, std::move(callback));
}

void SubmissionFlow::abandonAll(const std::string &reason)
{
    for (const auto &execution : m_services.registry.all())
        abandon(execution, reason);
}

void SubmissionFlow::abandon(const ExecutionPtr &execution, const std::string &reason)
{
    if (!execution->requestCancel()) {
        // No task was sent, and the cancellation prevents any later send. With a caller's key
        // another entry may execute it.
        if (execution->hasCallerKey())
            execution->setResponse(JobResponse::unknown(reason, 0));
        else
            execution->setResponse(JobResponse::notRun(reason, 503));
        return;
    }
    cancelTasks(execution);
    if (const auto response = execution->assembler.abandon(reason)) {
        Log::warning(LogEvent::ExecutionAbandoned)
            .kv("request", execution->submission.requestId)
            .kv("outcome", outcomeName(response->outcome))
            .kv("started", response->started);
        finish(execution, *response);
    }
}

} // namespace Camphor
