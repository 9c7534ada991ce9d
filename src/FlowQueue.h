/// @file The task queue: weighted fair queueing between flows, ordered by urgency and arrival
/// within a flow.
#pragma once

#include "DispatchTypes.h"

#include <array>
#include <bit>
#include <cstdint>
#include <optional>
#include <vector>

namespace Camphor {

/// A flow is the tasks of one team for one service. Both are small indices assigned by the caller.
struct FlowId
{
    std::uint32_t service = 0;
    std::uint32_t team = 0;

    auto operator<=>(const FlowId &) const = default;
};

/// Identifies a queued task within a FlowQueue until it is popped or removed.
using QueueTicket = std::uint32_t;

struct FlowQueueSettings
{
    /// If false, all tasks are ordered by arrival only; a baseline for comparison.
    bool isFair = true;
    /// Ageing: a task of lower urgency goes first if it has waited longer by this much per level.
    Milliseconds urgencyStep{2'000};

    auto operator<=>(const FlowQueueSettings &) const = default;
};

struct QueuedTask
{
    TaskHandle handle = 0;
    Urgency urgency = Urgency::Normal;
    bool isFromPeer = false; ///< Received from a peer; must not be forwarded again.
    Milliseconds enqueuedAt;
    double estimateMs = 0; ///< Expected slot time, charged to the flow when popped.

    auto operator<=>(const QueuedTask &) const = default;
};

/// Weighted fair queueing in slot-milliseconds, with start-time virtual clocks on two levels:
/// services share the pool, and the teams of a service share the part of that service.
class FlowQueue
{
public:
    explicit FlowQueue(FlowQueueSettings settings = {});

    void setServiceShare(std::uint32_t service, double share);
    void setTeamShare(std::uint32_t team, double share);

    /// @param isFirst puts the task before those of the same urgency, for a task that is queued
    /// again, for example because its attempt did not start.
    QueueTicket push(FlowId flow, const QueuedTask &task, bool isFirst = false);
    /// Removes a queued task without a charge, in constant time.
    void remove(QueueTicket ticket);
    [[nodiscard]] const QueuedTask &task(QueueTicket ticket) const { return m_nodes[ticket].task; }
    [[nodiscard]] FlowId flowOf(QueueTicket ticket) const { return m_nodes[ticket].flow; }

    /// The next task among the flows that both predicates accept.
    /// @param onlyLocal skips tasks received from peers.
    template <typename ServicePredicate, typename FlowPredicate>
    [[nodiscard]] std::optional<QueueTicket>
    next(ServicePredicate isServiceOpen, FlowPredicate isFlowOpen, bool onlyLocal = false) const
    {
        const auto listMask = onlyLocal ? LocalLists : AllLists;
        const Flow *best = nullptr;
        Order bestOrder;
        for (const auto service : m_backlogged) {
            const auto &it = m_services[service];
            const Order order{it.inUse / it.share, it.virtualTime};
            if ((m_settings.isFair && best != nullptr && order >= bestOrder)
                || !isServiceOpen(service))
                continue;
            const Flow *candidate = nullptr;
            Order candidateOrder;
            for (const auto team : it.backlogged) {
                const auto &flow = it.flows[team];
                const auto flowOrder = orderOf(flow, team, listMask);
                if ((flow.nonEmptyLists & listMask) == 0
                    || (candidate != nullptr && flowOrder >= candidateOrder)
                    || !isFlowOpen(FlowId{service, team}))
                    continue;
                candidate = &flow;
                candidateOrder = flowOrder;
            }
            const auto &serviceOrder = m_settings.isFair ? order : candidateOrder;
            if (candidate == nullptr || (best != nullptr && serviceOrder >= bestOrder))
                continue;
            best = candidate;
            bestOrder = serviceOrder;
        }
        return best == nullptr ? std::nullopt : std::optional(firstOf(*best, listMask));
    }

    template <typename Visitor>
    void forEachBacklogged(Visitor visit) const
    {
        for (const auto service : m_backlogged)
            for (const auto team : m_services[service].backlogged)
                visit(FlowId{service, team});
    }

