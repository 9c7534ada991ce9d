#include "EntryFixture.h"

#include <catch2/catch.hpp>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

struct BadInput
{
    const char *method;
    const char *target;
    const char *body;
    HttpHeaders headers;
    int status;
};

const std::vector<BadInput> BadInputs = {
    {"GET", "/", "", {}, 404},
    {"GET", "/v2/requests/echo", "", {}, 404},
    {"GET", "/v1/requests/echo", "", {}, 405},
    {"PUT", "/v1/jobs", "{}", {}, 405},
    {"PUT", "/v1/jobs/k", "{}", {}, 405},
    {"GET", "/v1/tickets", "", {}, 405},
    {"POST", "/v1/targets/t", "{}", {}, 405},
    {"POST", "/v1/status", "", {}, 405},
    {"POST", "/metrics", "", {}, 405},
    {"POST", "/v1/requests/nothing", "x", {}, 404},
    {"POST", "/v1/requests/echo", "x", {{"camphorspindle-deadline-ms", "soon"}}, 400},
    {"POST", "/v1/requests/echo", "x", {{"camphorspindle-deadline-ms", "-1"}}, 400},
    {"POST", "/v1/requests/echo", "x", {{"camphorspindle-deadline-ms", "nan"}}, 400},
    {"POST", "/v1/requests/echo", "x", {{"camphorspindle-urgency", "now"}}, 400},
    {"POST", "/v1/requests/echo", "x", {{"camphorspindle-repeatable", "yes"}}, 400},
    {"POST", "/v1/requests/echo", "x", {{"camphorspindle-team", "two words"}}, 400},
    {"POST", "/v1/requests/echo", "x", {{"idempotency-key", "a b"}}, 400},
    {"POST",
     "/v1/requests/echo",
     "x",
     {{"idempotency-key", "k"}, {"camphorspindle-urgency", "?"}},
     400},
    {"POST", "/v1/jobs", "", {}, 400},
    {"POST", "/v1/jobs", "[]", {}, 400},
    {"POST", "/v1/jobs", "{\"service\":", {}, 400},
    {"POST", "/v1/jobs", R"({"service":"echo"})", {}, 400},
    {"POST", "/v1/jobs", R"({"service":"echo","tasks":[]})", {}, 400},
    {"POST", "/v1/jobs", R"({"service":7,"tasks":[{"input":1}]})", {}, 400},
    {"POST", "/v1/jobs", R"({"service":"echo","tasks":[{"in":1}]})", {}, 400},
    {"POST", "/v1/jobs", R"({"service":"echo","tasks":[{"input":1}],"deadlineMs":"x"})", {}, 400},
    {"POST", "/v1/jobs", R"({"service":"echo","tasks":[{"input":1}],"priority":1})", {}, 400},
    {"POST", "/v1/jobs", R"({"service":"echo","key":"","tasks":[{"input":1}]})", {}, 400},
    {"POST", "/v1/jobs", "{\"service\":\"echo\",\"tasks\":[{\"input\":\"\xff\"}]}", {}, 400},
    {"POST", "/v1/jobs", R"({"service":"nothing","tasks":[{"input":1}]})", {}, 404},
    {"POST", "/v1/tickets", "many", {}, 400},
    {"POST", "/v1/tickets", R"({"count":0})", {}, 400},
    {"POST", "/v1/tickets", R"({"count":1e9})", {}, 400},
    {"PUT", "/v1/targets/t", "", {}, 400},
    {"PUT", "/v1/targets/t", R"({"address":"here","services":{"echo":1}})", {}, 400},
    {"PUT", "/v1/targets/t", R"({"address":"127.0.0.1:1","services":{}})", {}, 400},
    {"PUT", "/v1/targets/t", R"({"address":"127.0.0.1:1","services":{"echo":-1}})", {}, 400},
    {"PUT",
     "/v1/targets/t",
     R"({"address":"127.0.0.1:1","services":{"echo":1},"state":"?"})",
     {},
     400},
    {"PUT",
     "/v1/targets/t",
     R"({"address":"127.0.0.1:1","services":{"echo":1},"running":7})",
     {},
     400},
    {"PUT",
     "/v1/targets/t",
     R"({"address":"127.0.0.1:1","services":{"echo":1},"domain":"z"})",
     {},
     409},
    {"PUT", "/v1/declaration", "services: []", {}, 403},
    {"GET", "/v1/explain/nothing", "", {}, 404},
};

} // namespace

