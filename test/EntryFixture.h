/// @file Entries as real processes, and in-process fake targets with faults.
#pragma once

#include "TestProcess.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace Camphor::Testing {

/// Declares the services "echo" (repeatable) and "book" (not repeatable) in one pool.
inline constexpr auto TestDeclaration = "services:\n"
                                        "  - name: echo\n"
                                        "    repeatable: true\n"
                                        "    runTimeMs: 1\n"
                                        "    maxQueueTimeMs: 10000\n"
                                        "  - name: book\n"
                                        "    runTimeMs: 20\n";

/// Returns the response, or one with status 0 if there is none.
inline HttpResponse responseOf(const Address &address, HttpRequest request)
{
    auto result = callHttp(address, std::move(request));
    if (auto *response = std::get_if<HttpResponse>(&result))
        return std::move(*response);
    return makeResponse(0, "", std::get<HttpFailure>(result).error.message);
}

/// Returns the outcome stated by a response: that of a problem, or "completed" for status 200.
inline std::string outcomeOf(const HttpResponse &response)
{
    if (response.status == 200)
        return "completed";
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    return json.is_object() ? json.value("outcome", "") : "no problem document";
}

/// How a fake call misbehaves.
enum class Fault {
    None,
    Refuse, ///< 503 with Camphorspindle-Started: false.
    Fail, ///< 500.
    Truncate, ///< Less body than the length states, then the connection is closed.
    Reset, ///< The connection is reset without a response.
    Stall, ///< No response until the caller closes the connection.
    AnswerTwice, ///< Two complete responses.
    AnswerLate, ///< A complete response after the deadline.
};

/// A target inside the test process. It counts the starts of every task and announces itself.
class FakeTarget
{
public:
    /// @param entries the entries to announce to, in order of preference.
    FakeTarget(std::string id, std::vector<Address> entries, int slots = 4)
        : m_id(std::move(id))
        , m_entries(std::move(entries))
        , m_slots(slots)
        , m_acceptor(m_io, {boost::asio::ip::make_address("127.0.0.1"), std::uint16_t{0}})
        , m_port(m_acceptor.local_endpoint().port())
    {
        m_acceptThread = std::jthread([this] { acceptAll(); });
        m_heartbeatThread = std::jthread([this](const std::stop_token &stop) { heartbeat(stop); });
    }
    ~FakeTarget()
    {
        m_isStopping = true;
        m_heartbeatThread.request_stop();
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_acceptThread.join();
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_sockets)
                ::shutdown(fd, SHUT_RDWR);
            m_holdChanged.notify_all();
        }
        m_connections.clear();
    }
    FakeTarget(const FakeTarget &) = delete;
    FakeTarget &operator=(const FakeTarget &) = delete;

    /// Sets the fault of subsequent calls. @param calls number of faulty calls; later calls have no
    /// fault.
    void setFault(Fault fault, int calls = 1'000'000)
    {
        const std::lock_guard lock(m_mutex);
        m_fault = fault;
        m_faultyCalls = calls;
    }
    /// Blocks every call until release() or its deadline.
    void hold()
    {
        const std::lock_guard lock(m_mutex);
        m_isHolding = true;
    }
    void release()
    {
        const std::lock_guard lock(m_mutex);
        m_isHolding = false;
        m_holdChanged.notify_all();
    }
    /// Returns the number of starts by task, that is, by request id and task index.
    [[nodiscard]] std::map<std::string, int> starts() const
    {
        const std::lock_guard lock(m_mutex);
        return m_starts;
    }
    [[nodiscard]] int totalStarts() const
    {
        int total = 0;
        for (const auto &[task, count] : starts())
            total += count;
        return total;
    }
    [[nodiscard]] int stops() const { return m_stops; }
    [[nodiscard]] Address owner() const
    {
        const std::lock_guard lock(m_mutex);
        return m_owner;
    }
    [[nodiscard]] const std::string &id() const { return m_id; }

