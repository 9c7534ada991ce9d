#include "FleetProtocol.h"

#include "Settings.h"

#include <algorithm>

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

Status WatchFleetRequest::check() const
{
    constexpr double MaxCpuShare = 1'000;
    // Also false for a value that is no number.
    const bool isPossible = cpuShare > 0 && cpuShare <= MaxCpuShare;
    return isPossible ? checkSender(entry.name, {entry.address})
                      : Error{ErrorCode::InvalidRequest, "impossible processor of an entry"};
}

Status JoinGroupRequest::check() const
{
    return checkSender(member.instance, {member.address, member.operatorAddress});
}

Status checkLoss(const InstanceLoss &loss)
{
    const auto &id = loss.instance.id;
    if (id.empty() || id.size() > MaxLostInstanceIdBytes)
        return Error{ErrorCode::InvalidRequest, "the id of a lost instance is empty or too long"};
    if (loss.tasks.size() > MaxTasksPerLoss)
        return Error{ErrorCode::InvalidRequest, "too many tasks of a lost instance"};
    const bool isTooLong = std::ranges::any_of(
        loss.tasks, [](const auto &task) { return task.size() > MaxTaskNameBytes; });
    if (isTooLong)
        return Error{ErrorCode::InvalidRequest, "the name of a lost task is too long"};
    return okStatus();
}

Status ReportLossesRequest::check() const
{
    if (losses.size() > MaxLossesPerMessage)
        return Error{ErrorCode::InvalidRequest, "too many lost instances"};
    for (const auto &loss : losses) {
        if (const auto status = checkLoss(loss); !status)
            return status;
    }
    return okStatus();
}

} // namespace Camphor
