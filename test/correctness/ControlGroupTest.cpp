#include "ControlGroup.h"
#include "ControlReplicaSetStore.h"
#include "ControlSubscription.h"
#include "RpcSupport.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <atomic>
#include <future>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

/// An io_context that runs in a thread of its own.
class IoThread
{
public:
    IoThread()
        : m_guard(boost::asio::make_work_guard(m_io))
        , m_thread([this] { m_io.run(); })
    {
    }
    /// Waits until no work is left, so that the test hangs if a stop() leaves an operation pending.
    ~IoThread() { m_guard.reset(); }

    boost::asio::io_context &io() { return m_io; }

private:
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::jthread m_thread;
};

Result<ReplicaSet> wait(const std::function<void(ReplicaSetStore::ReadCallback)> &begin)
{
    auto promise = std::make_shared<std::promise<Result<ReplicaSet>>>();
    auto future = promise->get_future();
    begin([promise](Result<ReplicaSet> result) { promise->set_value(std::move(result)); });
    return future.get();
}

/// The versions that a subscription delivered. The callback shares ownership.
struct DeliveredVersions
{
    std::mutex mutex;
    std::vector<VersionedDeclaration> versions;

    VersionedDeclaration last()
    {
        const std::lock_guard lock(mutex);
        return versions.empty() ? VersionedDeclaration{} : versions.back();
    }
    bool isIncreasing()
    {
        const std::lock_guard lock(mutex);
        return std::ranges::adjacent_find(
                   versions, [](const auto &a, const auto &b) { return a.version >= b.version; })
            == versions.end();
    }
};

std::shared_ptr<DeliveredVersions> recordDeliveries(ControlSubscription &subscription)
{
    auto delivered = std::make_shared<DeliveredVersions>();
    subscription.subscribe(0, [delivered](const VersionedDeclaration &it) {
        const std::lock_guard lock(delivered->mutex);
        delivered->versions.push_back(it);
    });
    return delivered;
}

} // namespace

// Guards against accepting a request twice, losing its first response, and access without the
// token.
TEST_CASE("equal texts, retries and wrong tokens get the specified responses", "[process]")
{
    const ControlGroup group(3);
    const auto first = group.apply(0, "request-1", declarationText(1));
    REQUIRE(first.status == 200);
    CHECK(first.header("etag") == "\"1\"");
    CHECK(group.apply(0, "request-2", declarationText(1)).header("etag") == "\"1\"");
    const auto conflict = group.apply(0, "request-3", declarationText(2));
    CHECK(conflict.status == 409);
    const auto body = nlohmann::json::parse(conflict.body);
    CHECK(body["expectedVersion"] == 0);
    CHECK(body["currentVersion"] == 1);
    CHECK(group.apply(1, "request-4", declarationText(2)).header("etag") == "\"2\"");
    CHECK(group.apply(0, "request-1", declarationText(1)).body == first.body);
    CHECK(group.apply(0, "request-3", declarationText(2)).body == conflict.body);
    CHECK(group.apply(1, "request-1", declarationText(3)).status == 422);
    const auto invalid = group.apply(2, "request-5", "services: []\n");
    CHECK(invalid.status == 422);
    CHECK_THAT(invalid.body, Catch::Matchers::Contains("declaration:1:1: key 'services'"));
    CHECK(group.callLeader("GET", "/v1/declaration").body == declarationText(2));
    CHECK(group.callLeader("GET", "/v1/declaration?version=1").body == declarationText(1));
    const auto history = nlohmann::json::parse(group.callLeader("GET", "/v1/history").body);
    CHECK(history["versions"].size() == 2);
    for (const auto *authorization : {"", "Bearer ", "Bearer test-token-of-the-operator"}) {
        for (const auto *target : {"/v1/declaration", "/v1/history", "/v1/control/status"}) {
            const auto result =
                callHttp(group.operatorAddress("control-1"),
                         HttpRequest{"GET", target, {{"authorization", authorization}}, {}});
            CHECK(std::get<HttpResponse>(result).status == 401);
        }
    }
}

