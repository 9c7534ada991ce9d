#include "AttemptFence.h"

namespace Camphor {

AttemptFence::Verdict AttemptFence::admit(const std::string &sender, std::uint64_t incarnation,
                                          const std::string &attempt, Milliseconds deadline,
                                          Milliseconds now)
{
    auto &latestIncarnation = m_incarnations[sender];
    if (incarnation < latestIncarnation)
        return Verdict::OldIncarnation;
    latestIncarnation = incarnation;
    if (deadline <= now)
        return Verdict::TooLate;
    removeExpired(now);
    auto id = sender + "/" + std::to_string(incarnation) + "/" + attempt;
    if (m_attempts.contains(id))
        return Verdict::Duplicate;
    if (m_attempts.size() >= m_maxAttempts)
        return Verdict::Full;
    m_byDeadline.emplace(deadline, id);
    m_attempts.emplace(std::move(id), deadline);
    return Verdict::Accepted;
}

void AttemptFence::removeExpired(Milliseconds now)
{
    // An expired attempt needs no entry as long as duplicates have the same deadline, because they
    // are then rejected as TooLate.
    const auto end = m_byDeadline.lower_bound(now);
    for (auto it = m_byDeadline.begin(); it != end; ++it)
        m_attempts.erase(it->second);
    m_byDeadline.erase(m_byDeadline.begin(), end);
}

const char *fenceReason(AttemptFence::Verdict verdict)
{
    switch (verdict) {
    case AttemptFence::Verdict::Accepted:
        return "accepted";
    case AttemptFence::Verdict::Duplicate:
        return "duplicate-attempt";
    case AttemptFence::Verdict::OldIncarnation:
        return "old-incarnation";
    case AttemptFence::Verdict::TooLate:
        return "deadline-passed";
    case AttemptFence::Verdict::Full:
        return "too-many-attempts";
    }
    return "refused";
}

} // namespace Camphor
