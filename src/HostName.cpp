#include "HostName.h"

#include "AsioSupport.h"

namespace Camphor {

namespace {

std::string_view withoutPort(std::string_view authority)
{
    if (!authority.starts_with('['))
        return authority.substr(0, authority.find(':'));
    // The colons of an IPv6 address are inside its brackets.
    const auto end = authority.find(']');
    return end == std::string_view::npos ? authority : authority.substr(0, end + 1);
}

} // namespace

std::string canonicalHost(std::string_view authority)
{
    auto host = withoutPort(authority);
    if (host.ends_with('.'))
        host.remove_suffix(1);
    return lowerCase(host);
}

} // namespace Camphor
