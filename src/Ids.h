/// @file Random identifiers.
#pragma once

#include <string>

namespace Camphor {

/// Returns a random 128-bit identifier as 32 lower-case hexadecimal digits. Thread-safe.
[[nodiscard]] std::string makeRandomId();

} // namespace Camphor
