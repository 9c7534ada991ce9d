/// @file The timeouts that end the runs of a job before its caller sends it again.
#pragma once

#include "Result.h"
#include "Time.h"

#include <compare>

namespace Camphor {

/// What the timeouts are derived from.
struct ResubmissionSettings
{
    Milliseconds resendAfter{1'300}; ///< Minimum time after which callers resend.
    Milliseconds maxLease{1'000}; ///< The longest lease that an instance grants.
    double clockDrift = 0.02; ///< An instance's clock may run slower by this fraction.

    auto operator<=>(const ResubmissionSettings &) const = default;
};

/// The timeouts of entries and holders. A resubmission may reach any holder, so nothing but these
/// keeps it from running beside its first submission. An entry first treats an unreachable holder
/// as lost, then the holder stops the runs of an unreachable entry, and their leases expire last.
class ResubmissionTimeouts
{
public:
    /// Fails if the runs could outlive the time after which callers resend.
    [[nodiscard]] static Result<ResubmissionTimeouts> make(const ResubmissionSettings &settings);

    /// A holder without contact for this long is lost.
    [[nodiscard]] Milliseconds holderTimeout() const { return m_holderTimeout; }
    /// A requester without contact for this long is lost, and its runs are stopped.
    [[nodiscard]] Milliseconds requesterTimeout() const { return m_requesterTimeout; }
    /// What a requester sent before it ended is handled within this time, or not at all.
    [[nodiscard]] Milliseconds maxRequestAge() const { return m_maxRequestAge; }
    /// Interval at which a requester shows a holder that it is there; the longest gap is twice
    /// this.
    [[nodiscard]] Milliseconds pingPeriod() const { return m_pingPeriod; }
    /// Maximum wait of an order that renews a lease.
    [[nodiscard]] Milliseconds holdWait() const { return m_holdWait; }
    /// A longer pause of a holder ends the jobs of its requesters.
    [[nodiscard]] Milliseconds pauseThreshold() const { return m_pauseThreshold; }
    /// Shorter than renewalTimeout(), so that a run may start beside others whose lease was just
    /// renewed, some time after the last contact with its own requester.
    [[nodiscard]] Milliseconds lease() const { return m_lease; }
    /// No lease is renewed beyond this time after the last contact with the requester of one of its
    /// runs, so that a second fault, such as a stop without a reply, adds nothing to it.
    [[nodiscard]] Milliseconds renewalTimeout() const { return m_renewalTimeout; }

    /// Longest time from when an entry has ended, or has cancelled a submission, to the end of its
    /// runs, whatever reaches the instances from then on.
    [[nodiscard]] Milliseconds longestRunAfterRequester() const;

    auto operator<=>(const ResubmissionTimeouts &) const = default;

private:
    explicit ResubmissionTimeouts(const ResubmissionSettings &settings);

    Milliseconds m_holderTimeout;
    Milliseconds m_requesterTimeout;
    Milliseconds m_maxRequestAge;
    Milliseconds m_renewalTimeout;
    Milliseconds m_pingPeriod;
    Milliseconds m_pauseThreshold;
    Milliseconds m_lease;
    Milliseconds m_holdWait;
    double m_clockDrift;
};

} // namespace Camphor
