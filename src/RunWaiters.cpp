#include "RunWaiters.h"

#include <utility>

namespace Camphor {

namespace {

/// Longer than the time after which a holder that does not ask counts as lost.
constexpr Milliseconds EndRetention{5'000};

} // namespace

void RunWaiters::await(const std::vector<AcceptedRunKey> &runs, Reply reply,
                       const std::function<bool(const AcceptedRunKey &)> &willEnd)
{
    AwaitRunsReply ended;
    for (const auto &key : runs) {
        if (const auto node = m_ends.extract(key); !node.empty())
            ended.ends.push_back(node.mapped().outcome);
        else if (!willEnd(key))
            ended.ends.push_back({key.run, RunEnd::LeaseExpired, true, 0, {}});
    }
    if (!ended.ends.empty() || runs.empty()) {
        reply(ended);
        return;
    }
    const auto id = ++m_lastWaiter;
    for (const auto &key : runs)
        m_waiterOf[key] = id;
    m_waiters[id] = {runs, std::move(reply)};
}

void RunWaiters::onEnd(const AcceptedRunEnd &end, Milliseconds now)
{
    const auto it = m_waiterOf.find(end.key);
    if (it == m_waiterOf.end()) {
        m_ends[end.key] = {end.outcome, now};
        return;
    }
    const auto waiter = std::move(m_waiters.extract(it->second).mapped());
    for (const auto &key : waiter.runs)
        m_waiterOf.erase(key);
    waiter.reply({{end.outcome}});
}

void RunWaiters::evict(Milliseconds now)
{
    std::erase_if(m_ends, [&](const auto &it) { return now - it.second.at > EndRetention; });
}

} // namespace Camphor
