#include "Dispatcher.h"

#include "DispatcherCore.h"

namespace Camphor {

Result<PlacementKind> parsePlacementKind(std::string_view text)
{
    if (text == "owner")
        return PlacementKind::Owner;
    if (text == "random")
        return PlacementKind::Random;
    if (text == "round-robin")
        return PlacementKind::RoundRobin;
    if (text == "probe-two")
        return PlacementKind::ProbeTwo;
    return Error{ErrorCode::InvalidSettings,
                 "placement must be owner, random, round-robin or probe-two"};
}

Result<QueueKind> parseQueueKind(std::string_view text)
{
    if (text == "fair")
        return QueueKind::Fair;
    if (text == "fifo")
        return QueueKind::Fifo;
    return Error{ErrorCode::InvalidSettings, "queue must be fair or fifo"};
}

Dispatcher::Dispatcher(DispatcherSettings settings, const Declaration &declaration,
                       Milliseconds /*now*/)
    : m_core(std::make_unique<Core>(std::move(settings), declaration))
{
}

Dispatcher::~Dispatcher() = default;

AdmissionDecision Dispatcher::admit(std::string_view service, std::string_view team,
                                    std::uint32_t taskCount, Milliseconds deadline,
                                    Milliseconds now) const
{
    return m_core->admit(service, team, taskCount, deadline, now);
}

Actions Dispatcher::submit(const std::vector<TaskSpec> &tasks, Milliseconds now)
{
    for (const auto &it : tasks)
        m_core->submit(it, now);
    return m_core->finishStep(now);
}

Actions Dispatcher::cancel(TaskHandle handle, Milliseconds now)
{
    m_core->cancel(handle, "cancelled");
    return m_core->finishStep(now);
}

Actions Dispatcher::cancelRequest(const std::string &requestId, Milliseconds now)
{
    m_core->cancelRequest(requestId, "cancelled");
    return m_core->finishStep(now);
}

Actions Dispatcher::targetAnnounced(const TargetAnnouncement &announcement, Milliseconds now)
{
    m_core->targetAnnounced(announcement, now);
    return m_core->finishStep(now);
}

Actions Dispatcher::targetLeft(const std::string &id, Milliseconds now)
{
    m_core->targetRemoved(id);
    return m_core->finishStep(now);
}

Actions Dispatcher::targetReleased(const std::string &id, Milliseconds now)
{
    m_core->targetRemoved(id);
    return m_core->finishStep(now);
}

Actions Dispatcher::attemptFinished(TaskHandle handle, const AttemptReport &report,
                                    Milliseconds now)
{
    m_core->attemptFinished(handle, report, now);
    return m_core->finishStep(now);
}

Actions Dispatcher::forwardFinished(TaskHandle handle, const AttemptReport &report,
                                    Milliseconds now)
{
    m_core->forwardFinished(handle, report, now);
    return m_core->finishStep(now);
}

Actions Dispatcher::peerDigest(const Digest &digest, Milliseconds now)
{
    m_core->peerDigest(digest, now);
    return m_core->finishStep(now);
}

Actions Dispatcher::peerUnusable(const std::string &instance, Milliseconds now)
{
    m_core->peerUnusable(instance);
    return m_core->finishStep(now);
}

Actions Dispatcher::forwardToPeer(const std::string &instance, std::uint32_t slots,
                                  Milliseconds now)
{
    m_core->forwardToPeer(instance, slots, now);
    return m_core->finishStep(now);
}

void Dispatcher::setOtherPools(const std::vector<PoolDigest> &pools)
{
    m_core->setOtherPools(pools);
}

Actions Dispatcher::tick(Milliseconds now)
{
    m_core->tick(now);
    return m_core->finishStep(now);
}

Actions Dispatcher::applyDeclaration(const Declaration &declaration, Milliseconds now)
{
    m_core->applyDeclaration(declaration);
    return m_core->finishStep(now);
}

Actions Dispatcher::startDraining(Milliseconds now)
{
    m_core->startDraining(now);
    return m_core->finishStep(now);
}

PoolDigest Dispatcher::digest(Milliseconds now) const { return m_core->digest(now); }

DispatcherStats Dispatcher::stats() const { return m_core->stats(); }

std::vector<TaskExplanation> Dispatcher::explain(const std::string &requestId) const
{
    return m_core->explain(requestId);
}

std::vector<std::string> Dispatcher::runningAttempts(const std::string &targetId) const
{
    return m_core->runningAttempts(targetId);
}

} // namespace Camphor
