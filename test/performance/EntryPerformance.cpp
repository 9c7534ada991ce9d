#include "EntryFixture.h"

#include "HttpServer.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// Returns the CPU time of a process in ms, from /proc/PID/stat.
double cpuMs(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text(std::istreambuf_iterator<char>(file), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    double user = 0;
    double system = 0;
    for (int n = 0; n < 11; ++n)
        fields >> skipped;
    fields >> user >> system;
    return (user + system) * 1000.0 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double residentMb(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

/// A target that responds immediately, on its own threads.
class NullTarget
{
public:
    explicit NullTarget(const Address &entry, int slots)
        : m_entry(entry)
    {
        HttpServerSettings settings;
        settings.listen = {"127.0.0.1", 0};
        m_server =
            HttpServer::make(m_io, settings, [](HttpRequest request, const HttpRespond &respond) {
                respond(makeResponse(200, "text/plain", std::move(request.body)));
            }).value();
        m_body = R"({"address":")" + address().toString() + R"(","services":{"echo":)"
            + std::to_string(slots) + "}}";
        m_threads.emplace_back([this] { m_io.run(); });
        m_threads.emplace_back([this] { m_io.run(); });
        m_heartbeat = std::jthread([this](const std::stop_token &stop) {
            while (!stop.stop_requested()) {
                (void)responseOf(m_entry, makeRequest("PUT", "/v1/targets/null", m_body));
                std::this_thread::sleep_for(std::chrono::milliseconds(500));
            }
        });
    }
    ~NullTarget()
    {
        m_heartbeat = {};
        m_io.stop();
    }
    NullTarget(const NullTarget &) = delete;
    NullTarget &operator=(const NullTarget &) = delete;

    [[nodiscard]] Address address() const { return {"127.0.0.1", m_server->port()}; }

private:
    const Address m_entry;
    boost::asio::io_context m_io;
    std::shared_ptr<HttpServer> m_server;
    std::string m_body;
    std::vector<std::jthread> m_threads;
    std::jthread m_heartbeat;
};

/// Sends requests one after the other on each of a number of connections (closed loop).
class ClosedLoop
{
public:
    ClosedLoop(const Address &address, HttpRequest request, int connections, int total)
        : m_client(HttpClient::make(m_io, {}))
        , m_address(address)
        , m_request(std::move(request))
        , m_remaining(total)
    {
        m_latencies.reserve(static_cast<std::size_t>(total));
        const auto start = m_clock.now();
        for (int n = 0; n < connections; ++n)
            sendNext();
        m_io.run();
        m_elapsed = m_clock.now() - start;
    }

    [[nodiscard]] double perSecond() const
    {
        return static_cast<double>(m_latencies.size()) * 1000.0 / m_elapsed.count();
    }
    [[nodiscard]] double medianMs()
    {
        const auto middle = m_latencies.begin() + static_cast<long>(m_latencies.size() / 2);
        std::ranges::nth_element(m_latencies, middle);
        return *middle;
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
        m_client->send(m_address, m_request, Milliseconds{10'000},
                       [this, start](const HttpResult &result) {
                           const auto *response = std::get_if<HttpResponse>(&result);
                           m_failures += response == nullptr || response->status != 200 ? 1 : 0;
                           m_latencies.push_back((m_clock.now() - start).count());
                           sendNext();
                       });
    }

    const SteadyClock m_clock;
    boost::asio::io_context m_io;
    std::shared_ptr<HttpClient> m_client;
    const Address m_address;
    const HttpRequest m_request;
    int m_remaining;
    int m_failures = 0;
    std::vector<double> m_latencies;
    Milliseconds m_elapsed;
};

} // namespace

TEST_CASE("null tasks through one entry", "[entry]")
{
    const EntryCluster cluster(1, "threads: 2\nlog: {level: info}\n");
    const NullTarget target(cluster.address(), 256);
    REQUIRE(cluster.waitForTargets(1));
    const auto request = makeRequest("POST", "/v1/requests/echo", "x");
    const auto direct = makeRequest("POST", "/v1/run", "x");
    (void)ClosedLoop(cluster.address(), request, 64, 5'000);
    ClosedLoop directOne(target.address(), direct, 1, 5'000);
    ClosedLoop throughOne(cluster.address(), request, 1, 5'000);
    const auto cpuBefore = cpuMs(cluster.process().pid());
    const ClosedLoop throughMany(cluster.address(), request, 64, 60'000);
    const auto cpu = cpuMs(cluster.process().pid()) - cpuBefore;
    CHECK(throughOne.failures() == 0);
    CHECK(throughMany.failures() == 0);
    std::cout << "null task: median through the entry / direct " << throughOne.medianMs() << " / "
              << directOne.medianMs() << " ms = " << throughOne.medianMs() / directOne.medianMs()
              << "\nnull tasks/s, 2 threads, 64 connections: " << throughMany.perSecond()
              << ", entry CPU us/task: " << cpu * 1000.0 / 60'000 << "\n";
}

TEST_CASE("memory with 10,000 queued tasks, and CPU use when idle", "[entry]")
{
    const EntryCluster cluster(1, "threads: 2\nlog: {level: info}\n");
    const auto pid = cluster.process().pid();
    const auto idleBefore = cpuMs(pid);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    const auto idleShare = (cpuMs(pid) - idleBefore) / 5'000.0;
    FakeTarget target("t1", cluster.addresses(), 4);
    REQUIRE(cluster.waitForTargets(1));
    target.hold();
    std::string tasks;
    for (int n = 0; n < 250; ++n)
        tasks += std::string(n == 0 ? "" : ",") + R"({"input":"leaf quote"})";
    const auto empty = residentMb(pid);
    boost::asio::io_context io;
    const auto client = HttpClient::make(io, {});
    std::string lastResponse;
    for (int n = 0; n < 41; ++n)
        client->send(
            cluster.address(),
            makeRequest("POST", "/v1/jobs",
                        R"({"service":"echo","deadlineMs":600000,"tasks":[)" + tasks + "]}"),
            Milliseconds{600'000}, [&](const HttpResult &result) {
                if (const auto *response = std::get_if<HttpResponse>(&result))
                    lastResponse = response->body.substr(0, 200);
            });
    std::jthread runner([&] { io.run(); });
    const auto queued = [&] {
        return cluster.status()["pools"]["default"].value("queuedTasks", 0);
    };
    (void)waitUntil([&] { return queued() >= 10'000; }, std::chrono::seconds(10));
    std::cout << "idle share of a core: " << idleShare << "\nresident MB: empty " << empty
              << ", with " << queued() << " queued tasks " << residentMb(pid) << " " << lastResponse
              << "\n";
    io.stop();
}
