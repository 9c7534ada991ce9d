#include "StandInTask.h"
#include "TestProcess.h"

#include <boost/asio/steady_timer.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <sstream>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

constexpr int QueuedTasks = 10'000;
constexpr const char *JsonType = "application/json";

HttpRequest makePost(const std::string &path, const std::string &body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.headers["Content-Type"] = JsonType;
    request.headers["Camphorspindle-Repeatable"] = "true";
    request.headers["Camphorspindle-Deadline-Ms"] = "300000";
    request.body = body;
    return request;
}

/// Returns the first of a number of consecutive free ports. They lie below the kernel's range of
/// ephemeral ports.
std::uint16_t findFreePorts(int count)
{
    constexpr int First = 12'000;
    constexpr int Last = 19'000;
    for (int base = First + (::getpid() * 37) % (Last - First); base < Last; base += count) {
        boost::asio::io_context io;
        std::vector<boost::asio::ip::tcp::acceptor> boundPorts;
        try {
            for (int n = 0; n < count; ++n) {
                boundPorts.emplace_back(
                    io,
                    boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                                   static_cast<std::uint16_t>(base + n)));
            }
            return static_cast<std::uint16_t>(base);
        } catch (const boost::system::system_error &) {
            continue;
        }
    }
    return 0;
}

/// One entry with two threads and one process with targets.
class EntryWithTargets
{
public:
    EntryWithTargets(int targets, int slots)
        : target{"127.0.0.1", findFreePorts(targets)}
        , m_entry("camphorspindle-entry", {"--settings", writeSettings()}, logPath("entry.log"))
        , m_targets("camphortarget",
                    {"--entries", entry.toString(), "--listen", target.toString(), "--targets",
                     std::to_string(targets), "--slots", std::to_string(slots), "--services",
                     "null", "--domain", "here"},
                    logPath("targets.log"))
    {
        const auto probe = makePost("/v1/requests/null", "{}");
        REQUIRE(waitUntil([&] {
            const auto result = callHttp(entry, probe);
            const auto *response = std::get_if<HttpResponse>(&result);
            return response != nullptr && response->status == 200;
        }));
    }

    [[nodiscard]] double residentMb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_entry.pid()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:"))
                return std::stod(line.substr(6)) / 1024;
        }
        return 0;
    }

    /// Returns the user and system CPU time of the entry.
    [[nodiscard]] double processorSeconds() const
    {
        std::ifstream stat("/proc/" + std::to_string(m_entry.pid()) + "/stat");
        std::string text;
        std::getline(stat, text);
        std::istringstream fields(text.substr(text.rfind(')') + 2));
        std::string skipped;
        for (int n = 0; n < 11; ++n)
            fields >> skipped;
        double user = 0;
        double system = 0;
        fields >> user >> system;
        return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }

    Address entry{"127.0.0.1", freePort()};
    Address target;

private:
    std::string writeSettings()
    {
        // The short expected run time keeps a queue of 10,000 tasks within its limit.
        const auto declaration =
            m_folder.write("declaration.yaml",
                           "services: [{name: \"null\", "
                           "runTimeMs: 1, deadlineMs: 300000, maxQueueTimeMs: 300000, "
                           "repeatable: true}]\ndomains: [{name: here}]\n");
        return m_folder.write("entry.yaml",
                              "instance: entry-0\ncluster: test\ndomain: here\nlisten: "
                                  + entry.toString() + "\nthreads: 2\ndeclaration: " + declaration
                                  + "\nlog: {level: warning}\n"
                                    "limits: {maxConnections: 15000, maxQueuedTasks: 50000}\n");
    }
    [[nodiscard]] std::string logPath(const std::string &name) const
    {
        return (m_folder.path() / name).string();
    }

    TemporaryFolder m_folder;
    TestProcess m_entry;
    TestProcess m_targets;
};

/// A closed loop of calls over a number of connections on one thread.
class ClosedLoop
{
public:
    ClosedLoop(const Address &address, HttpRequest request, int connections, int calls)
        : m_address(address)
        , m_request(std::move(request))
        , m_remaining(calls)
    {
        const SteadyClock clock;
        const auto start = clock.now();
        for (int n = 0; n < connections; ++n)
            sendNext();
        m_io.run();
        m_duration = clock.now() - start;
        std::ranges::sort(m_latencies);
    }

