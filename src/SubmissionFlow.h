/// @file The way of a submission: claim, admission, tasks, recorded end, answer.
#pragma once

#include "ClusterView.h"
#include "EntryMetrics.h"
#include "JobRegistry.h"
#include "PoolSet.h"
#include "SubmissionLedger.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// What a SubmissionFlow uses. All of it must outlive the flow.
struct FlowServices
{
    boost::asio::io_context &io;
    const Clock &clock;
    std::string domain; ///< Of this entry.
    ClusterView &cluster;
    PoolSet &pools;
    JobRegistry &registry;
    SubmissionLedger &ledger;
    EntryMetrics &metrics;
    /// False when other entries have ledgers of their own. A key that a caller may send to any
    /// entry is then refused, because two ledgers could both grant it.
    bool isLedgerShared = true;
};

/// Executes submissions and answers them with true outcomes. Thread-safe.
class SubmissionFlow
{
public:
    explicit SubmissionFlow(const FlowServices &services);

    /// Executes a submission, joins its running execution or gives its stored answer.
    void submit(Submission submission, AnswerCallback callback);

    /// Cancels a submission that this entry executes. @return false when it does not.
    bool cancel(const std::string &key);
    /// Asks the ledger about a key.
    void query(const std::string &key, SubmissionLedger::ClaimCallback callback);
    /// Cancels everything that waits, and answers the rest with what is known.
    void abandonAll(const std::string &reason);

    /// An answer from a stored end; the body is whole.
    [[nodiscard]] static JobAnswer answerFromStored(const ClaimReply &reply);
    /// Whether a stored answer is that of a job, a JSON array, and not that of a single request.
    [[nodiscard]] static bool isStoredJob(const ClaimReply &reply);

private:
    using ExecutionPtr = std::shared_ptr<Execution>;

    void join(const ExecutionPtr &execution, const Submission &submission, Milliseconds deadline,
              AnswerCallback callback);
    void claim(const ExecutionPtr &execution);
    void onClaim(const ExecutionPtr &execution, const ClaimReply &reply);
    void onUnreachable(const ExecutionPtr &execution, const ClaimReply &reply);
    void follow(const ExecutionPtr &execution, const Executor &executor, Milliseconds pause);
    void onFollowed(const ExecutionPtr &execution, const Executor &executor, Milliseconds pause,
                    const ClaimReply &reply);
    [[nodiscard]] std::optional<JobAnswer> refusal(const Submission &submission,
                                                   Milliseconds deadline) const;
    void start(const ExecutionPtr &execution);
    [[nodiscard]] std::vector<PlacedTask> makeTasks(const ExecutionPtr &execution);
    void onTaskEnd(const ExecutionPtr &execution, std::uint32_t index, TaskEnd end);
    /// Ends an execution that this entry was granted, or that needs no claim.
    void finish(const ExecutionPtr &execution, const JobAnswer &answer);
    void abandon(const ExecutionPtr &execution, const std::string &reason);
    void cancelTasks(const ExecutionPtr &execution) const;
    void recordEnd(const ExecutionPtr &execution, const JobAnswer &answer, int attempt);
    /// Ends an execution that this entry only followed.
    void end(const ExecutionPtr &execution, const JobAnswer &answer);
    [[nodiscard]] Milliseconds deadlineOf(const Submission &submission) const;
    [[nodiscard]] bool needsClaim(const Submission &submission) const;
    void after(Milliseconds pause, std::function<void()> action) const;
    [[nodiscard]] Milliseconds ledgerTimeout(const ExecutionPtr &execution) const;

    FlowServices m_services;
};

} // namespace Camphor
