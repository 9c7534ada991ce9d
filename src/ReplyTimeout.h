/// @file The time after which a request to an instance counts as unanswered.
#pragma once

#include "Time.h"

namespace Camphor {

struct ReplyTimeoutSettings
{
    Milliseconds minTimeout{30};
    Milliseconds maxTimeout{100}; ///< Also applies before the first reply.

    auto operator<=>(const ReplyTimeoutSettings &) const = default;
};

/// Derives the timeout from the measured times of replies, as TCP does for retransmissions: the
/// smoothed time plus four times its mean deviation (Jacobson 1988). Delays of this process count
/// too, so that a busy process does not take late replies for lost ones. Performs no I/O.
class ReplyTimeout
{
public:
    explicit ReplyTimeout(const ReplyTimeoutSettings &settings)
        : m_settings(settings)
    {
    }

    /// Adds the time from a request to its reply.
    void addReply(Milliseconds elapsed);
    [[nodiscard]] Milliseconds timeout() const;

private:
    ReplyTimeoutSettings m_settings;
    bool m_hasSample = false;
    Milliseconds m_smoothed;
    Milliseconds m_deviation;
};

} // namespace Camphor
