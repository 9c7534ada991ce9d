/// @file Creates the tickets that an entry issues. Their home is the entry's own failure domain.
#pragma once

#include <string>

namespace Camphor {

/// Creates a key of the form t-<domain>-<issueTimeMs>-<random>. Thread-safe.
[[nodiscard]] std::string makeTicket(const std::string &domain);

} // namespace Camphor
