/// @file Runs an io_context on several threads until the program has drained.
#pragma once

#include <functional>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// Runs the io_context on `threads` threads. The first SIGTERM or SIGINT calls onStop; the function
/// returns when the io_context has no work left or is stopped.
void runUntilDrained(boost::asio::io_context &io, int threads, std::function<void()> onStop);

} // namespace Camphor
