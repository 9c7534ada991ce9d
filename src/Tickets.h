/// @file Keys that an entry gives out, homed in its own failure domain.
#pragma once

#include <string>

namespace Camphor {

/// A new key of the form t-<domain>-<issueTimeMs>-<random>. Thread-safe.
[[nodiscard]] std::string makeTicket(const std::string &domain);

} // namespace Camphor
