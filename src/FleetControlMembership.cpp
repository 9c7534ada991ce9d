/// @file How a control instance becomes a member of the group, and how the leader changes the
/// members.
#include "FleetControl.h"

#include "Log.h"
#include "RpcDecode.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <filesystem>
#include <set>

namespace Camphor {

namespace {

namespace Asio = boost::asio;

constexpr Milliseconds JoinPeriod{400};
constexpr Milliseconds JoinTimeout{400};
/// A member without contact with a leader for this long asks whether it was removed.
constexpr Milliseconds LeaderContactTimeout{2'000};
/// An address that no member names for this long, while members reply, was replaced.
constexpr Milliseconds NamedAddressRetention{60'000};

} // namespace

void FleetControl::onJoin(const std::string &payload, const RpcReply &reply)
{
    const auto request = decodeOrReject<JoinGroupRequest>(payload, reply);
    if (!request)
        return;
    const auto &member = request->member;
    const auto &group = m_node->configuration();
    if (group.find(member.instance) == nullptr)
        m_candidates[member.instance] = {member, m_clock.now()};
    JoinGroupReply response;
    response.member = member.instance;
    response.isRemoved = m_node->isRemoved(member.instance);
    response.isMember = group.find(member.instance) != nullptr;
    if (const auto *leader = m_node->leader())
        response.leaderAddress = leader->address;
    response.controlAddresses = controlAddresses();
    reply(encodeMessage(response));
}

void FleetControl::joinGroup()
{
    const auto now = m_clock.now();
    const auto &group = m_node->configuration();
    const bool isMember = group.find(m_name) != nullptr;
    const bool hasLeaderContact =
        m_node->isLeader() || now - m_node->lastLeaderContact() < LeaderContactTimeout;
    if ((isMember && hasLeaderContact) || now < m_nextJoinAt)
        return;
    m_nextJoinAt = now + JoinPeriod;
    std::set<std::string> addresses;
    for (const auto &[address, namedAt] : m_namedAddresses)
        addresses.insert(address);
    for (const auto &seed : m_seeds)
        addresses.insert(Address{seed.host, m_settings.listen.port}.toString());
    for (const auto &member : group.members)
        addresses.insert(member.address);
    addresses.erase(m_settings.listen.toString());
    std::ranges::for_each(addresses, [this](const auto &it) { sendJoinRequest(it); });
}

void FleetControl::sendJoinRequest(const std::string &address)
{
    const auto parsed = Address::parse(address);
    if (!parsed) {
        Log::warning(LogEvent::AddressUnreadable).kv("address", address);
        return;
    }
    auto &known = m_joinClients[address];
    if (!known)
        known = RpcClient::make(m_io, parsed.value(), m_rpcSettings);
    const auto client = known;
    client->call(MessageKind::JoinGroup, encodeMessage(JoinGroupRequest{self()}), JoinTimeout,
                 [self = shared_from_this(), address, client](const RpcResult &result) {
                     Asio::post(self->m_node->strand(), [self, address, client, result] {
                         const auto *payload = std::get_if<std::string>(&result);
                         if (payload == nullptr) {
                             // A connection that has stopped delivering does not recover by itself.
                             client->stop();
                             std::erase_if(self->m_joinClients,
                                           [&](const auto &it) { return it.second == client; });
                             return;
                         }
                         if (const auto reply = decodeMessage<JoinGroupReply>(*payload))
                             self->onJoinReply(reply.value());
                     });
                 });
}

void FleetControl::onJoinReply(const JoinGroupReply &reply)
{
    const auto now = m_clock.now();
    for (const auto &address : reply.controlAddresses)
        m_namedAddresses[address] = now;
    std::erase_if(m_namedAddresses,
                  [&](const auto &it) { return now - it.second > NamedAddressRetention; });
    if (!reply.isRemoved || reply.member != m_name)
        return;
    rejoinAsNewMember();
}

void FleetControl::rejoinAsNewMember()
{
    Log::warning(LogEvent::MemberRemoved).kv("member", m_name).kv("action", "start-anew");
    m_node->stop();
    // The group has removed this name for good, so nothing stored under it is needed any more.
    std::error_code ec;
    std::filesystem::remove_all(m_settings.dataFolder, ec);
    m_settings.isFirstStart = false;
    m_wasLeader = false;
    if (const auto status = openMember(); !status)
        scheduleReopen(status.error());
}

void FleetControl::changeMembers(Milliseconds now)
{
    if (!m_node->canChangeMembers())
        return;
    const auto step = nextMembershipStep(
        m_node->configuration(), m_name, m_candidates,
        [this](const std::string &member) { return m_node->lastReply(member); }, now,
        m_settings.membership);
    if (step.kind == MembershipStep::Kind::None)
        return;
    const bool isAdd = step.kind == MembershipStep::Kind::Add;
    const auto status =
        isAdd ? m_node->addMember(step.member) : m_node->removeMember(step.member.instance);
    Log::info(LogEvent::MembershipChange)
        .kv("step", isAdd ? "add" : "remove")
        .kv("member", step.member.instance)
        .kv("reason", step.reason)
        .kv("result", status ? "proposed" : status.error().message);
}

} // namespace Camphor
