/// @file Counters and histograms of an entry or a control instance of a fleet.
#pragma once

#include "FleetTypes.h"
#include "InstanceOrders.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace Camphor {

/// Label values are bounded: queues by their declared name, verdicts, results and ends.
class FleetMetrics
{
public:
    FleetMetrics();

    /// Counts a response to a job, this long after the call.
    void countJob(const std::string &queue, JobVerdict verdict, Milliseconds elapsed);
    /// Counts the start of a run, this long after its job arrived.
    void countStart(Milliseconds waited) { m_startWait.Observe(toSeconds(waited)); }
    void countRunEnd(RunEnd end);
    /// Counts an order to an instance, with the reply or its absence as the result.
    void countOrder(const char *order, OrderResult result);
    void countOffer(bool isAccepted);
    /// Counts a request of another entry that was refused for its age.
    void countExpiredRequest();
    void countReport(bool isReadable);
    void countStore(const char *result, Milliseconds elapsed);
    /// Sets a gauge by name; the first call determines its help text.
    void setGauge(const std::string &name, const std::string &help, double value);

    /// The response body of /metrics.
    [[nodiscard]] std::string text() const;

private:
    static double toSeconds(Milliseconds duration);

    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_jobs;
    prometheus::Family<prometheus::Histogram> &m_jobTime;
    prometheus::Histogram &m_startWait;
    prometheus::Family<prometheus::Counter> &m_runEnds;
    prometheus::Family<prometheus::Counter> &m_orders;
    prometheus::Family<prometheus::Counter> &m_offers;
    prometheus::Family<prometheus::Counter> &m_expiredRequests;
    prometheus::Family<prometheus::Counter> &m_reports;
    prometheus::Family<prometheus::Counter> &m_stores;
    prometheus::Histogram &m_storeTime;
};

} // namespace Camphor
