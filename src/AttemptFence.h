/// @file Makes sure that an attempt that a peer has placed here starts at most once.
#pragma once

#include "Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace Camphor {

/// The attempts that were received or cancelled, by sender. A pure state machine; not thread-safe.
class AttemptFence
{
public:
    enum class Verdict {
        Accepted,
        Duplicate, ///< It was received, or cancelled, before.
        OldIncarnation, ///< The sender has restarted since; nobody waits for the outcome.
        TooLate, ///< The deadline has passed.
        Full, ///< Too many attempts are remembered.
    };

    explicit AttemptFence(std::size_t maxAttempts)
        : m_maxAttempts(maxAttempts)
    {
    }

    /// Whether the attempt may start. An accepted one is remembered until its deadline.
    [[nodiscard]] Verdict admit(const std::string &sender, std::uint64_t incarnation,
                                const std::string &attempt, Milliseconds deadline,
                                Milliseconds now);

    [[nodiscard]] std::size_t size() const { return m_attempts.size(); }

private:
    void forgetExpired(Milliseconds now);

    const std::size_t m_maxAttempts;
    std::unordered_map<std::string, std::uint64_t> m_incarnations;
    std::unordered_map<std::string, Milliseconds> m_attempts; ///< Deadline by sender and attempt.
    std::multimap<Milliseconds, std::string> m_byDeadline;
};

/// The name of a verdict, as a reason.
[[nodiscard]] const char *fenceReason(AttemptFence::Verdict verdict);

} // namespace Camphor
