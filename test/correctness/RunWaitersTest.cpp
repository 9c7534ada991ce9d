/// @file Ends of accepted runs and the requests that wait for them, in any order.
#include "RunWaiters.h"

#include <catch2/catch.hpp>

using namespace Camphor;

namespace {

const AcceptedRunKey First{"holder-1", 7, {"job.0.0.0", 1}};
const AcceptedRunKey Second{"holder-1", 7, {"job.0.0.1", 1}};

RunOutcome doneAt(const AcceptedRunKey &key)
{
    return {key.run, RunEnd::Done, false, 60, "worker-1"};
}

AcceptedRunEnd endOf(const AcceptedRunKey &key) { return {key, doneAt(key)}; }

/// A request, and the reply that it got.
struct Request
{
    RunWaiters::Reply reply = [this](const AwaitRunsReply &it) {
        ++replies;
        ends = it.ends;
    };
    int replies = 0;
    std::vector<RunOutcome> ends;
};

bool allRunning(const AcceptedRunKey &) { return true; }

} // namespace

TEST_CASE("a request is answered at the first end of its runs", "[offers]")
{
    RunWaiters waiters;
    Request request;
    waiters.await({First, Second}, request.reply, allRunning);
    CHECK(request.replies == 0);
    waiters.onEnd(endOf(Second), Milliseconds{0});
    CHECK(request.ends == std::vector{doneAt(Second)});
    waiters.onEnd(endOf(First), Milliseconds{0}); // Nobody waits for it yet.
    CHECK(request.replies == 1);
    Request next;
    waiters.await({First}, next.reply, allRunning);
    CHECK(next.ends == std::vector{doneAt(First)});
    CHECK(waiters.retainedEnds() == 0);
}

TEST_CASE("a run that is neither running nor known to have ended has an unknown result", "[offers]")
{
    RunWaiters waiters;
    Request request;
    waiters.await({First}, request.reply, [](const AcceptedRunKey &) { return false; });
    REQUIRE(request.ends.size() == 1);
    CHECK(request.ends.front().isUnknown);
}

TEST_CASE("an end that nobody has asked for is not that of a run of a later submission", "[offers]")
{
    // Guards against tasks that run twice after a job was cancelled and submitted again: the runs
    // of both submissions have the same names and numbers.
    const auto later = GENERATE(AcceptedRunKey{"holder-1", 8, First.run},
                                AcceptedRunKey{"holder-2", 7, First.run});
    RunWaiters waiters;
    waiters.onEnd(endOf(First), Milliseconds{0});
    Request request;
    waiters.await({later}, request.reply, allRunning);
    CHECK(request.replies == 0);
    waiters.onEnd(endOf(later), Milliseconds{10});
    CHECK(request.ends == std::vector{doneAt(later)});
}

TEST_CASE("ends that nobody asks for are discarded after a while", "[offers]")
{
    // Guards against memory that grows with every holder that is lost.
    RunWaiters waiters;
    waiters.onEnd(endOf(First), Milliseconds{0});
    waiters.evict(Milliseconds{1'000});
    CHECK(waiters.retainedEnds() == 1);
    waiters.evict(Milliseconds{60'000});
    CHECK(waiters.retainedEnds() == 0);
}
