#include "EntryMetrics.h"

#include <prometheus/text_serializer.h>

namespace Camphor {

EntryMetrics::EntryMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_lateResponses(counter("camphorspindle_late_answers_total",
                              "Target responses to abandoned attempts; all were discarded."))
    , m_ledgerMessages(counter("camphorspindle_ledger_requests_total",
                               "Claims, ends and queries sent to the ledger."))
    , m_peerMessages(
          counter("camphorspindle_peer_requests_total", "Requests sent to peer entries."))
    , m_digests(counter("camphorspindle_digests_total", "Digests sent to peer entries."))
    , m_invalidRequests(counter("camphorspindle_invalid_requests_total",
                                "Requests rejected because of invalid input."))
{
    auto &responses = prometheus::BuildCounter()
                          .Name("camphorspindle_answers_total")
                          .Help("Responses to callers by outcome.")
                          .Register(*m_registry);
    auto &attempts = prometheus::BuildCounter()
                         .Name("camphorspindle_attempts_total")
                         .Help("Calls to targets by how the attempt ended.")
                         .Register(*m_registry);
    for (std::size_t n = 0; n < m_responses.size(); ++n) {
        m_responses[n] = &responses.Add({{"outcome", outcomeName(static_cast<Outcome>(n))}});
        m_attempts[n] = &attempts.Add({{"end", attemptEndName(static_cast<AttemptEnd>(n))}});
    }
}

prometheus::Counter &EntryMetrics::counter(const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry).Add({});
}

void EntryMetrics::setGauge(const std::string &name, const std::string &label,
                            const std::string &value, double number)
{
    auto &family = prometheus::BuildGauge().Name(name).Register(*m_registry);
    family.Add(label.empty() ? prometheus::Labels{} : prometheus::Labels{{label, value}})
        .Set(number);
}

std::string EntryMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace Camphor
