#include "InvariantCheck.h"

#include <algorithm>
#include <unordered_map>

namespace Camphor {

namespace {

constexpr std::size_t MaxExamplesPerInvariant = 5;

/// Checks the invariants of one run.
class InvariantChecker
{
public:
    InvariantChecker(const Scenario &scenario, const std::vector<PlannedRequest> &plan,
                     const std::vector<CallRecord> &calls, const std::vector<StartRecord> &starts)
        : m_scenario(scenario)
        , m_plan(plan)
        , m_calls(calls)
    {
        for (const auto &start : starts) {
            m_startsByAttempt[start.attempt].push_back(&start);
            m_startsById[start.id].push_back(&start);
        }
        for (const auto &call : calls)
            m_callsBySubmission[plan[call.plan].submission].push_back(&call);
    }

    InvariantReport run()
    {
        checkAttempts();
        for (const auto &request : m_plan) {
            if (!request.isResubmission)
                checkStarts(request);
        }
        for (const auto &call : m_calls)
            checkCall(call);
        return std::move(m_report);
    }

private:
    using Starts = std::vector<const StartRecord *>;

    void addViolation(std::size_t &count, const std::string &example)
    {
        ++count;
        if (count <= MaxExamplesPerInvariant)
            m_report.examples.push_back(example);
    }

    void checkAttempts()
    {
        for (const auto &[attempt, starts] : m_startsByAttempt) {
            if (!attempt.empty() && starts.size() > 1) {
                addViolation(m_report.doubleStarts,
                             "attempt " + attempt + " started " + std::to_string(starts.size())
                                 + " times");
            }
        }
    }

    [[nodiscard]] const Starts &startsOf(const std::string &id) const
    {
        static const Starts None;
        const auto it = m_startsById.find(id);
        return it == m_startsById.end() ? None : it->second;
    }

    void checkStarts(const PlannedRequest &request)
    {
        const auto &flow = m_scenario.flows[request.flow];
        if (!startsAtMostOnce(flow))
            return;
        for (const auto &task : request.tasks) {
            const auto &starts = startsOf(task.id);
            if (starts.size() < 2)
                continue;
            std::string example = "task " + task.id + " of flow " + flow.name + " started as";
            for (const auto *start : starts)
                example += " " + start->attempt + " on " + start->target;
            addViolation(m_report.doubleStarts, example);
        }
    }

    void checkCall(const CallRecord &call)
    {
        const auto &request = m_plan[call.plan];
        const auto name = m_scenario.flows[request.flow].name + " " + request.tasks.front().id
            + " at " + call.entry.toString();
        switch (call.outcome) {
        case CallOutcome::Completed:
            if (call.responseCheck == ResponseCheck::Partial)
                addViolation(m_report.partialResponses, "partial response: " + name);
            else if (call.responseCheck == ResponseCheck::Wrong)
                addViolation(m_report.wrongResponses, "wrong response: " + name);
            break;
        case CallOutcome::NotRun:
            if (const auto *start = findContradictingStart(call)) {
                addViolation(m_report.falseNotRun,
                             "reported not-run (" + call.reason + ") but started as "
                                 + start->attempt + " on " + start->target + ": " + name);
            }
            break;
        case CallOutcome::ConnectionLost:
            if (!call.isEntryKilled)
                addViolation(m_report.lostConnections,
                             "connection lost (" + call.reason + "): " + name);
            break;
        case CallOutcome::NoResponse:
            if (!call.isEntryKilled)
                addViolation(m_report.missingResponses,
                             "no response (" + call.reason + "): " + name);
            break;
        case CallOutcome::Failed:
        case CallOutcome::Unknown:
            break;
        }
    }

    /// Finds a start that contradicts a "not run" response: one before the response, or a later one
    /// that no other call of the same submission can have caused.
    [[nodiscard]] const StartRecord *findContradictingStart(const CallRecord &call) const
    {
        const auto &request = m_plan[call.plan];
        const auto &submissionCalls = m_callsBySubmission.at(request.submission);
        for (const auto &task : request.tasks) {
            for (const auto *start : startsOf(task.id)) {
                const bool isCausedByOtherCall = start->timeMs > call.respondedWallMs
                    && std::ranges::any_of(submissionCalls, [&](const CallRecord *other) {
                                                     return other != &call
                                                         && other->sentWallMs <= start->timeMs
                                                         && other->outcome != CallOutcome::NotRun;
                                                 });
                if (!isCausedByOtherCall)
                    return start;
            }
        }
        return nullptr;
    }

    const Scenario &m_scenario;
    const std::vector<PlannedRequest> &m_plan;
    const std::vector<CallRecord> &m_calls;
    std::unordered_map<std::string, Starts> m_startsByAttempt;
    std::unordered_map<std::string, Starts> m_startsById;
    std::unordered_map<std::size_t, std::vector<const CallRecord *>> m_callsBySubmission;
    InvariantReport m_report;
};

} // namespace

bool startsAtMostOnce(const FlowScenario &flow)
{
    return flow.isJob || flow.isKeyed || !flow.isRepeatable;
}

InvariantReport checkInvariants(const Scenario &scenario, const std::vector<PlannedRequest> &plan,
                                const std::vector<CallRecord> &calls,
                                const std::vector<StartRecord> &starts)
{
    return InvariantChecker(scenario, plan, calls, starts).run();
}

} // namespace Camphor
