/// @file Ends of accepted runs and the requests that wait for them, in any order.
#include "RunWaiters.h"

#include <catch2/catch.hpp>

using namespace Camphor;

namespace {

const RunKey First{"job.0.0.0", 1};
const RunKey Second{"job.0.0.1", 1};

RunOutcome doneAt(const RunKey &key) { return {key, RunEnd::Done, false, 60, "worker-1"}; }

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

bool allRunning(const RunKey &) { return true; }

} // namespace

TEST_CASE("a request is answered at the first end of its runs", "[offers]")
{
    RunWaiters waiters;
    Request request;
    waiters.await({First, Second}, request.reply, allRunning);
    CHECK(request.replies == 0);
    waiters.onEnd(doneAt(Second), Milliseconds{0});
    CHECK(request.ends == std::vector{doneAt(Second)});
    waiters.onEnd(doneAt(First), Milliseconds{0}); // Nobody waits for it yet.
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
    waiters.await({First}, request.reply, [](const RunKey &) { return false; });
    REQUIRE(request.ends.size() == 1);
    CHECK(request.ends.front().isUnknown);
}

TEST_CASE("ends that nobody asks for are discarded after a while", "[offers]")
{
    // Guards against memory that grows with every holder that is lost.
    RunWaiters waiters;
    waiters.onEnd(doneAt(First), Milliseconds{0});
    waiters.evict(Milliseconds{1'000});
    CHECK(waiters.retainedEnds() == 1);
    waiters.evict(Milliseconds{60'000});
    CHECK(waiters.retainedEnds() == 0);
}
