/// @file Requests of other holders that wait for the end of accepted runs.
#pragma once

#include "RunOffer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace Camphor {

/// Passes the ends of accepted runs to the requests that wait for them. Runs are told apart by
/// requester and submission, so that an end that nobody has asked for is never taken for the end of
/// a run that has the same name in a later submission. Performs no I/O.
class RunWaiters
{
public:
    using Reply = std::function<void(const AwaitRunsReply &)>;

    /// Calls back when at least one of the runs has ended; at once if one has. A run whose end is
    /// neither known nor to come counts as ended with an unknown result.
    /// @param willEnd whether onEnd() will be called for an accepted run.
    void await(const std::vector<AcceptedRunKey> &runs, Reply reply,
               const std::function<bool(const AcceptedRunKey &)> &willEnd);
    /// An accepted run has ended. The end is retained until a request asks for it.
    void onEnd(const AcceptedRunEnd &end, Milliseconds now);
    /// Discards ends that no request has asked for in time, because their holder is lost.
    void evict(Milliseconds now);

    [[nodiscard]] std::size_t retainedEnds() const { return m_ends.size(); }

private:
    struct RetainedEnd
    {
        RunOutcome outcome;
        Milliseconds at;
    };

    struct Waiter
    {
        std::vector<AcceptedRunKey> runs;
        Reply reply;
    };

    std::map<AcceptedRunKey, RetainedEnd> m_ends;
    std::map<std::uint64_t, Waiter> m_waiters;
    std::map<AcceptedRunKey, std::uint64_t> m_waiterOf;
    std::uint64_t m_lastWaiter = 0;
};

} // namespace Camphor
