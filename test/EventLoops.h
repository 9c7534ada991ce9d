/// @file Event loops that tests run step by step, so that one side of a connection can be paused.
#pragma once

#include "TestProcess.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <initializer_list>

namespace Camphor::Testing {

/// Handles what is ready, without waiting.
inline void poll(boost::asio::io_context &io)
{
    io.restart();
    io.poll();
}

/// Runs a loop for a few milliseconds, so that its timers pass.
inline void runBriefly(boost::asio::io_context &io)
{
    io.restart();
    io.run_for(std::chrono::milliseconds(10));
}

/// Polls the loops in turn until a condition holds. @return false after a time limit.
[[nodiscard]] inline bool pollUntil(std::initializer_list<boost::asio::io_context *> loops,
                                    const std::function<bool()> &condition)
{
    return waitUntil([&] {
        for (auto *io : loops)
            poll(*io);
        return condition();
    });
}

} // namespace Camphor::Testing
