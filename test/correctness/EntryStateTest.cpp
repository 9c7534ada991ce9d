#include "AppliedDeclaration.h"
#include "AttemptFence.h"
#include "JobRegistry.h"
#include "MemoryLedger.h"
#include "TestProcess.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

std::string declarationText(const std::string &service)
{
    return "services:\n  - name: " + service + "\n";
}

} // namespace

// Guards against a declaration that reverts to an older version, also across a restart.
TEST_CASE("the applied declaration never reverts to an older version", "[declaration]")
{
    const TemporaryFolder folder;
    std::vector<std::string> applied;
    const auto apply = [&](const std::shared_ptr<const Declaration> &it) {
        applied.push_back(it->services().front().name);
    };
    {
        AppliedDeclaration declaration(folder.path().string(), apply);
        REQUIRE(declaration.restore().isOk());
        declaration.applyIfNewer({5, declarationText("five")});
        declaration.applyIfNewer({4, declarationText("four")});
        declaration.applyIfNewer({5, declarationText("other")});
        declaration.applyIfNewer({6, "services: 7"});
        CHECK(declaration.current().version == 5);
    }
    folder.write("declaration.applied.new", "9\ncut off");
    AppliedDeclaration declaration(folder.path().string(), apply);
    REQUIRE(declaration.restore().isOk());
    CHECK(declaration.current().version == 5);
    declaration.applyIfNewer({4, declarationText("four")});
    declaration.applyIfNewer({7, declarationText("seven")});
    CHECK(applied == std::vector<std::string>{"five", "five", "seven"});
    folder.write("declaration.applied", "no version");
    AppliedDeclaration damaged(folder.path().string(), apply);
    CHECK_FALSE(damaged.restore().isOk());
}

// Guards against a late or duplicate forwarding message that starts a task again.
TEST_CASE("the fence accepts each attempt of the newest incarnation exactly once", "[peers]")
{
    using Verdict = AttemptFence::Verdict;
    AttemptFence fence(2);
    const Milliseconds now{100};
    const Milliseconds deadline{200};
    CHECK(fence.admit("a", 1, "x", deadline, now) == Verdict::Accepted);
    CHECK(fence.admit("a", 1, "x", deadline, now) == Verdict::Duplicate);
    CHECK(fence.admit("b", 1, "x", deadline, now) == Verdict::Accepted);
    CHECK(fence.admit("a", 1, "y", deadline, now) == Verdict::Full);
    CHECK(fence.admit("a", 2, "y", now, now) == Verdict::TooLate);
    CHECK(fence.admit("a", 1, "z", deadline, now) == Verdict::OldIncarnation);
    const Milliseconds later{300};
    CHECK(fence.admit("a", 2, "y", later + deadline, later) == Verdict::Accepted);
    CHECK(fence.size() == 1);
}

// Guards against a partial result, and against two responses for one job.
TEST_CASE("a job's response is released once, and only when all its results are in", "[jobs]")
{
    const auto completed = [](const std::string &body) {
        return TaskEnd{Outcome::Completed, body, "", 1, {}};
    };
    JobAssembler whole(2, true);
    CHECK_FALSE(whole.record(1, completed("b")).response);
    CHECK_FALSE(whole.record(1, completed("other")).response);
    const auto step = whole.record(0, completed("a\xff"));
    REQUIRE(step.response);
    CHECK(step.response->body == R"([{"base64":"Yf8="},"b"])");
    CHECK_FALSE(whole.record(0, completed("late")).response);
    CHECK_FALSE(whole.abandon("late"));

    JobAssembler failed(3, true);
    CHECK(failed.record(0, {Outcome::Unknown, "", "target-timeout", 1, {}}).shouldCancelRest);
    CHECK_FALSE(failed.record(1, {Outcome::NotRun, "", "cancelled", 0, {}}).shouldCancelRest);
    const auto end = failed.record(2, completed("c")).response;
    REQUIRE(end);
    CHECK(end->outcome == Outcome::Failed);
    CHECK(end->reason == "target-timeout");
    CHECK(end->started == 2);
    CHECK(end->body.empty());

    JobAssembler notRun(2, true);
    (void)notRun.record(0, {Outcome::NotRun, "", "deadline-passed", 0, {}});
    CHECK(notRun.record(1, {Outcome::NotRun, "", "cancelled", 0, {}}).response->outcome
          == Outcome::NotRun);
}

// Guards against two grants of one key and against duplicate responses under concurrent use.
TEST_CASE("ledger and registry stay consistent under concurrent use", "[threads]")
{
    constexpr int Threads = 4;
    constexpr int Keys = 200;
    const SteadyClock clock;
    MemoryLedger ledger(clock);
    JobRegistry registry;
    std::atomic<int> grants{0};
    std::atomic<int> added{0};
    std::atomic<int> responses{0};
    std::atomic<int> acceptedResponses{0};
    std::atomic<int> rejectedResponses{0};
    std::vector<std::jthread> threads;
    threads.reserve(Threads);
    for (int t = 0; t < Threads; ++t) {
        threads.emplace_back([&, t] {
            for (int n = 0; n < Keys; ++n) {
                const auto key = "k" + std::to_string(n);
                ledger.claim({key, 1, {"e", 1}, 1, std::to_string(t)}, Milliseconds{1},
                             [&](const ClaimReply &it) {
                                 grants += it.state == ClaimState::Granted ? 1 : 0;
                             });
                Submission submission;
                submission.inputs.push_back(std::make_shared<const std::string>("x"));
                const auto found = registry.findOrAdd(
                    std::make_shared<Execution>(submission, key, true, Milliseconds{1}));
                added += found.isNew ? 1 : 0;
                found.execution->addWaiter([&](const JobResponse &) { ++responses; });
                if (const auto step =
                        found.execution->assembler.record(0, {Outcome::Completed, "x", "", 1, {}});
                    step.response)
                    // The assertions of Catch2 are not thread-safe, so the results are counted.
                    (found.execution->setResponse(*step.response) ? acceptedResponses
                                                                  : rejectedResponses)++;
            }
        });
    }
    threads.clear();
    CHECK(grants == Keys);
    CHECK(added == Keys);
    CHECK(responses == Threads * Keys);
    CHECK(acceptedResponses == Keys);
    CHECK(rejectedResponses == 0);
    CHECK(registry.size() == Keys);
}
