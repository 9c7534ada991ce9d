/// @file Counters and gauges of an entry, exported in the Prometheus text format.
#pragma once

#include "Outcome.h"
#include "TargetCaller.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>
#include <memory>
#include <string>

namespace Camphor {

/// All metrics of one entry. The counters are thread-safe.
class EntryMetrics
{
public:
    EntryMetrics();

    void countResponse(Outcome outcome)
    {
        m_responses[static_cast<std::size_t>(outcome)]->Increment();
    }
    void countAttempt(AttemptEnd end) { m_attempts[static_cast<std::size_t>(end)]->Increment(); }
    void countInvalidRequest() { m_invalidRequests.Increment(); }
    void countLateResponse() { m_lateResponses.Increment(); }
    void countLedgerMessage() { m_ledgerMessages.Increment(); }
    void countPeerMessage() { m_peerMessages.Increment(); }
    void countDigest() { m_digests.Increment(); }
    /// Sets a gauge by name and label; creates it on first use.
    void setGauge(const std::string &name, const std::string &label, const std::string &value,
                  double number);

    /// Returns the text served at /metrics.
    [[nodiscard]] std::string text() const;

private:
    prometheus::Counter &counter(const std::string &name, const std::string &help);

    std::shared_ptr<prometheus::Registry> m_registry;
    // Looked up once, because finding a counter by its labels costs more than incrementing it.
    std::array<prometheus::Counter *, 4> m_responses{}; ///< By Outcome.
    std::array<prometheus::Counter *, 4> m_attempts{}; ///< By AttemptEnd.
    prometheus::Counter &m_lateResponses;
    prometheus::Counter &m_ledgerMessages;
    prometheus::Counter &m_peerMessages;
    prometheus::Counter &m_digests;
    prometheus::Counter &m_invalidRequests;
};

} // namespace Camphor