    /// Removes a task and charges its estimate to its flow.
    QueuedTask pop(QueueTicket ticket, Milliseconds now);
    /// Replaces a charged estimate by the slot time actually used.
    void settle(FlowId flow, double estimateMs, double usedMs);

    void slotAcquired(FlowId flow);
    void slotReleased(FlowId flow);
    [[nodiscard]] std::uint32_t slotsInUse(FlowId flow) const;
    [[nodiscard]] std::uint32_t teamSlotsInUse(std::uint32_t team) const;

    [[nodiscard]] std::uint32_t size() const { return m_size; }
    [[nodiscard]] std::uint32_t size(std::uint32_t service) const;
    [[nodiscard]] double queuedMs() const { return m_queuedMs; }
    [[nodiscard]] double queuedMs(FlowId flow) const;

    /// The part of the pool that the flow gets while it and all backlogged flows have queued tasks.
    [[nodiscard]] double backloggedShare(FlowId flow) const;
    /// Slot-milliseconds started for the flow per millisecond, with exponential decay over about a
    /// second.
    [[nodiscard]] double drainRate(FlowId flow, Milliseconds now) const;
    /// Slot time charged to the flow so far, including settlements.
    [[nodiscard]] double chargedMs(FlowId flow) const;

private:
    static constexpr std::uint32_t None = 0xffffffff;
    static constexpr unsigned UrgencyCount = 3;
    /// Lists of local tasks by urgency, followed by those of tasks from peers.
    static constexpr unsigned ListCount = 2 * UrgencyCount;
    static constexpr std::uint32_t AllLists = (1U << ListCount) - 1;
    static constexpr std::uint32_t LocalLists = (1U << UrgencyCount) - 1;

    /// Slots in use per unit of share, then the virtual time.
    using Order = std::pair<double, double>;

    struct Node
    {
        QueuedTask task;
        FlowId flow;
        std::uint32_t list = 0;
        std::uint32_t previous = None;
        std::uint32_t next = None; ///< Also links the nodes of the free list.
    };

    struct List
    {
        std::uint32_t first = None;
        std::uint32_t last = None;
    };

    struct Flow
    {
        std::array<List, ListCount> lists;
        std::uint32_t nonEmptyLists = 0; ///< Bit n is set if list n is not empty.
        std::uint32_t queued = 0;
        std::uint32_t inUse = 0;
        std::uint32_t position = None; ///< In Service::backlogged.
        double queuedMs = 0;
        double virtualTime = 0;
        double chargedMs = 0;
        double rate = 0;
        Milliseconds rateAt;
    };

    struct Service
    {
        std::vector<Flow> flows; ///< By team.
        std::vector<std::uint32_t> backlogged; ///< Teams with queued tasks.
        std::uint32_t position = None; ///< In m_backlogged.
        std::uint32_t queued = 0;
        std::uint32_t inUse = 0;
        double share = 1;
        double virtualTime = 0;
        double clock = 0; ///< Virtual time of the flow that was served last.
    };

    [[nodiscard]] static unsigned listOf(const QueuedTask &task);
    [[nodiscard]] double delayOf(unsigned list) const { return m_delays[list]; }
    [[nodiscard]] QueueTicket firstOf(const Flow &flow, std::uint32_t listMask) const;
    [[nodiscard]] Order orderOf(const Flow &flow, std::uint32_t team, std::uint32_t listMask) const;
    [[nodiscard]] const Flow *findFlow(FlowId flow) const;
    Flow &flowFor(FlowId flow);
    void unlink(QueueTicket ticket);
    [[nodiscard]] double teamShare(std::uint32_t team) const;

    FlowQueueSettings m_settings;
    std::array<double, ListCount> m_delays{};
    std::vector<Node> m_nodes;
    std::uint32_t m_freeNode = None;
    std::vector<Service> m_services;
    std::vector<std::uint32_t> m_backlogged; ///< Services with queued tasks.
    std::vector<double> m_teamShares;
    std::vector<std::uint32_t> m_teamInUse;
    std::uint32_t m_size = 0;
    double m_queuedMs = 0;
    double m_clock = 0; ///< Virtual time of the service that was served last.
};

} // namespace Camphor