// Guards against two conflicting changes of the same version that are both accepted.
TEST_CASE("of two concurrent changes of the same version exactly one is accepted", "[process]")
{
    const ControlGroup group(3);
    REQUIRE(group.apply(0, "first", declarationText(0)).status == 200);
    for (std::uint64_t version = 1; version <= 10; ++version) {
        const auto applyAs = [&](const std::string &operatorName, int number) {
            return std::async(std::launch::async, [&group, version, operatorName, number] {
                return group.apply(version, operatorName + std::to_string(version),
                                   declarationText(number));
            });
        };
        auto one = applyAs("one", static_cast<int>(2 * version));
        auto two = applyAs("two", static_cast<int>(2 * version + 1));
        const auto a = one.get();
        const auto b = two.get();
        CHECK(std::minmax(a.status, b.status) == std::minmax(200, 409));
        const auto conflict = nlohmann::json::parse(a.status == 409 ? a.body : b.body);
        CHECK(conflict["expectedVersion"] == version);
        CHECK(conflict["currentVersion"] == version + 1);
    }
}

// Guards against changes that are lost, torn or reverted by a restart of all members.
TEST_CASE("after 500 changes and a restart of all members everything is in force", "[process]")
{
    ControlGroup group(3);
    for (int n = 0; n < 500; ++n) {
        REQUIRE(
            group.apply(static_cast<std::uint64_t>(n), "r" + std::to_string(n), declarationText(n))
                .status
            == 200);
    }
    for (const auto &instance : group.instances())
        group.kill(instance);
    for (const auto &instance : group.instances())
        group.start(instance);
    const auto response = group.callLeader("GET", "/v1/declaration");
    CHECK(response.header("etag") == "\"500\"");
    CHECK(response.body == declarationText(499));
    CHECK(nlohmann::json::parse(group.callLeader("GET", "/v1/history?limit=1000").body)["versions"]
              .size()
          == 500);
    CHECK(group.apply(10, "r10", declarationText(10)).header("etag") == "\"11\"");
}

