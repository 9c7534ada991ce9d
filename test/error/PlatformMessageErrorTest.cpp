/// @file Unreadable and invalid messages of the platform are rejected and change nothing.
#include "PlatformMessages.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <limits>
#include <string>

using namespace Camphor;
using namespace Camphor::Platform;

namespace {

const std::string Configuration =
    R"({"version":7,"routes":[{"name":"r-1","host":"h.example","path_prefix":"/p/",)"
    R"("kind":"non_idempotent","timeout_ms":1500,"target_duration_ms":60,"priority":1,)"
    R"("service":"s","max_attempts":4,"stretch_factor":1.6}],)"
    R"("services":[{"name":"s","health_path":"/healthz","max_conns":64}],"limits":{}})";

const std::string Report =
    R"({"service":"s","address":"127.0.0.1:8080","zone":"north","version":"v1","slots":8,)"
    R"("state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)"
    R"("labels":["a","r1"],"clock_ms":482113,"seq":4,"born":1000})";

const std::string Job =
    R"({"spec":"text","best_effort":true,"phases":[{"count":4,"cpu":500,"mem_mb":256,)"
    R"("estimated_ms":900}]})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("all fields of a valid configuration are read", "[platform]")
{
    const auto configuration = decodeConfiguration(Configuration);
    REQUIRE(configuration);
    CHECK(configuration.value().version == 7);
    REQUIRE(configuration.value().queues.size() == 1);
    CHECK(configuration.value().queues.front().stretch == 1.6);
    CHECK(configuration.value().route("h.example", "/p/0123") != nullptr);
    CHECK(configuration.value().route("other.example", "/p/0123") == nullptr);
}

TEST_CASE("an invalid configuration is refused", "[platform]")
{
    struct Row
    {
        const char *from;
        const char *to;
    };
    const auto row =
        GENERATE(Row{R"("service":"s")", R"("service":"unknown")"},
                 Row{R"("timeout_ms":1500)", R"("timeout_ms":0)"},
                 Row{R"("timeout_ms":1500)", R"("timeout_ms":"1500")"},
                 Row{R"("timeout_ms":1500,)", ""}, Row{R"("version":7)", R"("version":-7)"},
                 Row{R"("version":7)", R"("version":"7")"}, Row{R"("host":"h.example",)", ""},
                 Row{R"("routes":[{)",
                     R"("routes":[{"name":"r-0","host":"h.example","path_prefix":"/p/",)"
                     R"("timeout_ms":5,"service":"s"},{)"},
                 Row{R"("routes":[{)",
                     R"("routes":[{"name":"r-0","host":"H.Example","path_prefix":"/p/",)"
                     R"("timeout_ms":5,"service":"s"},{)"});
    CAPTURE(row.from, row.to);
    CHECK_FALSE(decodeConfiguration(replaced(Configuration, row.from, row.to)));
}

TEST_CASE("a configuration that is truncated anywhere is refused", "[platform]")
{
    for (std::size_t n = 0; n < Configuration.size(); ++n)
        CHECK_FALSE(decodeConfiguration(Configuration.substr(0, n)));
}

TEST_CASE("an invalid report is rejected", "[platform]")
{
    struct Row
    {
        const char *from;
        const char *to;
    };
    const auto row =
        GENERATE(Row{R"("seq":4)", R"("seq":"4")"}, Row{R"("seq":4,)", ""},
                 Row{R"("state":"ready")", R"("state":"asleep")"}, Row{R"("state":"ready",)", ""},
                 Row{R"({"cpu":16000,"mem_mb":32768,"gpu":0})", "16"},
                 Row{R"(["a","r1"])", R"(["a",1])"}, Row{R"("zone":"north",)", ""},
                 Row{"127.0.0.1:8080", "127.0.0.1:99999"}, Row{"127.0.0.1:8080", "127.0.0.1:0"},
                 Row{"127.0.0.1:8080", "127.0.0.1"}, Row{"16000", "18446744073709551615"},
                 Row{"16000", "1e400"}, Row{R"("seq":4)", R"("seq":18446744073709551616)"});
    CAPTURE(row.from, row.to);
    REQUIRE(decodeReport("i-1", Report));
    CHECK_FALSE(decodeReport("i-1", replaced(Report, row.from, row.to)));
    CHECK_FALSE(decodeReport("i-1", "\xff\xfe not json"));
}

