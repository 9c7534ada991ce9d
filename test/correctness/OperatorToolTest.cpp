#include "ControlGroup.h"
#include "ControlSubscription.h"
#include "HttpServer.h"
#include "TextDiff.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// Runs camphorctl against a control group.
class Tool
{
public:
    explicit Tool(const ControlGroup &group)
        : m_group(group)
    {
        for (const auto &instance : group.instances())
            m_control +=
                (m_control.empty() ? "" : ",") + group.operatorAddress(instance).toString();
    }

    /// Runs with the group's addresses and token. @return the exit code; output() returns what was
    /// printed.
    int run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(),
                         {"--control", m_control, "--token-file", m_group.tokenFile()});
        return runPlain(std::move(arguments));
    }

    int runPlain(std::vector<std::string> arguments)
    {
        const auto path = m_folder.path() / ("out" + std::to_string(++m_runs));
        const int code = TestProcess("camphorctl", std::move(arguments), path.string()).wait();
        std::ifstream file(path);
        m_output.assign(std::istreambuf_iterator<char>(file), {});
        return code;
    }

    [[nodiscard]] const std::string &output() const { return m_output; }
    std::string write(const std::string &name, const std::string &text) const
    {
        return m_folder.write(name, text);
    }

private:
    const ControlGroup &m_group;
    TemporaryFolder m_folder;
    std::string m_control;
    std::string m_output;
    int m_runs = 0;
};

/// Simulates an entry: applies declarations and reports their version.
class SimulatedEntry
{
public:
    SimulatedEntry(const std::vector<Address> &control, const std::string &instance)
    {
        RpcSettings settings;
        settings.cluster = "test";
        settings.instance = instance;
        m_subscription = ControlSubscription::make(m_io, control, settings);
        m_subscription->subscribe(
            0, [this](const VersionedDeclaration &it) { m_version = it.version; });
        HttpServerSettings http;
        http.listen = {"127.0.0.1", 0};
        m_server =
            HttpServer::make(m_io, http, [this](const HttpRequest &, const HttpRespond &it) {
                it(makeResponse(200, "application/json",
                                nlohmann::json{{"declarationVersion", m_version.load()}}.dump()));
            }).value();
        m_thread = std::jthread([this] { m_io.run(); });
    }
    ~SimulatedEntry()
    {
        m_subscription->stop();
        m_server->stopAccepting();
        m_server->closeIdleConnections();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_server->port());
    }

private:
    boost::asio::io_context m_io;
    std::atomic<std::uint64_t> m_version = 0;
    std::shared_ptr<ControlSubscription> m_subscription;
    std::shared_ptr<HttpServer> m_server;
    std::jthread m_thread;
};

} // namespace

// Guards against wrong exit codes, which scripts rely on, and against reporting a version as in
// force too early.
TEST_CASE("camphorctl shows and changes the declaration with documented exit codes", "[process]")
{
    ControlGroup group(3);
    Tool tool(group);
    const auto one = tool.write("one.yaml", declarationText(1));
    const auto two = tool.write("two.yaml", declarationText(2));
    CHECK(tool.runPlain({"check", one}) == 0);
    CHECK(tool.runPlain({"check", tool.write("bad.yaml", "services:\n  - nam: a\n")}) == 2);
    CHECK_THAT(tool.output(), Catch::Matchers::Contains("bad.yaml:2:5:"));
    CHECK(tool.runPlain({"dance"}) == 2);
    {
        std::vector<std::unique_ptr<SimulatedEntry>> entries;
        std::string addresses;
        for (int n = 0; n < 8; ++n) {
            entries.push_back(std::make_unique<SimulatedEntry>(group.rpcAddresses(),
                                                               "entry-" + std::to_string(n)));
            addresses += (n == 0 ? "" : ",") + entries.back()->address();
        }
        CHECK(tool.run({"apply", one, "--wait", "--entries", addresses}) == 0);
        CHECK_THAT(tool.output(), Catch::Matchers::Contains("version 1 in force on 8 of 8"));
        CHECK(tool.run({"apply", two, "--wait", "--timeout", "1", "--entries",
                        addresses + ",127.0.0.1:" + std::to_string(freePort())})
              == 6);
        CHECK_THAT(tool.output(), Catch::Matchers::Contains("version 2 in force on 8 of 9"));
    }
    CHECK(tool.run({"apply", one, "--expected-version", "1"}) == 3);
    CHECK_THAT(tool.output(), Catch::Matchers::Contains("version 2"));
    CHECK(tool.run({"diff", two}) == 0);
    CHECK(tool.run({"diff", one}) == 1);
    CHECK_THAT(tool.output(), Catch::Matchers::Contains("-    runTimeMs: 3\n+    runTimeMs: 2\n"));
    CHECK(tool.run({"show", "--version-number", "1"}) == 0);
    CHECK(tool.output() == declarationText(1));
    CHECK(tool.run({"history", "--json"}) == 0);
    CHECK(nlohmann::json::parse(tool.output())["versions"].size() == 2);
    CHECK(tool.run({"status"}) == 0);
    CHECK_THAT(tool.output(), Catch::Matchers::Contains("leader"));
    const auto wrongTokenFile = tool.write("token", "not-the-token-at-all\n");
    CHECK(tool.runPlain({"show", "--token-file", wrongTokenFile, "--control",
                         group.operatorAddress("control-1").toString()})
          == 7);
    for (const auto &instance : group.instances())
        group.kill(instance);
    CHECK(tool.run({"apply", one, "--timeout", "1", "--expected-version", "2"}) == 4);
}

// Guards against differences that are shown at a wrong line or omitted.
TEST_CASE("differences of texts are found line by line", "[diff]")
{
    CHECK(formatDiff(diffLines("a\nb\nc\nd\ne\n", "a\nb\nx\nd\ne\n"), 1) == " b\n-c\n+x\n d\n");
    CHECK(formatDiff(diffLines("a\n", "a\n"), 1).empty());
    CHECK(formatDiff(diffLines("", "a\n"), 1) == "+a\n");
    CHECK(formatDiff(diffLines("1\n2\n3\n4\n5\n6\n", "0\n2\n3\n4\n5\n7\n"), 1)
          == "-1\n+0\n 2\n...\n 5\n-6\n+7\n");
}