// Guards against losing changes, subscriptions or replica set epochs together with the leader.
TEST_CASE("subscriptions and replica sets survive the loss of the leader", "[process]")
{
    ControlGroup group(3);
    IoThread thread;
    const auto subscription =
        ControlSubscription::make(thread.io(), group.rpcAddresses(), makeRpc("entry-1"));
    std::atomic<std::size_t> buckets = 0;
    subscription->setBucketCallback([&](const auto &homes) { buckets = homes.size(); });
    const auto delivered = recordDeliveries(*subscription);
    REQUIRE(group.apply(0, "a", declarationText(1)).status == 200);
    CHECK(waitUntil([&] { return delivered->last().version == 1 && buckets == 1'024; }));

    const auto store =
        ControlReplicaSetStore::make(thread.io(), group.rpcAddresses(), makeRpc("ledger-1"));
    ReplicaSet set;
    set.epoch = 1;
    set.primary = {"ledger-1", 7, "127.0.0.1:7"};
    const auto setTo = [&](std::uint64_t expected, const ReplicaSet &next) {
        return wait(
            [&](const auto &callback) { store->compareAndSet("north", expected, next, callback); });
    };
    CHECK(setTo(0, set).value() == set);
    CHECK(setTo(0, set).value() == set); // A retry.
    auto other = set;
    other.primary.instance = "ledger-2";
    CHECK(setTo(0, other).error().code == ErrorCode::Conflict);

    group.kill(group.leader());
    CHECK(wait([&](const auto &callback) { store->read("north", callback); }).value() == set);
    other.epoch = 2;
    CHECK(setTo(1, other).value() == other);
    REQUIRE(group.apply(1, "b", declarationText(2)).status == 200);
    CHECK(waitUntil(
        [&] { return delivered->last() == VersionedDeclaration{2, declarationText(2)}; }));
    CHECK(delivered->isIncreasing());
    subscription->stop();
    store->stop();
}

// Guards against a former leader that acknowledges or reverts changes after a long process pause.
TEST_CASE("a leader that was paused for long reports nothing as accepted", "[process]")
{
    ControlGroup group(3);
    REQUIRE(group.apply(0, "a", declarationText(1)).status == 200);
    const auto pausedLeader = group.leader();
    group.process(pausedLeader).signal(SIGSTOP);
    auto pausedResponse = std::async(std::launch::async, [&] {
        return group.call(pausedLeader, "PUT", "/v1/declaration",
                          {{"if-match", "\"1\""}, {"idempotency-key", "late"}}, declarationText(7));
    });
    HttpResponse response;
    REQUIRE(waitUntil([&] {
        for (const auto &instance : group.instances()) {
            if (instance == pausedLeader)
                continue;
            const auto result =
                group.call(instance, "PUT", "/v1/declaration",
                           {{"if-match", "\"1\""}, {"idempotency-key", "b"}}, declarationText(2));
            if (const auto *it = std::get_if<HttpResponse>(&result); it && it->status == 200)
                return true;
        }
        return false;
    }));
    group.process(pausedLeader).signal(SIGCONT);
    const auto result = pausedResponse.get();
    if (const auto *it = std::get_if<HttpResponse>(&result))
        CHECK(it->status != 200);
    CHECK(waitUntil([&] { return group.status(pausedLeader).value("version", 0) == 2; }));
    CHECK(group.callLeader("GET", "/v1/declaration").body == declarationText(2));
}

// Guards against a voter that acknowledges entries which its disk does not hold.
TEST_CASE("a voter whose disk is full stops and the other members continue", "[process]")
{
    ControlGroup group(3);
    REQUIRE(group.apply(0, "a", declarationText(1)).status == 200);
    const auto leader = group.leader();
    // The text exceeds the file size limit; the log lines of the process do not.
    constexpr rlim_t FileSizeLimit = 16'384;
    const rlimit limit{FileSizeLimit, FileSizeLimit};
    REQUIRE(::prlimit(group.process(leader).pid(), RLIMIT_FSIZE, &limit, nullptr) == 0);
    const auto large = declarationText(2) + "# " + std::string(FileSizeLimit, 'x') + "\n";
    // The stopping leader sends no response to this request; the retry at the next leader gets one.
    REQUIRE(group.apply(1, "b", large).header("etag") == "\"2\"");
    const int exitCode = group.process(leader).wait();
    INFO(group.logText(leader));
    CHECK(exitCode == 3);
    CHECK_THAT(group.logText(leader), Catch::Matchers::Contains("voter-stopped"));
    CHECK(group.apply(2, "c", declarationText(3)).header("etag") == "\"3\"");
    group.start(leader);
    CHECK(waitUntil([&] { return group.status(leader).value("version", 0) == 3; }));
}

// Guards against losing changes when another member is lost right after a replacement.
TEST_CASE("after an instance was replaced the group survives the loss of another one", "[process]")
{
    ControlGroup group(3);
    for (std::uint64_t n = 0; n < 20; ++n)
        REQUIRE(group.apply(n, "r" + std::to_string(n), declarationText(static_cast<int>(n))).status
                == 200);
    const auto leader = group.leader();
    const auto lostInstance = leader == "control-1" ? "control-2" : "control-1";
    group.kill(lostInstance);
    std::filesystem::remove_all(group.folder().path() / lostInstance);
    REQUIRE(group.callLeader("DELETE", std::string("/v1/control/members/") + lostInstance).status
            == 202);
    const auto added = group.startWithoutState();
    const nlohmann::json body{{"address", group.rpcAddress(added).toString()},
                              {"operatorAddress", group.operatorAddress(added).toString()}};
    REQUIRE(waitUntil([&] {
        const auto status =
            group.callLeader("PUT", "/v1/control/members/" + added, {}, body.dump()).status;
        return status == 202 || status == 409;
    }));
    REQUIRE(waitUntil([&] {
        const auto members = group.status(leader)["members"];
        return std::ranges::any_of(members, [&](const auto &it) {
            return it["instance"] == added && it["voter"] == true;
        });
    }));
    group.kill(leader);
    const auto response = group.callLeader("GET", "/v1/declaration");
    CHECK(response.header("etag") == "\"20\"");
    CHECK(group.apply(20, "last", declarationText(99)).header("etag") == "\"21\"");
}
