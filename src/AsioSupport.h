/// @file What all shells over Boost.Asio share.
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

/// A duration in the type that Asio's timers take.
[[nodiscard]] std::chrono::microseconds toChrono(Milliseconds duration);

/// Binds an acceptor and starts to listen.
[[nodiscard]] Status listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Address &address);

/// ASCII letters in lower case, for header names.
[[nodiscard]] std::string lowerCase(std::string_view text);

} // namespace Camphor