private:
    using Tcp = boost::asio::ip::tcp;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    void acceptAll()
    {
        while (!m_isStopping) {
            boost::system::error_code ec;
            Tcp::socket socket(m_io);
            m_acceptor.accept(socket, ec);
            if (ec)
                return;
            m_connections.emplace_back(
                [this, socket = std::move(socket)]() mutable { serve(std::move(socket)); });
        }
    }

    void serve(Tcp::socket socket)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_sockets.insert(socket.native_handle());
        }
        boost::beast::flat_buffer buffer;
        for (bool isOpen = !m_isStopping; isOpen;) {
            Request request;
            boost::system::error_code ec;
            boost::beast::http::read(socket, buffer, request, ec);
            isOpen = !ec && handleRequest(socket, request);
        }
        const std::lock_guard lock(m_mutex);
        m_sockets.erase(socket.native_handle());
    }

    /// Handles one request. @return whether the connection stays open.
    bool handleRequest(Tcp::socket &socket, const Request &request)
    {
        if (request.method_string() == "DELETE") {
            ++m_stops;
            return write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        const std::string attempt(request["camphorspindle-attempt"]);
        const auto deadline = std::chrono::milliseconds(
            std::stol(std::string(request["camphorspindle-deadline-ms"])));
        const auto fault = beginCall(attempt, deadline);
        const auto completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: "
            + std::to_string(request.body().size()) + "\r\n\r\n" + request.body();
        bool isOpen = true;
        switch (fault) {
        case Fault::None:
            isOpen = write(socket, completeResponse);
            break;
        case Fault::Refuse:
            isOpen = write(socket,
                           "HTTP/1.1 503 Service Unavailable\r\nCamphorspindle-Started: false\r\n"
                           "Content-Length: 0\r\n\r\n");
            break;
        case Fault::Fail:
            isOpen =
                write(socket, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
            break;
        case Fault::Truncate:
            (void)write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\npart");
            isOpen = false;
            break;
        case Fault::Reset:
            socket.set_option(boost::asio::socket_base::linger(true, 0));
            isOpen = false;
            break;
        case Fault::Stall:
            isOpen = waitForClose(socket);
            break;
        case Fault::AnswerTwice:
            isOpen = write(socket, completeResponse + completeResponse);
            break;
        case Fault::AnswerLate:
            std::this_thread::sleep_for(deadline + std::chrono::milliseconds(100));
            isOpen = write(socket, completeResponse);
            break;
        }
        const std::lock_guard lock(m_mutex);
        m_running.erase(attempt);
        return isOpen;
    }

    /// Counts a start, unless the call is refused, and waits while calls are blocked by hold().
    Fault beginCall(const std::string &attempt, std::chrono::milliseconds limit)
    {
        std::unique_lock lock(m_mutex);
        const auto fault = m_faultyCalls > 0 ? m_fault : Fault::None;
        --m_faultyCalls;
        if (fault == Fault::Refuse)
            return fault;
        ++m_starts[attempt.substr(0, attempt.rfind('.'))];
        m_running.insert(attempt);
        m_holdChanged.wait_for(lock, limit, [this] { return !m_isHolding || m_isStopping; });
        return fault;
    }

    static bool write(Tcp::socket &socket, const std::string &bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(bytes), ec);
        return !ec;
    }

    static bool waitForClose(Tcp::socket &socket)
    {
        char byte = 0;
        boost::system::error_code ec;
        socket.read_some(boost::asio::buffer(&byte, 1), ec);
        return false;
    }

    void heartbeat(const std::stop_token &stop)
    {
        std::size_t next = 0;
        while (!stop.stop_requested()) {
            auto entry = owner();
            if (entry.port == 0)
                entry = m_entries[next++ % m_entries.size()];
            announce(entry);
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }

    void announce(const Address &entry)
    {
        nlohmann::json body{{"address", "127.0.0.1:" + std::to_string(m_port)},
                            {"services", {{"echo", m_slots}, {"book", m_slots}}},
                            {"slots", m_slots},
                            {"state", "serving"},
                            {"running", nlohmann::json::array()}};
        {
            const std::lock_guard lock(m_mutex);
            body["running"] = m_running;
        }
        auto result = callHttp(entry, makeRequest("PUT", "/v1/targets/" + m_id, body.dump()),
                               Milliseconds{1'000});
        const auto *response = std::get_if<HttpResponse>(&result);
        const auto json = response == nullptr
            ? nlohmann::json()
            : nlohmann::json::parse(response->body, nullptr, false);
        const std::lock_guard lock(m_mutex);
        m_owner = json.is_object() && json.contains("owner")
            ? Address::parse(json["owner"].get<std::string>()).value()
            : Address{};
    }

    const std::string m_id;
    const std::vector<Address> m_entries;
    const int m_slots;
    boost::asio::io_context m_io;
    Tcp::acceptor m_acceptor;
    const std::uint16_t m_port;
    std::atomic<bool> m_isStopping{false};
    std::atomic<int> m_stops{0};
    mutable std::mutex m_mutex;
    std::condition_variable m_holdChanged;
    bool m_isHolding = false;
    Fault m_fault = Fault::None;
    int m_faultyCalls = 0;
    Address m_owner;
    std::map<std::string, int> m_starts;
    std::set<std::string> m_running;
    std::set<int> m_sockets;
    std::vector<std::jthread> m_connections;
    std::jthread m_acceptThread;
    std::jthread m_heartbeatThread;
};

/// The entries of one failure domain, as processes.
class EntryCluster
{
public:
    explicit EntryCluster(int count, std::string extraSettings = {})
        : m_extra(std::move(extraSettings))
    {
        const auto declaration = m_folder.write("declaration.yaml", TestDeclaration);
        m_members.reserve(static_cast<std::size_t>(count));
        for (int n = 0; n < count; ++n) {
            m_members.push_back({"entry-" + std::to_string(n + 1),
                                 {"127.0.0.1", freePort()},
                                 {"127.0.0.1", freePort()},
                                 {"127.0.0.1", freePort()},
                                 nullptr});
        }
        for (int n = 0; n < count; ++n) {
            m_folder.write(m_members[n].instance + ".yaml", settingsOf(n, declaration));
            start(n);
        }
        for (int n = 0; n < count; ++n) {
            if (!waitUntil([&] { return get(n, "/readyz").status == 200; }))
                throw std::runtime_error("an entry did not become ready: " + log(n));
        }
    }

    void start(int n)
    {
        m_members[n].process = std::make_unique<TestProcess>(
            "camphorspindle-entry",
            std::vector<std::string>{
                "--settings", (m_folder.path() / (m_members[n].instance + ".yaml")).string()},
            (m_folder.path() / (m_members[n].instance + ".log")).string());
    }

    [[nodiscard]] const Address &address(int n = 0) const { return m_members[n].listen; }
    [[nodiscard]] const Address &rpc(int n = 0) const { return m_members[n].rpc; }
    [[nodiscard]] std::vector<Address> addresses() const
    {
        std::vector<Address> all;
        std::ranges::transform(m_members, std::back_inserter(all), &Member::listen);
        return all;
    }
    [[nodiscard]] TestProcess &process(int n = 0) const { return *m_members[n].process; }
    [[nodiscard]] std::string log(int n = 0) const
    {
        std::ifstream file(m_folder.path() / (m_members[n].instance + ".log"));
        return {std::istreambuf_iterator<char>(file), {}};
    }
    [[nodiscard]] HttpResponse get(int n, const std::string &path) const
    {
        return responseOf(address(n), makeRequest("GET", path));
    }
    [[nodiscard]] nlohmann::json status(int n = 0) const
    {
        return nlohmann::json::parse(get(n, "/v1/status").body, nullptr, false);
    }
    /// Returns the value of a metric without labels, or -1.
    [[nodiscard]] double metric(const std::string &name, int n = 0) const
    {
        const auto text = get(n, "/metrics").body;
        const auto at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
    }
    /// Waits until the entries own this number of targets in total.
    [[nodiscard]] bool waitForTargets(int count) const
    {
        return waitUntil([&] {
            int owned = 0;
            for (std::size_t n = 0; n < m_members.size(); ++n)
                owned += status(static_cast<int>(n)).value("ownedTargets", 0);
            return owned == count;
        });
    }

private:
    struct Member
    {
        std::string instance;
        Address listen;
        Address rpc;
        Address digest;
        std::unique_ptr<TestProcess> process;
    };

    [[nodiscard]] std::string settingsOf(int n, const std::string &declaration) const
    {
        const auto &self = m_members[n];
        std::string text = "instance: " + self.instance
            + "\ncluster: test\ndomain: a\nlisten: " + self.listen.toString() + "\n" + m_extra;
        // If the extra settings name a control group, the declaration comes from there.
        if (m_extra.find("control:") == std::string::npos)
            text += "declaration: " + declaration + "\n";
        if (m_members.size() == 1)
            return text;
        text += "rpcListen: " + self.rpc.toString() + "\ndigestListen: " + self.digest.toString()
            + "\npeers:\n";
        for (const auto &peer : m_members) {
            if (peer.instance != self.instance)
                text += "  - {instance: " + peer.instance + ", domain: a, listen: \""
                    + peer.listen.toString() + "\", rpc: \"" + peer.rpc.toString()
                    + "\", digest: \"" + peer.digest.toString() + "\"}\n";
        }
        return text;
    }

    const std::string m_extra;
    TemporaryFolder m_folder;
    std::vector<Member> m_members;
};

} // namespace Camphor::Testing
