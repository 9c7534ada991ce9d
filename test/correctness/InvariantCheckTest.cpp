#include "InvariantCheck.h"
#include "TestProcess.h"

#include <catch2/catch.hpp>

using namespace Camphor;

namespace {

/// One keyed booking "b", one job "j" with two tasks, and one repeatable quote "q", each started at
/// 100 ms with a response at 200 ms. The booking is submitted twice.
struct Run
{
    Scenario scenario = Scenario::parse("s.yaml", R"(
name: s
flows: [{name: booking, keyed: true}, {name: batch, kind: job}, {name: quote, repeatable: true}]
phases: [{name: p, durationMs: 1000}]
)")
                            .value();
    std::vector<PlannedRequest> plan{
        makeRequest(0, 0, false, {"b"}), makeRequest(0, 0, true, {"b"}),
        makeRequest(1, 1, false, {"j.0", "j.1"}), makeRequest(2, 2, false, {"q"})};
    std::vector<CallRecord> calls{makeCall(0), makeCall(1), makeCall(2), makeCall(3)};
    std::vector<StartRecord> starts{makeStart("b", "a-1", 100), makeStart("j.0", "a-2", 100),
                                    makeStart("j.1", "a-3", 100), makeStart("q", "a-4", 100)};

    static PlannedRequest makeRequest(std::size_t submission, std::size_t flow, bool isResubmission,
                                      const std::vector<std::string> &ids)
    {
        PlannedRequest request;
        request.submission = submission;
        request.flow = flow;
        request.isResubmission = isResubmission;
        for (const auto &id : ids)
            request.tasks.push_back({id, Milliseconds{50}, 0});
        return request;
    }
    static CallRecord makeCall(std::size_t plan)
    {
        CallRecord call;
        call.plan = plan;
        call.outcome = CallOutcome::Completed;
        call.sentWallMs = 90;
        call.respondedWallMs = 200;
        return call;
    }
    static StartRecord makeStart(const std::string &id, const std::string &attempt, double time)
    {
        return {time, "worker-1", attempt, "0", id, "service", 0};
    }

    [[nodiscard]] InvariantReport check() const
    {
        return checkInvariants(scenario, plan, calls, starts);
    }
};

} // namespace

// Guards against an invariant check that reports violations in a correct run, or that never reports
// any.
TEST_CASE("a run in which all invariants hold has no violation", "[load]")
{
    Run run;
    CHECK(run.check().total() == 0);

    // A repeatable request without a key may be started again by a retry.
    run.starts.push_back(Run::makeStart("q", "a-5", 150));
    // A not-run response is true if only the other submission of the key started work later.
    run.calls[0].outcome = CallOutcome::NotRun;
    run.calls[0].respondedWallMs = 95;
    CHECK(run.check().total() == 0);
}

// Guards against a duplicate start that the report does not count, or counts twice.
TEST_CASE("two starts of a booking, of a job's task or of an attempt are double starts", "[load]")
{
    Run run;
    const auto duplicateStart =
        GENERATE(Run::makeStart("b", "a-9", 900), Run::makeStart("j.1", "a-9", 110),
                 Run::makeStart("q", "a-4", 110));
    run.starts.push_back(duplicateStart);
    CHECK(run.check().doubleStarts == 1);
    CHECK(run.check().total() == 1);
    CHECK(run.check().examples.size() == 1);
}

// Guards against an incomplete or foreign response that counts as a success.
TEST_CASE("partial and wrong responses are counted separately", "[load]")
{
    Run run;
    run.calls[2].responseCheck = ResponseCheck::Partial;
    run.calls[3].responseCheck = ResponseCheck::Wrong;
    CHECK(run.check().partialResponses == 1);
    CHECK(run.check().wrongResponses == 1);
    CHECK(run.check().total() == 2);
}

// Guards against a false "not run" that goes unreported, which would make a caller retry a started
// request.
TEST_CASE("not-run is false when any part of the request started", "[load]")
{
    Run run;
    SECTION("a task of a job")
    {
        run.calls[2].outcome = CallOutcome::NotRun;
        run.starts.erase(run.starts.begin() + 1);
    }
    SECTION("a start after the response that no other call can have caused")
    {
        run.calls[3].outcome = CallOutcome::NotRun;
        run.calls[3].respondedWallMs = 99;
    }
    SECTION("a start before the response by the other submission of the key")
    {
        run.calls[1].outcome = CallOutcome::NotRun;
    }
    CHECK(run.check().falseNotRun == 1);
    CHECK(run.check().total() == 1);
}

// Guards against lost calls that go unreported, and reports of those that the test caused by
// killing an entry.
TEST_CASE("calls with a lost connection or no response count unless their entry was killed",
          "[load]")
{
    Run run;
    const bool isKilled = GENERATE(false, true);
    run.calls[2].outcome = CallOutcome::ConnectionLost;
    run.calls[3].outcome = CallOutcome::NoResponse;
    run.calls[2].isEntryKilled = isKilled;
    run.calls[3].isEntryKilled = isKilled;
    CHECK(run.check().lostConnections == (isKilled ? 0 : 1));
    CHECK(run.check().missingResponses == (isKilled ? 0 : 1));
}

// Guards against a run that ends in the middle of a line and makes the start log unreadable, and
// against a damaged line that goes unnoticed.
TEST_CASE("a start log may end in the middle of a line, but an earlier damaged line is an error",
          "[load]")
{
    const Testing::TemporaryFolder folder;
    const std::string completeLine = R"({"attempt":"a-1","id":"b"})";
    const auto truncatedLog = folder.write("cut", completeLine + "\n" + completeLine.substr(0, 9));
    REQUIRE(readStartLog(truncatedLog).isOk());
    CHECK(readStartLog(truncatedLog).value().size() == 1);
    CHECK_FALSE(readStartLog(folder.write("bad", "{\n" + completeLine + "\n")).isOk());
}