    [[nodiscard]] double medianMs() const { return m_latencies.at(m_latencies.size() / 2); }
    [[nodiscard]] double perSecond() const
    {
        return static_cast<double>(m_latencies.size()) * 1'000.0 / m_duration.count();
    }
    [[nodiscard]] int failures() const { return m_failures; }

private:
    void sendNext()
    {
        if (m_remaining-- <= 0) {
            m_client->closeIdle();
            return;
        }
        const auto start = m_clock.now();
        m_client->send(m_address, m_request, Milliseconds{30'000},
                       [this, start](const HttpResult &result) {
                           const auto *response = std::get_if<HttpResponse>(&result);
                           m_failures += response == nullptr || response->status != 200 ? 1 : 0;
                           m_latencies.push_back((m_clock.now() - start).count());
                           sendNext();
                       });
    }

    Address m_address;
    HttpRequest m_request;
    int m_remaining;
    int m_failures = 0;
    boost::asio::io_context m_io{1};
    std::shared_ptr<HttpClient> m_client = HttpClient::make(m_io, {});
    SteadyClock m_clock;
    std::vector<double> m_latencies;
    Milliseconds m_duration;
};

/// Sends calls that stay open, runs a check while they are queued, and abandons them.
void checkWhileQueued(const Address &address, const std::vector<HttpRequest> &requests,
                      const std::function<void()> &check)
{
    boost::asio::io_context io(1);
    const auto client = HttpClient::make(io, {});
    int earlyResponses = 0;
    for (const auto &request : requests) {
        client->send(address, request, Milliseconds{120'000},
                     [&earlyResponses](const HttpResult &) { ++earlyResponses; });
    }
    io.run_for(std::chrono::seconds(4));
    std::cout << "entry, calls answered instead of queued: " << earlyResponses << "\n";
    check();
}

std::string longTask(int n)
{
    return encodeTask({"long-" + std::to_string(n), Milliseconds{60'000}, 0});
}

} // namespace

TEST_CASE("a null task through an entry and directly", "[entry]")
{
    constexpr int Calls = 3'000;
    const EntryWithTargets processes(2, 64);
    const ClosedLoop direct(processes.target, makePost("/v1/run", "{}"), 1, Calls);
    const ClosedLoop through(processes.entry, makePost("/v1/requests/null", "{}"), 1, Calls);
    REQUIRE(direct.failures() + through.failures() == 0);
    std::cout << "null task, direct: " << direct.medianMs() << " ms median\n"
              << "null task, through an entry: " << through.medianMs() << " ms median\n"
              << "null task, entry to direct ratio: " << through.medianMs() / direct.medianMs()
              << "\n";
}

TEST_CASE("null tasks started by one entry", "[entry]")
{
    constexpr int Calls = 40'000;
    const EntryWithTargets processes(2, 64);
    const auto before = processes.processorSeconds();
    const ClosedLoop loop(processes.entry, makePost("/v1/requests/null", "{}"), 96, Calls);
    std::cout << "null tasks through one entry with two threads: " << loop.perSecond()
              << " per second, " << loop.failures() << " not completed\n"
              << "null task, entry processor time: "
              << (processes.processorSeconds() - before) * 1e6 / Calls << " us\n";
}

TEST_CASE("resident memory of an entry with queued work", "[entry]")
{
    const EntryWithTargets processes(1, 8);
    const auto report = [&](const std::string &what) {
        return [&processes, what] {
            std::cout << "entry, resident " << what << ": " << processes.residentMb() << " MB\n";
        };
    };
    report("before")();
    SECTION("requests")
    {
        std::vector<HttpRequest> requests;
        requests.reserve(QueuedTasks);
        for (int n = 0; n < QueuedTasks; ++n)
            requests.push_back(makePost("/v1/requests/null", longTask(n)));
        checkWhileQueued(processes.entry, requests, report("with 10000 queued requests"));
    }
    SECTION("jobs")
    {
        constexpr int TasksPerJob = 100;
        std::vector<HttpRequest> requests;
        requests.reserve(QueuedTasks / TasksPerJob);
        for (int job = 0; job < QueuedTasks / TasksPerJob; ++job) {
            std::string tasks;
            for (int n = 0; n < TasksPerJob; ++n)
                tasks += (n > 0 ? "," : "") + ("{\"input\":" + longTask(n) + "}");
            requests.push_back(
                makePost("/v1/jobs", R"({"service":"null","tasks":[)" + tasks + "]}"));
        }
        checkWhileQueued(processes.entry, requests, report("with 10000 tasks of queued jobs"));
    }
}

TEST_CASE("processor use of an idle entry", "[entry]")
{
    constexpr int Seconds = 5;
    const EntryWithTargets processes(17, 8);
    const auto before = processes.processorSeconds();
    std::this_thread::sleep_for(std::chrono::seconds(Seconds));
    std::cout << "entry, idle with 17 targets: "
              << (processes.processorSeconds() - before) * 100 / Seconds << " % of a core\n";
}
