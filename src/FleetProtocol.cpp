#include "FleetProtocol.h"

#include "Settings.h"

namespace Camphor {

namespace {

Status checkSender(const std::string &name, std::initializer_list<std::string> addresses)
{
    if (name.empty())
        return Error{ErrorCode::InvalidRequest, "the sender has no name"};
    for (const auto &address : addresses) {
        if (!Address::parse(address))
            return Error{ErrorCode::InvalidRequest, "unreadable address '" + address + "'"};
    }
    return okStatus();
}

} // namespace

Status WatchFleetRequest::check() const { return checkSender(entry.name, {entry.address}); }

Status JoinGroupRequest::check() const
{
    return checkSender(member.instance, {member.address, member.operatorAddress});
}

} // namespace Camphor
