/// @file How long to wait for a connection, and how long until the next attempt.
#pragma once

#include "Time.h"

#include <compare>

namespace Camphor {

struct ConnectRetrySettings
{
    /// After a restart of all processes, a peer may start to listen a moment later than this
    /// process. The opening packet of an earlier attempt is lost then and is resent only after
    /// seconds, so the first attempts are short.
    Milliseconds startTimeout{60};
    Milliseconds startRetryDelay{20};
    /// Later attempts take the full time, because a peer may be further away than startTimeout.
    int startAttempts = 10;
    Milliseconds timeout{300};
    Milliseconds retryDelay{250};

    auto operator<=>(const ConnectRetrySettings &) const = default;
};

/// One attempt to connect.
struct ConnectAttempt
{
    Milliseconds timeout;
    Milliseconds retryDelay; ///< Until the next attempt, if this one fails.

    auto operator<=>(const ConnectAttempt &) const = default;
};

/// @param failures of this peer in a row.
/// @param isStarting no peer has ever replied to this process.
[[nodiscard]] ConnectAttempt connectAttempt(const ConnectRetrySettings &settings, int failures,
                                            bool isStarting);

} // namespace Camphor