// Guards against input that ends the process, runs something, or gets a response without an
// outcome.
TEST_CASE("invalid input of every kind gets a problem document with a true outcome", "[process]")
{
    const EntryCluster entry(1, "limits: {maxBodyBytes: 4096, maxHeaderBytes: 2048}\n");
    FakeTarget target("t1", entry.addresses());
    REQUIRE(entry.waitForTargets(1));
    const auto check = [&](const HttpResponse &response, int status) {
        CHECK(response.status == status);
        CHECK(response.header("content-type") == ProblemContentType);
        const auto problem = nlohmann::json::parse(response.body, nullptr, false);
        REQUIRE(problem.is_object());
        CHECK(problem.value("outcome", "") == "not-run");
        CHECK_FALSE(problem.value("reason", "").empty());
        CHECK(problem.value("started", -1) == 0);
    };
    for (const auto &it : BadInputs) {
        INFO(it.method << " " << it.target << " " << it.body);
        check(responseOf(entry.address(), makeRequest(it.method, it.target, it.body, it.headers)),
              it.status);
    }
    check(responseOf(entry.address(),
                     makeRequest("POST", "/v1/requests/echo", std::string(5000, 'x'))),
          413);
    check(responseOf(entry.address(),
                     makeRequest("GET", "/healthz", "", {{"x-long", std::string(3000, 'x')}})),
          431);
    CHECK(target.totalStarts() == 0);
    CHECK(entry.get(0, "/healthz").status == 200);
}

// Guards against "not run" in the response to an invalid resubmission of a request that did run.
TEST_CASE("an invalid request with a used key does not get the outcome not-run", "[process]")
{
    const EntryCluster entry(1);
    FakeTarget target("t1", entry.addresses());
    REQUIRE(entry.waitForTargets(1));
    HttpHeaders headers{{"idempotency-key", "used"}};
    REQUIRE(
        responseOf(entry.address(), makeRequest("POST", "/v1/requests/book", "x", headers)).status
        == 200);
    headers["camphorspindle-urgency"] = "?";
    CHECK(outcomeOf(
              responseOf(entry.address(), makeRequest("POST", "/v1/requests/book", "x", headers)))
          == "unknown");
}

// Guards against settings that are accepted and have no effect.
TEST_CASE("the entry rejects invalid settings with position and fix", "[process]")
{
    const TemporaryFolder folder;
    const std::string valid = "instance: e\ncluster: c\ndomain: a\nlisten: 127.0.0.1:0\n";
    const std::vector<std::pair<std::string, std::string>> cases = {
        {valid, "exactly one of"},
        {valid + "declaration: d\ncontrol: [\"127.0.0.1:1\"]\n", "exactly one of"},
        {valid + "declaration: d\npeer: []\n", ":6:1: key 'peer': unknown key"},
        {valid + "declaration: d\nthreads: 0\n", "an integer from 1"},
        {valid + "declaration: d\ndrain: {limitMs: soon}\n", "drain.limitMs"},
        {"cluster: c\n", "'instance' is missing"},
    };
    for (const auto &[text, message] : cases) {
        const auto log = (folder.path() / "log").string();
        std::filesystem::remove(log);
        TestProcess process("camphorspindle-entry",
                            {"--check", "--settings", folder.write("e.yaml", text)}, log);
        CHECK(process.wait() == 2);
        std::ifstream file(log);
        const std::string output(std::istreambuf_iterator<char>(file), {});
        INFO(output);
        CHECK(output.find(message) != std::string::npos);
        CHECK(output.find("Fix: ") != std::string::npos);
    }
}
