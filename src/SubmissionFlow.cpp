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
constexpr Milliseconds FirstFollowPause{10};
constexpr Milliseconds MaxFollowPause{250};
constexpr Milliseconds RecordTimeout{5'000};
constexpr Milliseconds RecordRetryPause{500};
/// Recording an end is tried for about a minute; then the ledger keeps "running", and a
/// resubmission is answered as unknown.
constexpr int MaxRecordAttempts = 20;
/// Kind of answer at the front of a stored answer, so that a job's answer is never mistaken for
/// that of a single request.
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

void SubmissionFlow::after(Milliseconds pause, std::function<void()> action) const
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

std::optional<JobAnswer> SubmissionFlow::refusal(const Submission &submission,
                                                 Milliseconds deadline) const
{
    const auto shard = m_services.pools.shardOf(submission.service);
    if (!shard) {
        return m_services.pools.declaration() ? JobAnswer::notRun("unknown-service", 404)
                                              : JobAnswer::notRun("no-declaration", 503);
    }
    const auto decision =
        shard->admit(submission.service, submission.team,
                     static_cast<std::uint32_t>(submission.inputs.size()), deadline);
    if (decision.isAdmitted)
        return std::nullopt;
    return JobAnswer::notRun(decision.reason, refusalStatus(decision), decision.retryAfter);
}

void SubmissionFlow::submit(Submission submission, AnswerCallback callback)
{
    if (!submission.key.empty() && !m_services.isLedgerShared) {
        Log::decision(LogEvent::Refused)
            .kv("request", submission.requestId)
            .kv("service", submission.service)
            .kv("reason", "no-shared-ledger");
        callback(JobAnswer::notRun("no-shared-ledger", 503));
        return;
    }
    const auto deadline = deadlineOf(submission);
    const bool isClaimed = needsClaim(submission);
    // With a caller's key an earlier attempt may have run, so only the claim can tell whether a
    // refusal as not run would be true.
    if (submission.key.empty()) {
        if (const auto refused = refusal(submission, deadline)) {
            Log::decision(LogEvent::Refused)
                .kv("request", submission.requestId)
                .kv("service", submission.service)
                .kv("reason", refused->reason);
            callback(*refused);
            return;
        }
    }
    auto key = !submission.key.empty() ? submission.key
        : isClaimed                    ? makeTicket(m_services.domain)
                                       : submission.requestId;
    const auto execution =
        std::make_shared<Execution>(std::move(submission), std::move(key), isClaimed, deadline);
    const auto found = m_services.registry.findOrAdd(execution);
    // An execution with another payload may still be without a claim, so it does not show which
    // payload the key belongs to. The ledger decides.
    const bool isSamePayload =
        found.execution->submission.payloadHash == execution->submission.payloadHash;
    if (!found.isNew && isSamePayload) {
        join(found.execution, execution->submission, deadline, std::move(callback));
        return;
    }
    execution->addWaiter(std::move(callback));
    if (isClaimed)
        claim(execution);
    else
        start(execution);
}

void SubmissionFlow::join(const ExecutionPtr &execution, const Submission &submission,
                          Milliseconds deadline, AnswerCallback callback)
{
    Log::decision(LogEvent::Joined)
        .kv("request", submission.requestId)
        .kv("execution", execution->submission.requestId)
        .kv("reason", "same-key");
    if (deadline >= execution->deadline) {
        execution->addWaiter(std::move(callback));
        return;
    }
    // This caller stops waiting before the execution has to end.
    const auto isAnswered = std::make_shared<std::atomic<bool>>(false);
    const auto once = [isAnswered, callback = std::move(callback)](const JobAnswer &answer) {
        if (!isAnswered->exchange(true))
            callback(answer);
    };
    execution->addWaiter(once);
    after(deadline - m_services.clock.now(), [execution, once] {
        once(JobAnswer::unknown("still-running", execution->assembler.tasksDone()));
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
        m_services.registry.put(execution);
        start(execution);
        return;
    case ClaimState::Running:
        follow(execution, reply.executor, FirstFollowPause);
        return;
    case ClaimState::Stored:
        end(execution, answerFromStored(reply));
        return;
    case ClaimState::PayloadMismatch:
        end(execution, JobAnswer::notRun("payload-mismatch", 422));
        return;
    case ClaimState::Full:
        end(execution, JobAnswer::notRun("ledger-full", 503, Milliseconds{1'000}));
        return;
    case ClaimState::Expired:
        end(execution, JobAnswer::unknown("key-expired", 0));
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
        end(execution, JobAnswer::unknown("ledger-unreachable", 0));
        return;
    }
    // Nobody else knows the ticket, and nothing was sent, so nothing ran. A claim that may have
    // been granted is given back when the ledger can be reached.
    const auto answer = JobAnswer::notRun("ledger-unreachable", 503, Milliseconds{1'000});
    execution->release(answer);
    if (reply.maybeGranted)
        recordEnd(execution, answer, 1);
    else
        m_services.registry.remove(execution);
}

void SubmissionFlow::follow(const ExecutionPtr &execution, const Executor &executor,
                            Milliseconds pause)
{
    const bool isOwn = executor == m_services.cluster.self();
    const auto running = isOwn ? m_services.registry.find(execution->key) : nullptr;
    if (running && running != execution
        && running->submission.payloadHash == execution->submission.payloadHash) {
        join(running, execution->submission, execution->deadline,
             [this, execution](const JobAnswer &answer) { end(execution, answer); });
        return;
    }
    if (isOwn || m_services.cluster.isDead(executor)) {
        end(execution, JobAnswer::unknown(isOwn ? "end-not-recorded" : "executor-died", 0));
        return;
    }
    if (m_services.clock.now() >= execution->deadline) {
        end(execution, JobAnswer::unknown("running-at " + executor.instance, 0));
        return;
    }
    after(pause, [this, execution, executor, pause] {
        m_services.metrics.countLedgerMessage();
        m_services.ledger.query(execution->key, ledgerTimeout(execution),
                                [this, execution, executor, pause](const ClaimReply &reply) {
                                    onFollowed(execution, executor, pause, reply);
                                });
    });
}

void SubmissionFlow::onFollowed(const ExecutionPtr &execution, const Executor &executor,
                                Milliseconds pause, const ClaimReply &reply)
{
    const auto nextPause = std::min(pause * 1.5, MaxFollowPause);
    switch (reply.state) {
    case ClaimState::Stored:
        end(execution, answerFromStored(reply));
        return;
    case ClaimState::Absent:
        // The executor released it as not run, so this submission may claim it.
        claim(execution);
        return;
    case ClaimState::Running:
        follow(execution, reply.executor, nextPause);
        return;
    case ClaimState::Expired:
        end(execution, JobAnswer::unknown("key-expired", 0));
        return;
    default:
        follow(execution, executor, nextPause);
        return;
    }
}

JobAnswer SubmissionFlow::answerFromStored(const ClaimReply &reply)
{
    JobAnswer answer;
    answer.outcome = reply.outcome;
    answer.started = reply.started;
    if (reply.outcome != Outcome::Completed) {
        answer.reason = reply.answer;
        return answer;
    }
    // The execution completed, but its answer is gone; a refusal must not say more than that.
    if (!reply.hasAnswer || reply.answer.empty())
        return JobAnswer::unknown("completed-answer-forgotten", reply.started);
    answer.body = reply.answer.substr(1);
    return answer;
}

bool SubmissionFlow::isStoredJob(const ClaimReply &reply)
{
    return reply.answer.starts_with(StoredJob);
}

void SubmissionFlow::start(const ExecutionPtr &execution)
{
    const auto &submission = execution->submission;
    // The claim took time, so the admission is decided again.
    if (const auto refused = refusal(submission, execution->deadline)) {
        Log::decision(LogEvent::Refused)
            .kv("request", submission.requestId)
            .kv("service", submission.service)
            .kv("reason", refused->reason);
        finish(execution, *refused);
        return;
    }
    if (!execution->beginSubmit()) {
        finish(execution, JobAnswer::notRun("cancelled", 409));
        return;
    }
    m_services.pools.shardOf(submission.service)->submit(makeTasks(execution));
    // A cancellation that came before the tasks were known to the shard found nothing to cancel.
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
    // No task of a submission with a key starts twice, even where its service may repeat work.
    spec.isRepeatable = !execution->isClaimed;
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
    const auto step = execution->assembler.record(index, std::move(end));
    // After a cancellation the other tasks have already been told.
    if (step.shouldCancelRest && !execution->isCancelled()) {
        (void)execution->requestCancel();
        cancelTasks(execution);
    }
    if (step.answer)
        finish(execution, *step.answer);
}

void SubmissionFlow::finish(const ExecutionPtr &execution, const JobAnswer &answer)
{
    if (!execution->isClaimed) {
        end(execution, answer);
        return;
    }
    // A caller that is told "not run" may claim the key again at once, so the release of the key
    // comes first. Every other answer does not wait for the record.
    if (answer.outcome != Outcome::NotRun)
        execution->release(answer);
    recordEnd(execution, answer, 1);
}

void SubmissionFlow::recordEnd(const ExecutionPtr &execution, const JobAnswer &answer, int attempt)
{
    FinishRequest request{execution->key,   m_services.cluster.self(),
                          execution->nonce, answer.outcome,
                          answer.started,   answer.reason};
    if (answer.outcome == Outcome::Completed)
        request.answer = (execution->submission.isJob ? StoredJob : StoredSingle) + answer.body;
    m_services.metrics.countLedgerMessage();
    m_services.ledger.finish(
        std::move(request), RecordTimeout, [this, execution, answer, attempt](bool isRecorded) {
            execution->release(answer);
            if (isRecorded || attempt >= MaxRecordAttempts) {
                if (!isRecorded)
                    Log::warning(LogEvent::EndNotRecorded).kv("key", execution->key);
                m_services.registry.remove(execution);
                return;
            }
            after(RecordRetryPause, [=, this] { recordEnd(execution, answer, attempt + 1); });
        });
}

void SubmissionFlow::end(const ExecutionPtr &execution, const JobAnswer &answer)
{
    // Removed first: a caller that resubmits after this answer must not join this execution.
    m_services.registry.remove(execution);
    execution->release(answer);
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
        // Nothing was sent, and the cancellation prevents that anything will be. With a caller's
        // key another entry may execute it.
        if (execution->hasCallerKey())
            execution->release(JobAnswer::unknown(reason, 0));
        else
            execution->release(JobAnswer::notRun(reason, 503));
        return;
    }
    cancelTasks(execution);
    if (const auto answer = execution->assembler.abandon(reason)) {
        Log::warning(LogEvent::ExecutionAbandoned)
            .kv("request", execution->submission.requestId)
            .kv("outcome", outcomeName(answer->outcome))
            .kv("started", answer->started);
        finish(execution, *answer);
    }
}

} // namespace Camphor
