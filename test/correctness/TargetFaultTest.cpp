#include "EntryFixture.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// The outcomes that a caller gets when the only target has a fault.
struct FaultCase
{
    Fault fault;
    const char *single; ///< Outcome of a single request that is not repeatable.
    const char *job; ///< Outcome of a job of two tasks.
    int starts; ///< Of the single request.
};

constexpr FaultCase Cases[] = {
    {Fault::None, "completed", "completed", 1},  {Fault::Fail, "failed", "failed", 1},
    {Fault::Truncate, "unknown", "failed", 1},   {Fault::Reset, "unknown", "failed", 1},
    {Fault::Stall, "unknown", "failed", 1},      {Fault::AnswerTwice, "completed", "completed", 1},
    {Fault::AnswerLate, "unknown", "failed", 1},
};

const HttpHeaders ShortDeadline{{"camphorspindle-deadline-ms", "400"}};

} // namespace

// Guards against partial responses, second starts of an attempt that was sent, and false outcomes.
TEST_CASE("every target fault yields the correct outcome and one start", "[process]")
{
    for (const auto &it : Cases) {
        INFO("fault " << static_cast<int>(it.fault));
        const EntryCluster entry(1);
        FakeTarget target("t1", entry.addresses());
        REQUIRE(entry.waitForTargets(1));
        target.setFault(it.fault);
        const auto single = responseOf(
            entry.address(), makeRequest("POST", "/v1/requests/book", "crew", ShortDeadline));
        CHECK(outcomeOf(single) == it.single);
        CHECK(target.totalStarts() == it.starts);
        if (single.status == 200) {
            CHECK(single.body == "crew");
        } else {
            CHECK(nlohmann::json::parse(single.body)["started"] == 1);
        }
        const auto job =
            responseOf(entry.address(),
                       makeRequest("POST", "/v1/jobs",
                                   R"({"service":"echo","tasks":[{"input":"a"},{"input":"b"}]})",
                                   ShortDeadline));
        CHECK(outcomeOf(job) == it.job);
        if (job.status == 200)
            CHECK(nlohmann::json::parse(job.body)["results"] == nlohmann::json({"a", "b"}));
        for (const auto &[task, count] : target.starts())
            CHECK(count == 1);
    }
}

// Guards against an outcome other than not-run, or a start that is reported to the caller, when the
// target has proven that it started nothing.
TEST_CASE("a request that the target refuses ends as not run", "[process]")
{
    const EntryCluster entry(1);
    FakeTarget target("t1", entry.addresses());
    REQUIRE(entry.waitForTargets(1));
    target.setFault(Fault::Refuse);
    const auto response = responseOf(
        entry.address(), makeRequest("POST", "/v1/requests/book", "crew", ShortDeadline));
    CHECK(outcomeOf(response) == "not-run");
    CHECK(nlohmann::json::parse(response.body)["started"] == 0);
    CHECK(target.totalStarts() == 0);
}

// Guards against delivery of a duplicate response to the next request on the same connection.
TEST_CASE("a duplicate response on a connection is not delivered to another request", "[process]")
{
    const EntryCluster entry(1);
    FakeTarget target("t1", entry.addresses(), 1);
    REQUIRE(entry.waitForTargets(1));
    target.setFault(Fault::AnswerTwice);
    for (int n = 0; n < 50; ++n) {
        const auto body = "request " + std::to_string(n);
        const auto response =
            responseOf(entry.address(), makeRequest("POST", "/v1/requests/echo", body));
        REQUIRE(response.status == 200);
        CHECK(response.body == body);
    }
}