TEST_CASE("a report that entries could not read is rejected", "[platform]")
{
    // Guards against one odd report that makes entries stop following the list of instances: a
    // message with that many elements is refused by its receivers.
    std::string labels = R"(["a")";
    for (int n = 0; n < 70'000; ++n)
        labels += R"(,"")";
    CHECK_FALSE(decodeReport("i-1", replaced(Report, R"(["a","r1"])", labels + "]")));
    CHECK_FALSE(decodeReport("i 1", Report));
    CHECK_FALSE(decodeReport("i\r\nHost: h", Report));
    CHECK_FALSE(decodeReport(std::string(10'000, 'i'), Report));
}

TEST_CASE("a body that is nested deeply is rejected", "[platform]")
{
    // Guards against one message that takes all memory, or all of the stack, and ends the process.
    constexpr std::size_t Levels = 2'000'000;
    const auto array = std::string(Levels, '[') + std::string(Levels, ']');
    std::string object;
    for (std::size_t n = 0; n < Levels; ++n)
        object += R"({"a":)";
    object += "1" + std::string(Levels, '}');
    for (const auto &nested : {array, object}) {
        CHECK_FALSE(decodeConfiguration(
            replaced(Configuration, R"("limits":{})", R"("limits":)" + nested)));
        CHECK_FALSE(decodeJob("0123456789abcdef", "q",
                              replaced(Job, R"("spec":"text")", R"("spec":)" + nested)));
        CHECK(decodeStartTime(nested) == 0);
        CHECK(decodeOrderReply(409, nested).result == OrderResult::NoRoom);
        CHECK(decodeHoldReply(200, nested).result == OrderResult::NoReply);
    }
    // Brackets within a text are no levels.
    const auto text = R"("spec":"\"\\)" + std::string(100, '[') + '"';
    CHECK(decodeJob("0123456789abcdef", "q", replaced(Job, R"("spec":"text")", text)));
}

TEST_CASE("jobs that cannot be parsed and jobs that are not supported are distinguished",
          "[platform]")
{
    const auto job = decodeJob("0123456789abcdef", "q", Job);
    REQUIRE(job);
    CHECK(job.value().respondsAtEnd);
    CHECK(job.value().job.steps.front().demand == ResourceVector{500, 256, 0});
    CHECK_FALSE(decodeJob("0123456789abcdef", "q", replaced(Job, R"("count":4)", R"("count":0)")));
    CHECK_FALSE(decodeJob("0123456789abcdef", "q",
                          replaced(Job, R"("count":4)", R"("count":4,"depends_on":[0])")));
    const auto gang = decodeJob("0123456789abcdef", "q",
                                replaced(Job, R"("count":4)", R"("count":4,"gang":true)"));
    REQUIRE(gang);
    CHECK(gang.value().unsupported == "gang");
}

TEST_CASE("a number that is too large for its field does not become a smaller one", "[platform]")
{
    // 2^32 + 4 tasks must not run as 4, and a demand of 2^63 must not become negative, which would
    // fit on every instance.
    CHECK_FALSE(
        decodeJob("0123456789abcdef", "q", replaced(Job, R"("count":4)", R"("count":4294967300)")));
    const auto large = decodeJob("0123456789abcdef", "q",
                                 replaced(Job, R"("cpu":500)", R"("cpu":9223372036854775808)"));
    REQUIRE(large);
    CHECK_FALSE(large.value().job.steps.front().demand.fitsInto({16'000, 32'768, 0}));
    const auto configuration = decodeConfiguration(
        replaced(Configuration, R"("timeout_ms":1500)", R"("timeout_ms":4294967297)"));
    REQUIRE(configuration);
    CHECK(configuration.value().queues.front().timeoutMs
          == std::numeric_limits<std::uint32_t>::max());
}

TEST_CASE("replies of instances become results, and an unreadable list counts as no reply",
          "[platform]")
{
    CHECK(decodeOrderReply(200, R"({"clock_ms":5})").result == OrderResult::Accepted);
    CHECK(decodeOrderReply(409, R"({"clock_ms":5,"reason":"fence"})").result
          == OrderResult::Fenced);
    CHECK(decodeOrderReply(409, R"({"clock_ms":5,"reason":"late"})").result
          == OrderResult::TooLate);
    CHECK(decodeOrderReply(409, R"({"clock_ms":5,"reason":7})").result == OrderResult::NoRoom);
    CHECK(decodeOrderReply(409, "[]").result == OrderResult::NoRoom);
    CHECK(decodeOrderReply(421, "").result == OrderResult::WrongInstance);
    CHECK(decodeOrderReply(503, "").result == OrderResult::Unhealthy);
    const auto list = decodeHoldReply(200,
                                      R"({"clock_ms":5,"born":9,"running":[["j.0.0.1",2,"",41,0]],)"
                                      R"("ended_runs":[[58,"j.0.0.9",1,"done",""]]})");
    CHECK(list.result == OrderResult::Accepted);
    CHECK(list.startTimeMs == 9);
    CHECK(list.running == std::vector<RunningRun>{{{"j.0.0.1", 2}, 41}});
    CHECK(list.ended == std::vector<EndedRun>{{58, {"j.0.0.9", 1}, RunEnd::Done}});
    CHECK(decodeHoldReply(200, R"({"clock_ms":5,"running":7})").result == OrderResult::NoReply);
    CHECK(decodeHoldReply(200, "").result == OrderResult::NoReply);
    CHECK(decodeHoldReply(409, R"({"reason":"fence"})").result == OrderResult::Fenced);
}

TEST_CASE("orders are encoded with the platform's field names", "[platform]")
{
    const OrderTarget target{{"i-1", 1'000}, "127.0.0.1:1", 7};
    CHECK(
        encodeStart({target, {"j.0.0.1", 2}, "text", 486'000})
        == R"({"deadline_ms":486000,"fencing_token":7340032,"run":2,"spec":"text","task":"j.0.0.1"})");
    CHECK(encodeHold({target, std::nullopt, 57, 0, 1})
          == R"({"acked_through":57,"fencing_token":7340032})");
}
