/// @file How a control instance becomes a member of the group, and how the leader changes the
/// members.
#include "FleetControl.h"

#include "Log.h"
#include "RpcDecode.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <filesystem>
#include <set>
#include <utility>

namespace Camphor {

namespace {

namespace Asio = boost::asio;

constexpr Milliseconds JoinPeriod{400};
constexpr Milliseconds JoinTimeout{400};
/// Between announcements of a member whose process is about to end.
constexpr Milliseconds LeavePeriod{100};
/// A member without an announcement for this long has ended, or its process has started again.
constexpr Milliseconds LeavingTimeout{1'000};
/// A member without contact with a leader for this long asks whether it was removed.
constexpr Milliseconds LeaderContactTimeout{2'000};
/// A candidate without a new request for this long has terminated or was replaced.
constexpr Milliseconds CandidateRetention{30'000};
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
    if (request->isLeaving)
        noteLeaving(member.instance);
    else if (group.find(member.instance) == nullptr)
        noteCandidate(member);
    JoinGroupReply response;
    response.member = member.instance;
    response.isRemoved = m_node->isRemoved(member.instance);
    response.isMember = group.find(member.instance) != nullptr;
    response.mayLeave = request->isLeaving && m_node->isLeader() && mayLeave(member.instance);
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
    const bool isLeaving = m_departure.has_value();
    if ((isMember && hasLeaderContact && !isLeaving) || now < m_nextJoinAt)
        return;
    m_nextJoinAt = now + (isLeaving ? LeavePeriod : JoinPeriod);
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
    client->call(MessageKind::JoinGroup,
                 encodeMessage(JoinGroupRequest{self(), m_departure.has_value()}), JoinTimeout,
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
    if (reply.member != m_name)
        return;
    if (!m_departure && reply.isRemoved)
        rejoinAsNewMember();
    else if (m_departure && (reply.isRemoved || reply.mayLeave))
        finishDeparture(reply.isRemoved ? "removed" : "no-replacement");
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

// --- Changes by the leader

std::set<std::string> FleetControl::leavingMembers(Milliseconds now) const
{
    std::set<std::string> names;
    for (const auto &[name, announcedAt] : m_leaving) {
        if (now - announcedAt <= LeavingTimeout)
            names.insert(name);
    }
    return names;
}

void FleetControl::changeMembers(Milliseconds now)
{
    if (!m_node->canChangeMembers())
        return;
    const auto leaving = leavingMembers(now);
    const auto step = nextMembershipStep(membershipView(leaving, now), m_settings.membership);
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

MembershipView FleetControl::membershipView(const std::set<std::string> &leaving,
                                            Milliseconds now) const
{
    return {m_node->configuration(),
            m_name,
            m_candidates,
            leaving,
            [this](const std::string &member) { return m_node->lastReply(member); },
            m_startedAt,
            now};
}

bool FleetControl::mayLeave(const std::string &member) const
{
    // A change that is not committed may still be undone, so the member may still be needed.
    if (!m_node->canChangeMembers())
        return false;
    const auto now = m_clock.now();
    const auto leaving = leavingMembers(now);
    return Camphor::mayLeave(membershipView(leaving, now), member, m_settings.membership);
}

void FleetControl::noteCandidate(const RaftMember &member)
{
    const auto [it, isNew] =
        m_candidates.insert_or_assign(member.instance, MemberCandidate{member, m_clock.now()});
    if (isNew)
        Log::info(LogEvent::CandidateHeard)
            .kv("member", member.instance)
            .kv("address", member.address);
}

void FleetControl::evictCandidates()
{
    const auto now = m_clock.now();
    std::erase_if(m_candidates, [&](const auto &it) {
        return now - it.second.lastContactAt > CandidateRetention;
    });
    std::erase_if(m_leaving, [&](const auto &it) { return now - it.second > LeavingTimeout; });
}

void FleetControl::noteLeaving(const std::string &member)
{
    m_candidates.erase(member);
    const auto [it, isNew] = m_leaving.insert_or_assign(member, m_clock.now());
    if (isNew)
        Log::info(LogEvent::MemberLeaving).kv("member", member);
}

// --- End of this process

void FleetControl::leave(Milliseconds limit, std::function<void()> onLeft)
{
    Asio::post(m_node->strand(), [self = shared_from_this(), limit, onLeft = std::move(onLeft)] {
        const auto now = self->m_clock.now();
        self->m_departure = Departure{now + limit, onLeft};
        self->m_nextJoinAt = now;
        self->noteLeaving(self->m_name);
    });
}

void FleetControl::checkDeparture()
{
    if (!m_departure)
        return;
    noteLeaving(m_name);
    if (m_node->isRemoved(m_name))
        finishDeparture("removed");
    else if (m_node->isLeader() && mayLeave(m_name))
        finishDeparture("no-replacement");
    else if (m_clock.now() >= m_departure->until)
        finishDeparture("timeout");
}

void FleetControl::finishDeparture(const std::string &reason)
{
    const auto onLeft = std::exchange(m_departure->onLeft, nullptr);
    if (!onLeft)
        return;
    Log::info(LogEvent::MemberLeft).kv("member", m_name).kv("reason", reason);
    onLeft();
}

} // namespace Camphor
