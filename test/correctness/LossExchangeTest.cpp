/// @file Entries that exchange lost instances through a control instance that is a real process,
/// and through a simulated one.
#include "ControlWatch.h"
#include "RpcSupport.h"
#include "TestProcess.h"
#include "Wire.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

constexpr Milliseconds Hour{3'600'000};

InstanceLoss makeLoss(std::size_t number)
{
    const auto text = std::to_string(number);
    return {{"i-" + text, 1'000}, {"task-" + text}};
}

std::vector<InstanceLoss> makeLosses(std::size_t count)
{
    std::vector<InstanceLoss> losses;
    std::ranges::transform(std::views::iota(std::size_t{0}, count), std::back_inserter(losses),
                           makeLoss);
    return losses;
}

/// The only member of its group.
class ControlProcess
{
public:
    ControlProcess()
    {
        m_settings = m_folder.write(
            "control.yaml",
            "instance: control\ndomain: north\nrpcListen: \"" + m_rpc.toString()
                + "\"\nmetricsListen: \"" + m_metrics.toString() + "\"\nseeds: [\""
                + m_operators.toString() + "\"]\noperatorListen: \"" + m_operators.toString()
                + "\"\nfirstStart: true\ndataFolder: \"" + (m_folder.path() / "data").string()
                + "\"\ndomains: {north: here}\n");
        start();
    }

    void restart()
    {
        m_process->signal(SIGKILL);
        (void)m_process->wait();
        start();
    }

    /// Whether a line of the log since the last start contains the text.
    [[nodiscard]] bool hasLogged(const std::string &text) const
    {
        std::ifstream file(m_log);
        for (std::string line; std::getline(file, line);) {
            if (line.find(text) != std::string::npos)
                return true;
        }
        return false;
    }

    [[nodiscard]] std::string metricsText() const
    {
        HttpRequest request;
        request.method = "GET";
        request.target = "/metrics";
        const auto result = callHttp(m_metrics, request);
        const auto *response = std::get_if<HttpResponse>(&result);
        return response == nullptr ? std::string() : response->body;
    }

    [[nodiscard]] const Address &address() const { return m_rpc; }

private:
    void start()
    {
        m_log = (m_folder.path() / ("log-" + std::to_string(++m_starts))).string();
        m_process = std::make_unique<TestProcess>(
            "camphorspindle-fleet-control", std::vector<std::string>{"--settings", m_settings},
            m_log);
    }

    TemporaryFolder m_folder;
    Address m_rpc{"127.0.0.1", freePort()};
    Address m_operators{"127.0.0.1", freePort()};
    Address m_metrics{"127.0.0.1", freePort()};
    std::string m_settings;
    std::string m_log;
    int m_starts = 0;
    std::unique_ptr<TestProcess> m_process;
};

/// Replies to polls at once, and stores the losses that it is told of.
class SimulatedControl
{
public:
    explicit SimulatedControl(boost::asio::io_context &io)
        : m_io(io)
    {
        start();
    }
    ~SimulatedControl()
    {
        stop();
        m_io.restart();
        m_io.poll();
    }
    SimulatedControl(const SimulatedControl &) = delete;
    SimulatedControl &operator=(const SimulatedControl &) = delete;

    void start()
    {
        m_server =
            RpcServer::make(m_io, m_address, makeRpc("control"),
                            [this](const Hello &, MessageKind kind, const std::string &payload,
                                   const RpcReply &reply) { onRpc(kind, payload, reply); })
                .value();
    }
    void stop() { m_server->stop(); }

    [[nodiscard]] const Address &address() const { return m_address; }

    std::uint64_t epoch = 1;
    int polls = 0;
    std::vector<ReportLossesRequest> reports;

private:
    void onRpc(MessageKind kind, const std::string &payload, const RpcReply &reply)
    {
        if (kind == MessageKind::ReportLosses) {
            reports.push_back(decodeMessage<ReportLossesRequest>(payload).value());
            reply(std::string());
            return;
        }
        ++polls;
        FleetUpdate update;
        update.directoryEpoch = epoch;
        reply(encodeMessage(update));
    }

    boost::asio::io_context &m_io;
    Address m_address{"127.0.0.1", freePort()};
    std::shared_ptr<RpcServer> m_server;
};

/// Entries that poll one control instance.
class Entries
{
public:
    Entries(boost::asio::io_context &io, std::string cluster, const Address &control,
            Milliseconds wait)
        : m_io(io)
    {
        m_settings.rpc = makeRpc("entry");
        m_settings.rpc.cluster = std::move(cluster);
        m_settings.seeds = {control.toString()};
        m_settings.leaderWait = wait;
        m_settings.followerWait = wait;
        m_settings.connect.retryDelay = Milliseconds{5};
    }
    ~Entries()
    {
        for (const auto &watch : m_watches)
            watch->stop();
        m_io.restart();
        m_io.poll();
    }
    Entries(const Entries &) = delete;
    Entries &operator=(const Entries &) = delete;

    std::shared_ptr<ControlWatch> start(const ControlWatch::OnChange &onChange = [] { })
    {
        const auto name = "entry-" + std::to_string(m_watches.size());
        m_settings.self = {name, "north", Address{"127.0.0.1", freePort()}.toString(), 1};
        m_watches.push_back(std::make_shared<ControlWatch>(m_io, m_settings, onChange));
        m_watches.back()->start();
        return m_watches.back();
    }

    [[nodiscard]] bool runUntil(const std::function<bool()> &condition)
    {
        return waitUntil([&] {
            m_io.restart();
            m_io.run_for(std::chrono::milliseconds(10));
            return condition();
        });
    }

private:
    boost::asio::io_context &m_io;
    ControlWatchSettings m_settings;
    std::vector<std::shared_ptr<ControlWatch>> m_watches;
};

constexpr const char *FleetCluster = "camphorspindle";

} // namespace

TEST_CASE("a loss that an entry reports reaches the other entries, also those that start later",
          "[watch][fleet][process]")
{
    // Guards against a task that crashes instances at one holder after another. A poll without a
    // change has no reply within the test.
    const ControlProcess control;
    boost::asio::io_context io;
    Entries entries(io, FleetCluster, control.address(), Hour);
    std::size_t changes = 0;
    const auto reporter = entries.start();
    const auto other = entries.start([&] { ++changes; });
    reporter->reportLosses({makeLoss(0)});
    REQUIRE(entries.runUntil([&] { return other->view().losses.size() == 1; }));
    const auto changesBefore = changes;
    reporter->reportLosses({makeLoss(1)});
    REQUIRE(entries.runUntil([&] { return other->view().losses.size() == 2; }));
    CHECK(changes > changesBefore);
    CHECK(other->view().losses.addedSince(0) == makeLosses(2));
    CHECK(other->view().losses.suspicion("task-1") == TaskSuspicion::Suspect);
    CHECK(reporter->view().losses.addedSince(0) == makeLosses(2));

    const auto late = entries.start();
    CHECK(entries.runUntil([&] { return late->view().losses.addedSince(0) == makeLosses(2); }));
    CHECK(waitUntil([&] { return control.hasLogged("loss-reported instance=i-1 tasks=1"); }));
    CHECK(control.metricsText().find("camphorspindle_losses_known 2") != std::string::npos);
}

TEST_CASE("losses that do not fit into one message reach the other entries",
          "[watch][fleet][process]")
{
    // The load: a failure domain with all its instances is lost.
    const ControlProcess control;
    boost::asio::io_context io;
    Entries entries(io, FleetCluster, control.address(), Hour);
    const auto reporter = entries.start();
    const auto other = entries.start();
    const auto losses = makeLosses(2 * MaxLossesPerMessage + 1);
    reporter->reportLosses({losses.front()});
    REQUIRE(entries.runUntil([&] { return other->view().losses.size() == 1; }));
    reporter->reportLosses(losses);
    CHECK(entries.runUntil([&] { return other->view().losses.size() == losses.size(); }));
    CHECK(other->view().losses.addedSince(0) == losses);
}

TEST_CASE("a control process that restarted learns the losses from the entries",
          "[watch][fleet][process]")
{
    // Guards against losses that are forgotten because control instances keep them in memory only.
    ControlProcess control;
    boost::asio::io_context io;
    Entries entries(io, FleetCluster, control.address(), Hour);
    const auto reporter = entries.start();
    reporter->reportLosses({makeLoss(0)});
    REQUIRE(entries.runUntil([&] { return control.hasLogged("loss-reported"); }));
    control.restart();
    CHECK(entries.runUntil([&] { return control.hasLogged("loss-reported"); }));
    const auto late = entries.start();
    CHECK(entries.runUntil([&] { return late->view().losses.addedSince(0) == makeLosses(1); }));
}

TEST_CASE("a control instance that is regained or has restarted is told the newest losses",
          "[watch][fleet]")
{
    // Guards against a report that was lost with its connection or with the process.
    const bool isRestart = GENERATE(false, true);
    CAPTURE(isRestart);
    boost::asio::io_context io;
    SimulatedControl control(io);
    Entries entries(io, makeRpc({}).cluster, control.address(), Hour);
    const auto watch = entries.start();
    REQUIRE(entries.runUntil([&] { return control.polls > 1; }));
    CHECK(control.reports.empty());
    if (!isRestart)
        control.stop();
    const auto losses = makeLosses(MaxLossesPerMessage + 1);
    watch->reportLosses(losses);
    if (isRestart) {
        REQUIRE(entries.runUntil([&] { return control.reports.size() == 2; }));
        control.reports.clear();
        ++control.epoch;
    } else {
        REQUIRE(entries.runUntil([&] { return watch->view().losses.size() == losses.size(); }));
        control.start();
    }
    REQUIRE(entries.runUntil([&] { return !control.reports.empty(); }));
    const std::vector<InstanceLoss> newest(losses.begin() + 1, losses.end());
    CHECK(control.reports.front().losses == newest);
    const auto polls = control.polls;
    REQUIRE(entries.runUntil([&] { return control.polls > polls + 2; }));
    CHECK(control.reports.size() == 1);
}

TEST_CASE("a loss that exceeds the bounds of a message does not hold back the others",
          "[watch][fleet]")
{
    boost::asio::io_context io;
    SimulatedControl control(io);
    Entries entries(io, makeRpc({}).cluster, control.address(), Hour);
    const auto watch = entries.start();
    REQUIRE(entries.runUntil([&] { return control.polls > 1; }));
    auto tooWide = makeLoss(0);
    tooWide.tasks.resize(MaxTasksPerLoss + 1, "task");
    watch->reportLosses({tooWide, makeLoss(1)});
    REQUIRE(entries.runUntil([&] { return !control.reports.empty(); }));
    CHECK(control.reports.front().losses == std::vector{makeLoss(1)});
    CHECK(watch->view().losses.size() == 2);
}
