/// @file Host names in requests and configurations.
#pragma once

#include <string>
#include <string_view>

namespace Camphor {

/// Returns the one spelling of a host that is used for comparisons. Host names do not depend on the
/// case of ASCII letters, and neither the port nor the dot of the root domain is a part of them.
/// @param authority a host with or without a port, as in the Host field of a request. An IPv6
/// address stands in brackets.
[[nodiscard]] std::string canonicalHost(std::string_view authority);

} // namespace Camphor
