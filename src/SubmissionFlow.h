/// @file The lifecycle of a submission: claim, admission, tasks, recorded outcome, response.
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

/// The services that a SubmissionFlow uses. All of them must outlive it.
struct FlowServices
{
    boost::asio::io_context &io;
    const Clock &clock;
    std::string domain; ///< Failure domain of this entry.
    ClusterView &cluster;
    PoolSet &pools;
    JobRegistry &registry;
    SubmissionLedger &ledger;
    EntryMetrics &metrics;
    /// False if other entries use ledgers of their own. A submission with a caller's key is then
    /// refused: the caller may send the key to any entry, and two ledgers could both grant it.
    bool isLedgerShared = true;
};

/// Executes submissions and reports their true outcomes. Thread-safe.
class SubmissionFlow
{
public:
    explicit SubmissionFlow(const FlowServices &services);

    /// Executes a submission, joins its running execution or returns its stored response.
    void submit(Submission submission, ResponseCallback callback);

    /// Cancels a submission that this entry executes. @return false if this entry does not execute
    /// it.
    bool cancel(const std::string &key);
    /// Queries the ledger for a key.
    void query(const std::string &key, SubmissionLedger::ClaimCallback callback);
    /// Cancels all submissions that have not started, and responds to the others with what is
    /// known.
    void abandonAll(const std::string &reason);

    /// The response for a stored outcome, with its complete body.
    [[nodiscard]] static JobResponse responseFromStored(const ClaimReply &reply);
    /// Whether the stored response is that of a job (a JSON array) rather than of a single request.
    [[nodiscard]] static bool isStoredJob(const ClaimReply &reply);

private:
    using ExecutionPtr = std::shared_ptr<Execution>;

    void join(const ExecutionPtr &execution, const Submission &submission, Milliseconds deadline,
              ResponseCallback callback);
    void claim(const ExecutionPtr &execution);
    void onClaim(const ExecutionPtr &execution, const ClaimReply &reply);
    void onUnreachable(const ExecutionPtr &execution, const ClaimReply &reply);
    void waitForExecutor(const ExecutionPtr &execution, const Executor &executor,
                         Milliseconds interval);
    void onExecutorPolled(const ExecutionPtr &execution, const Executor &executor,
                          Milliseconds interval, const ClaimReply &reply);
    [[nodiscard]] std::optional<JobResponse> checkAdmission(const Submission &submission,
                                                            Milliseconds deadline) const;
    void start(const ExecutionPtr &execution);
    [[nodiscard]] std::vector<PlacedTask> makeTasks(const ExecutionPtr &execution);
    void onTaskEnd(const ExecutionPtr &execution, std::uint32_t index, TaskEnd end);
    /// Ends an execution whose claim was granted to this entry, or that needs no claim.
    void finish(const ExecutionPtr &execution, const JobResponse &response);
    void abandon(const ExecutionPtr &execution, const std::string &reason);
    void cancelTasks(const ExecutionPtr &execution) const;
    void recordOutcome(const ExecutionPtr &execution, const JobResponse &response, int attempt);
    /// Responds without recording an outcome: the claim was not granted or not needed.
    void removeAndRespond(const ExecutionPtr &execution, const JobResponse &response);
    [[nodiscard]] Milliseconds deadlineOf(const Submission &submission) const;
    [[nodiscard]] bool needsClaim(const Submission &submission) const;
    void runAfter(Milliseconds pause, std::function<void()> action) const;
    [[nodiscard]] Milliseconds ledgerTimeout(const ExecutionPtr &execution) const;

    FlowServices m_services;
};

} // namespace Camphor
