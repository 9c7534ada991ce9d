/// @file Real processes, temporary folders and blocking HTTP calls for tests.
#pragma once

#include "HttpClient.h"
#include "Settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace Camphor::Testing {

/// A folder that is removed with its contents when the object is destroyed.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "camphor-test-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    [[nodiscard]] const std::filesystem::path &path() const { return m_path; }

    /// Writes a file and returns its path.
    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(m_path / name) << text;
        return (m_path / name).string();
    }

private:
    std::filesystem::path m_path;
};

/// One of the project's programs as a child process. It is killed, by its own id, when the object
/// is destroyed.
class TestProcess
{
public:
    /// @param program the name under CAMPHOR_BIN_DIR. @param logPath receives stdout and stderr.
    TestProcess(const std::string &program, std::vector<std::string> arguments,
                const std::string &logPath)
    {
        arguments.insert(arguments.begin(), std::string(CAMPHOR_BIN_DIR) + "/" + program);
        std::vector<char *> argv;
        argv.reserve(arguments.size() + 1);
        for (auto &argument : arguments)
            argv.push_back(argument.data());
        argv.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, logPath.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        if (::posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environ) != 0)
            m_pid = -1;
        posix_spawn_file_actions_destroy(&actions);
    }
    ~TestProcess()
    {
        if (m_pid > 0) {
            signal(SIGKILL);
            (void)wait();
        }
    }
    TestProcess(const TestProcess &) = delete;
    TestProcess &operator=(const TestProcess &) = delete;

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    /// Waits until the process has ended. @return the exit code, or 128 plus the signal number.
    int wait()
    {
        if (m_pid <= 0)
            return -1;
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_pid = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }

    [[nodiscard]] pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
};

/// Returns a loopback port that is free for TCP and UDP. It lies below the kernel's range of
/// ephemeral ports, so that no outgoing connection can occupy it before it is used.
inline std::uint16_t freePort()
{
    constexpr int FirstPort = 10'000;
    constexpr int PortCount = 20'000;
    static std::atomic<int> next{static_cast<int>(::getpid()) * 97 % PortCount};
    const auto loopback = boost::asio::ip::make_address("127.0.0.1");
    boost::asio::io_context io;
    for (int tries = 0; tries < PortCount; ++tries) {
        const auto port = static_cast<std::uint16_t>(FirstPort + next++ % PortCount);
        boost::system::error_code ec;
        boost::asio::ip::tcp::acceptor acceptor(io, boost::asio::ip::tcp::v4());
        boost::asio::ip::udp::socket socket(io, boost::asio::ip::udp::v4());
        acceptor.bind({loopback, port}, ec);
        if (!ec)
            socket.bind({loopback, port}, ec);
        if (!ec)
            return port;
    }
    throw std::runtime_error("no free port");
}

inline HttpRequest makeRequest(const std::string &method, const std::string &target,
                               std::string body = {}, HttpHeaders headers = {})
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = std::move(body);
    request.headers = std::move(headers);
    return request;
}

/// The status of a response; 0 if there is none.
inline int statusOf(const HttpResult &result)
{
    const auto *response = std::get_if<HttpResponse>(&result);
    return response == nullptr ? 0 : response->status;
}

/// Makes one blocking HTTP call.
inline HttpResult callHttp(const Address &address, HttpRequest request,
                           Milliseconds timeout = Milliseconds{30'000})
{
    boost::asio::io_context io;
    const auto client = HttpClient::make(io, {});
    std::optional<HttpResult> result;
    client->send(address, std::move(request), timeout, [&](HttpResult it) {
        result = std::move(it);
        client->closeIdle();
    });
    io.run();
    return *result;
}

/// Polls until the condition holds. The time limit is generous, because it matters only in a broken
/// test.
inline bool waitUntil(const std::function<bool()> &condition,
                      std::chrono::seconds limit = std::chrono::seconds(30))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return condition();
}

} // namespace Camphor::Testing
