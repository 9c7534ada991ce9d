#include "Declaration.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace Camphor;

namespace {

struct ErrorCase
{
    const char *text;
    const char *message; ///< Expected start of the message, without the leading "d.yaml:".
};

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

// Guards against accepting an invalid declaration, and against errors without location or fix.
TEST_CASE("each kind of invalid declaration is rejected with location, key and fix",
          "[declaration]")
{
    const auto it = GENERATE(values<ErrorCase>({
        {"services: []\n",
         "1:1: key 'services': no service is declared. Fix: write at least one "
         "'- name: ...' item below it"},
        {"services:\n  - name: a\n    shares: 2\n",
         "3:5: key 'services[0].shares': unknown key. Fix: remove it"},
        {"services:\n  - name: a\nservces: []\n", "3:1: key 'servces': unknown key"},
        {"services:\n  - share: 2\n", "2:5: key 'services[0]': key 'services[0].name' is missing"},
        {"services:\n  - name: a\n  - name: a\n",
         "3:5: key 'services[1].name': 'a' is declared twice. Fix: rename"},
        {"services:\n  - name: a\n    name: b\n", "3:5: key 'services[0].name': duplicate key"},
        {"services:\n  - name: a b\n", "2:5: key 'services[0].name': 'a b' is not a name"},
        {"services:\n  - name: a\n    share: 0\n",
         "3:5: key 'services[0].share': expected a number from 0.001"},
        {"services:\n  - name: a\n    runTimeMs: 500\n    deadlineMs: 400\n",
         "4:5: key 'services[0].deadlineMs': the expected run time is above the deadline"},
        {"services:\n  - name: a\n    deadlineMs: 400\n    maxQueueTimeMs: 500\n",
         "4:5: key 'services[0].maxQueueTimeMs': the queue bound is above the deadline"},
        {"services:\n  - name: a\n    maxTasksPerJob: 0\n",
         "3:5: key 'services[0].maxTasksPerJob': expected an integer from 1"},
        {"services:\n  - name: a\n    dependsOn: [{service: b}]\n",
         "3:5: key 'services[0].dependsOn': service 'b' is not declared"},
        {"services:\n  - name: a\n    dependsOn: [{service: b}, {service: b}]\n  - name: b\n",
         "3:5: key 'services[0].dependsOn': service 'b' is listed twice"},
        {"services:\n  - name: a\n    dependsOn: [{service: a}]\n",
         "3:5: key 'services[0].dependsOn': required dependencies form a cycle: a -> a"},
        {"services:\n  - name: x\n    dependsOn: [{service: a}]\n  - name: a\n    dependsOn: "
         "[{service: b}]\n  - name: b\n    dependsOn: [{service: a}]\n",
         "7:5: key 'services[2].dependsOn': required dependencies form a cycle: a -> b -> a"},
        {"services:\n  - name: a\nteams:\n  - name: t\n    quotaSlots: -1\n",
         "5:5: key 'teams[0].quotaSlots': expected an integer from 0"},
        {"services:\n  - name: a\nledgers:\n  - {instance: l, domain: d, address: '1.1.1.1:1'}\n",
         "4:19: key 'ledgers[0].domain': failure domain 'd' is not declared"},
        {"services:\n  - name: a\ndomains: [{name: d}]\nledgers:\n"
         "  - {instance: l, domain: d, address: '1.1.1.1:1'}\n"
         "  - {instance: m, domain: d, address: '1.1.1.1:1'}\n",
         "6:30: key 'ledgers[1].address': 1.1.1.1:1 is also the address of 'l'"},
        {"services:\n  - name: a\nretention:\n  claimMs: 1000\n  answerMs: 2000\n",
         "5:3: key 'retention.answerMs': responses would be retained longer than their claims"},
        {"services: [\n", "2:1: "},
        {"", "1:1: expected a mapping"},
    }));
    INFO(it.text);
    const auto declaration = Declaration::parse("d.yaml", it.text);
    REQUIRE_FALSE(declaration.isOk());
    CHECK(declaration.error().code == ErrorCode::InvalidDeclaration);
    CHECK_THAT(declaration.error().message,
               Catch::Matchers::StartsWith(std::string("d.yaml:") + it.message));
    CHECK_THAT(declaration.error().message, Catch::Matchers::Contains(". Fix: "));
}

// Guards against rejecting optional cycles or the shipped examples.
TEST_CASE("valid declarations are parsed completely", "[declaration]")
{
    const auto optionalCycle = Declaration::parse(
        "d",
        "services:\n  - name: a\n    dependsOn: [{service: b}]\n  - name: b\n    dependsOn: "
        "[{service: a, required: false}]\n");
    CHECK(optionalCycle.isOk());
    const std::string folder = std::string(CAMPHOR_SOURCE_DIR) + "/examples/";
    const auto vane = Declaration::parse("v", readFile(folder + "burnished-vane.yaml")).value();
    CHECK(vane.domains().size() == 3);
    CHECK(vane.ledgers().size() == 6);
    CHECK(vane.team("partners")->quotaSlots == 40);
    CHECK_FALSE(vane.service("lift-crew-booking")->isRepeatable);
    const auto teranga = Declaration::parse("t", readFile(folder + "teranga.yaml")).value();
    CHECK(teranga.domains()[3].oneWayDelay == Milliseconds{1.5});
    CHECK(teranga.service("element-sale")->urgency == Urgency::High);
    CHECK(teranga.retention().claimWindow == Milliseconds{900'000});
}
