/// @file Helpers shared by the I/O classes that use Boost.Asio.
#pragma once

#include "Result.h"
#include "Settings.h"
#include "Time.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace Camphor {

/// Converts a duration to the type that Asio's timers accept.
[[nodiscard]] std::chrono::microseconds toChrono(Milliseconds duration);

/// Opens and binds an acceptor and starts listening.
[[nodiscard]] Status listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Address &address);

/// Converts ASCII letters to lower case, for header names.
[[nodiscard]] std::string lowerCase(std::string_view text);

} // namespace Camphor
