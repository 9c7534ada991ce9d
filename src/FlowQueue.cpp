#include "FlowQueue.h"

#include "Result.h"

#include <algorithm>
#include <cmath>

namespace Camphor {

namespace {

constexpr double RateWindowMs = 1000;

} // namespace

FlowQueue::FlowQueue(FlowQueueSettings settings)
    : m_settings(settings)
{
    for (unsigned n = 0; n < ListCount; ++n)
        if (m_settings.isFair)
            m_delays[n] = m_settings.urgencyStep.count() * (UrgencyCount - 1 - n % UrgencyCount);
}

void FlowQueue::setServiceShare(std::uint32_t service, double share)
{
    if (service >= m_services.size())
        m_services.resize(service + 1);
    m_services[service].share = share;
}

void FlowQueue::setTeamShare(std::uint32_t team, double share)
{
    if (team >= m_teamShares.size())
        m_teamShares.resize(team + 1, 1.0);
    m_teamShares[team] = share;
}

double FlowQueue::teamShare(std::uint32_t team) const
{
    return team < m_teamShares.size() ? m_teamShares[team] : 1.0;
}

unsigned FlowQueue::listOf(const QueuedTask &task)
{
    return (task.isFromPeer ? UrgencyCount : 0U) + static_cast<unsigned>(task.urgency);
}

FlowQueue::Flow &FlowQueue::flowFor(FlowId flow)
{
    if (flow.service >= m_services.size())
        m_services.resize(flow.service + 1);
    auto &service = m_services[flow.service];
    if (flow.team >= service.flows.size())
        service.flows.resize(flow.team + 1);
    return service.flows[flow.team];
}

const FlowQueue::Flow *FlowQueue::findFlow(FlowId flow) const
{
    if (flow.service >= m_services.size() || flow.team >= m_services[flow.service].flows.size())
        return nullptr;
    return &m_services[flow.service].flows[flow.team];
}

QueueTicket FlowQueue::push(FlowId id, const QueuedTask &task, bool isFirst)
{
    auto &flow = flowFor(id);
    auto &service = m_services[id.service];
    // A flow that was idle starts at the clock: it gets no credit for the time without work.
    if (service.queued == 0) {
        service.position = static_cast<std::uint32_t>(m_backlogged.size());
        m_backlogged.push_back(id.service);
        service.virtualTime = std::max(service.virtualTime, m_clock);
    }
    if (flow.queued == 0) {
        flow.position = static_cast<std::uint32_t>(service.backlogged.size());
        service.backlogged.push_back(id.team);
        flow.virtualTime = std::max(flow.virtualTime, service.clock);
    }

    auto ticket = m_freeNode;
    if (ticket == None) {
        ticket = static_cast<std::uint32_t>(m_nodes.size());
        m_nodes.emplace_back();
    } else {
        m_freeNode = m_nodes[ticket].next;
    }
    const auto list = listOf(task);
    auto &ends = flow.lists[list];
    const auto isBefore = isFirst && ends.first != None;
    m_nodes[ticket] =
        Node{task, id, list, isBefore ? None : ends.last, isBefore ? ends.first : None};
    if (isBefore) {
        m_nodes[ends.first].previous = ticket;
        ends.first = ticket;
    } else {
        (ends.last == None ? ends.first : m_nodes[ends.last].next) = ticket;
        ends.last = ticket;
    }
    flow.nonEmptyLists |= 1U << list;
    ++flow.queued;
    ++service.queued;
    ++m_size;
    flow.queuedMs += task.estimateMs;
    m_queuedMs += task.estimateMs;
    return ticket;
}

void FlowQueue::unlink(QueueTicket ticket)
{
    auto &node = m_nodes[ticket];
    auto &service = m_services[node.flow.service];
    auto &flow = service.flows[node.flow.team];
    auto &ends = flow.lists[node.list];
    (node.previous == None ? ends.first : m_nodes[node.previous].next) = node.next;
    (node.next == None ? ends.last : m_nodes[node.next].previous) = node.previous;
    if (ends.first == None)
        flow.nonEmptyLists &= ~(std::uint64_t{1} << node.list);
    --m_size;
    m_queuedMs = m_size == 0 ? 0 : m_queuedMs - node.task.estimateMs;
    flow.queuedMs -= node.task.estimateMs;
    if (--flow.queued == 0) {
        // Sums of rounded values drift, so an empty flow starts again from zero.
        flow.queuedMs = 0;
        const auto moved = service.backlogged.back();
        service.backlogged[flow.position] = moved;
        service.flows[moved].position = flow.position;
        service.backlogged.pop_back();
    }
    if (--service.queued == 0) {
        const auto moved = m_backlogged.back();
        m_backlogged[service.position] = moved;
        m_services[moved].position = service.position;
        m_backlogged.pop_back();
    }
    node.next = m_freeNode;
    m_freeNode = ticket;
}

void FlowQueue::remove(QueueTicket ticket) { unlink(ticket); }

QueueTicket FlowQueue::firstOf(const Flow &flow, std::uint32_t listMask) const
{
    QueueTicket best = None;
    double bestDue = 0;
    for (auto rest = flow.nonEmptyLists & listMask; rest != 0; rest &= rest - 1) {
        const auto list = static_cast<unsigned>(std::countr_zero(rest));
        const auto first = flow.lists[list].first;
        const auto due = m_nodes[first].task.enqueuedAt.count() + delayOf(list);
        if (best == None || due < bestDue) {
            best = first;
            bestDue = due;
        }
    }
    return best;
}

FlowQueue::Order FlowQueue::orderOf(const Flow &flow, std::uint32_t team,
                                    std::uint32_t listMask) const
{
    if (m_settings.isFair)
        return {flow.inUse / teamShare(team), flow.virtualTime};
    const auto first = firstOf(flow, listMask);
    return {0, first == None ? 0 : m_nodes[first].task.enqueuedAt.count()};
}

QueuedTask FlowQueue::pop(QueueTicket ticket, Milliseconds now)
{
    const auto task = m_nodes[ticket].task;
    const auto id = m_nodes[ticket].flow;
    unlink(ticket);
    auto &service = m_services[id.service];
    auto &flow = service.flows[id.team];
    m_clock = std::max(m_clock, service.virtualTime);
    service.clock = std::max(service.clock, flow.virtualTime);
    settle(id, 0, task.estimateMs);
    flow.rate = flow.rate * std::exp(-(now - flow.rateAt).count() / RateWindowMs)
        + task.estimateMs / RateWindowMs;
    flow.rateAt = now;
    return task;
}

void FlowQueue::settle(FlowId id, double estimateMs, double usedMs)
{
    auto &flow = flowFor(id);
    auto &service = m_services[id.service];
    const auto change = usedMs - estimateMs;
    service.virtualTime += change / service.share;
    flow.virtualTime += change / teamShare(id.team);
    flow.chargedMs += change;
}

void FlowQueue::slotAcquired(FlowId id)
{
    ++flowFor(id).inUse;
    ++m_services[id.service].inUse;
    if (id.team >= m_teamInUse.size())
        m_teamInUse.resize(id.team + 1);
    ++m_teamInUse[id.team];
}

void FlowQueue::slotReleased(FlowId id)
{
    auto &flow = flowFor(id);
    CAMPHOR_ASSERT(flow.inUse > 0 && m_teamInUse[id.team] > 0);
    --flow.inUse;
    --m_services[id.service].inUse;
    --m_teamInUse[id.team];
}

std::uint32_t FlowQueue::slotsInUse(FlowId id) const
{
    const auto *flow = findFlow(id);
    return flow == nullptr ? 0 : flow->inUse;
}

std::uint32_t FlowQueue::teamSlotsInUse(std::uint32_t team) const
{
    return team < m_teamInUse.size() ? m_teamInUse[team] : 0;
}

std::uint32_t FlowQueue::size(std::uint32_t service) const
{
    return service < m_services.size() ? m_services[service].queued : 0;
}

double FlowQueue::queuedMs(FlowId id) const
{
    const auto *flow = findFlow(id);
    return flow == nullptr ? 0 : flow->queuedMs;
}

double FlowQueue::backloggedShare(FlowId id) const
{
    if (id.service >= m_services.size())
        return 1;
    const auto &own = m_services[id.service];
    double services = own.queued == 0 ? own.share : 0;
    for (const auto it : m_backlogged)
        services += m_services[it].share;
    const auto *flow = findFlow(id);
    double teams = flow == nullptr || flow->queued == 0 ? teamShare(id.team) : 0;
    for (const auto it : own.backlogged)
        teams += teamShare(it);
    return own.share / services * teamShare(id.team) / teams;
}

double FlowQueue::drainRate(FlowId id, Milliseconds now) const
{
    const auto *flow = findFlow(id);
    return flow == nullptr ? 0
                           : flow->rate * std::exp(-(now - flow->rateAt).count() / RateWindowMs);
}

double FlowQueue::chargedMs(FlowId id) const
{
    const auto *flow = findFlow(id);
    return flow == nullptr ? 0 : flow->chargedMs;
}

} // namespace Camphor
