/// @file Ensures that an attempt placed by a peer starts at most once.
#pragma once

#include "Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace Camphor {

/// The received or cancelled attempts of each sender. A pure state machine; not thread-safe.
class AttemptFence
{
public:
    enum class Verdict {
        Accepted,
        Duplicate, ///< The attempt was received or cancelled before.
        OldIncarnation, ///< The sender has restarted since and no longer needs the outcome.
        TooLate, ///< The deadline has passed.
        Full, ///< The limit of retained attempts is reached.
    };

    explicit AttemptFence(std::size_t maxAttempts)
        : m_maxAttempts(maxAttempts)
    {
    }

    /// Whether the attempt may start. An accepted attempt is retained until its deadline.
    [[nodiscard]] Verdict admit(const std::string &sender, std::uint64_t incarnation,
                                const std::string &attempt, Milliseconds deadline,
                                Milliseconds now);

    [[nodiscard]] std::size_t size() const { return m_attempts.size(); }

private:
    void removeExpired(Milliseconds now);

    const std::size_t m_maxAttempts;
    std::unordered_map<std::string, std::uint64_t> m_incarnations;
    /// Deadlines by sender, incarnation and attempt.
    std::unordered_map<std::string, Milliseconds> m_attempts;
    std::multimap<Milliseconds, std::string> m_byDeadline;
};

/// The name of a verdict, for use as a reason.
[[nodiscard]] const char *fenceReason(AttemptFence::Verdict verdict);

} // namespace Camphor
