#include "ProcessRunner.h"

#include "Log.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <thread>
#include <vector>

namespace Camphor {

void runUntilDrained(boost::asio::io_context &io, int threads, std::function<void()> onStop)
{
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait(
        [onStop = std::move(onStop)](const boost::system::error_code &ec, int signal) {
            if (ec)
                return;
            Log::info(LogEvent::StopRequested).kv("signal", signal);
            onStop();
        });
    std::vector<std::jthread> workers;
    for (int n = 1; n < threads; ++n)
        workers.emplace_back([&io] { io.run(); });
    io.run();
}

} // namespace Camphor
