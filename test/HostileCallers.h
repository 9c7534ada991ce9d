/// @file Callers that keep to no limits, and what a process under test uses.
#pragma once

#include "TestProcess.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace Camphor::Testing {

/// The highest resident memory of a process so far, in MB; 0 if it has ended.
inline std::size_t peakMemoryMb(pid_t pid)
{
    constexpr std::size_t KbPerMb = 1024;
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string word; status >> word;) {
        std::size_t kb = 0;
        if (word == "VmHWM:" && status >> kb)
            return kb / KbPerMb;
    }
    return 0;
}

/// Number of open descriptors of a process.
inline std::size_t descriptorCount(pid_t pid)
{
    std::error_code ec;
    const std::filesystem::directory_iterator folder("/proc/" + std::to_string(pid) + "/fd", ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

/// Lowers the limit of open descriptors of the processes that are started in its scope.
class DescriptorLimit
{
public:
    explicit DescriptorLimit(rlim_t limit)
    {
        ::getrlimit(RLIMIT_NOFILE, &m_former);
        const rlimit lowered{limit, m_former.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &m_former); }
    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit m_former{};
};

/// A connection that sends what no HTTP client would. All calls block; an error ends the sending.
class HostileCaller
{
public:
    explicit HostileCaller(const Address &server)
        : m_socket(m_io)
    {
        m_socket.connect({boost::asio::ip::make_address(server.host), server.port}, m_ec);
    }

    /// @return whether all of it was sent.
    bool send(const std::string &bytes)
    {
        if (!m_ec)
            boost::asio::write(m_socket, boost::asio::buffer(bytes), m_ec);
        return !m_ec;
    }

    /// Sends a block again and again until the peer closes the connection or the limit is reached.
    void sendRepeatedly(const std::string &block, std::size_t limit)
    {
        for (std::size_t sent = 0; sent < limit && send(block); sent += block.size())
            continue;
    }

    /// Reads until the peer closes the connection.
    std::string receiveAll()
    {
        std::string bytes;
        boost::system::error_code ec;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(bytes), ec);
        return bytes;
    }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    boost::system::error_code m_ec;
};

/// Runs one action for each caller of a crowd at the same time, and waits until all have ended.
inline void runCrowd(std::size_t callers, const std::function<void()> &action)
{
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (std::size_t n = 0; n < callers; ++n)
        threads.emplace_back(action);
    for (auto &thread : threads)
        thread.join();
}

} // namespace Camphor::Testing
