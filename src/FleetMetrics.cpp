#include "FleetMetrics.h"

#include "Log.h"

#include <prometheus/text_serializer.h>

namespace Camphor {

namespace {

/// In seconds. Latency objectives lie between 0.15 and 6 s.
const prometheus::Histogram::BucketBoundaries JobBuckets{0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};
const prometheus::Histogram::BucketBoundaries WaitBuckets{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5};
const prometheus::Histogram::BucketBoundaries StoreBuckets{0.01, 0.02, 0.05, 0.1, 0.5, 1, 4};

template <typename Builder>
auto &family(Builder builder, prometheus::Registry &registry, const std::string &name,
             const std::string &help)
{
    return builder.Name(name).Help(help).Register(registry);
}

} // namespace

FleetMetrics::FleetMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_jobs(family(prometheus::BuildCounter(), *m_registry, "camphorspindle_jobs_total",
                    "Jobs with a response, by queue and verdict."))
    , m_jobTime(family(prometheus::BuildHistogram(), *m_registry, "camphorspindle_job_seconds",
                       "Time from the call to the response of completed jobs, by queue."))
    , m_startWait(family(prometheus::BuildHistogram(), *m_registry,
                         "camphorspindle_start_wait_seconds",
                         "Time from a job's arrival at its holder to the start of a run.")
                      .Add({}, WaitBuckets))
    , m_runEnds(family(prometheus::BuildCounter(), *m_registry, "camphorspindle_run_ends_total",
                       "Runs that ended, by how they ended."))
    , m_orders(family(prometheus::BuildCounter(), *m_registry, "camphorspindle_orders_total",
                      "Orders to instances, by order and result."))
    , m_offers(family(prometheus::BuildCounter(), *m_registry, "camphorspindle_offers_total",
                      "Jobs offered to other holders, by whether they accepted them."))
    , m_expiredRequests(family(prometheus::BuildCounter(), *m_registry,
                               "camphorspindle_requests_expired_total",
                               "Submissions and offers of other entries refused for their age."))
    , m_reports(family(prometheus::BuildCounter(), *m_registry, "camphorspindle_reports_total",
                       "Reports of instances, by whether they could be read."))
    , m_stores(family(prometheus::BuildCounter(), *m_registry,
                      "camphorspindle_configuration_changes_total",
                      "Changes of the configuration, by result."))
    , m_storeTime(family(prometheus::BuildHistogram(), *m_registry,
                         "camphorspindle_configuration_store_seconds",
                         "Time until a change was on a majority of disks.")
                      .Add({}, StoreBuckets))
{
}

double FleetMetrics::toSeconds(Milliseconds duration)
{
    constexpr double SecondsPerMs = 1e-3;
    return duration.count() * SecondsPerMs;
}

void FleetMetrics::countJob(const std::string &queue, JobVerdict verdict, Milliseconds elapsed)
{
    m_jobs.Add({{"queue", queue}, {"verdict", jobVerdictName(verdict)}}).Increment();
    if (verdict == JobVerdict::Completed)
        m_jobTime.Add({{"queue", queue}}, JobBuckets).Observe(toSeconds(elapsed));
}

void FleetMetrics::countRunEnd(RunEnd end)
{
    m_runEnds.Add({{"end", runEndName(end)}}).Increment();
}

void FleetMetrics::countOrder(const char *order, OrderResult result)
{
    m_orders.Add({{"order", order}, {"result", orderResultName(result)}}).Increment();
}

void FleetMetrics::countOffer(bool isAccepted)
{
    m_offers.Add({{"taken", isAccepted ? "true" : "false"}}).Increment();
}

void FleetMetrics::countExpiredRequest() { m_expiredRequests.Add({}).Increment(); }

void FleetMetrics::countReport(bool isReadable)
{
    m_reports.Add({{"readable", isReadable ? "true" : "false"}}).Increment();
}

void FleetMetrics::countStore(const char *result, Milliseconds elapsed)
{
    m_stores.Add({{"result", result}}).Increment();
    m_storeTime.Observe(toSeconds(elapsed));
}

void FleetMetrics::setGauge(const std::string &name, const std::string &help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add({}).Set(value);
}

std::string FleetMetrics::text() const
{
    prometheus::BuildGauge()
        .Name("camphorspindle_log_lines_left_out")
        .Help("Log lines dropped since the process start.")
        .Register(*m_registry)
        .Add({})
        .Set(static_cast<double>(omittedLogLines()));
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace Camphor
