#include "Scenario.h"

#include <catch2/catch.hpp>

using namespace Camphor;

namespace {

std::string errorOf(const std::string &flow, const std::string &phase)
{
    const auto scenario = Scenario::parse("s.yaml",
                                          "name: s\nflows:\n  - {name: f, " + flow
                                              + "}\nphases:\n  - {name: p, " + phase + "}\n");
    return scenario ? "none" : scenario.error().message;
}

} // namespace

// Guards against a scenario with a typing error that runs with defaults and measures something
// else.
TEST_CASE("scenario errors name the position and the fix", "[load]")
{
    const auto [flow, phase, expected] = GENERATE(table<std::string, std::string, std::string>(
        {{"share: 1", "durationMs: 10", "none"},
         {"shares: 1", "durationMs: 10", "s.yaml:3:15: key 'flows[0].shares': unknown key"},
         {"share: 1", "durationMs: 10, flood: {flow: g}", "there is no flow 'g'"},
         {"share: 1", "durationMs: 10, flows: [g]", "there is no flow 'g'"},
         {"share: 1", "load: 1", "key 'durationMs' is missing"},
         {"share: 1", "durationMs: 0", "expected a number from 1"},
         {"maxTasks: 9", "durationMs: 10", "a request has exactly one task"},
         {"resubmit: 0.1", "durationMs: 10", "a resubmission needs a key"},
         {"kind: job, repeatable: true", "durationMs: 10", "is not repeatable"},
         {"runTime: {minMs: 9, maxMs: 8}", "durationMs: 10", "expected a number from 9"}}));
    CAPTURE(flow, phase);
    CHECK_THAT(errorOf(flow, phase), Catch::Contains(expected));
}

// Guards against figures of two phases that are merged under one name in the report.
TEST_CASE("two phases of one name are an error", "[load]")
{
    const auto scenario =
        Scenario::parse("s.yaml",
                        "name: s\nflows: [{name: f}]\nphases: [{name: p, durationMs: 1}, "
                        "{name: p, durationMs: 2}]\n");
    REQUIRE_FALSE(scenario.isOk());
    CHECK_THAT(scenario.error().message, Catch::Contains("'p' is used twice"));
}
