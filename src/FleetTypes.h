/// @file Data types of the fleet: instances with resources, queues with their rules, and jobs whose
/// tasks run under leases.
#pragma once

#include "Time.h"

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Camphor {

/// An amount of each resource of an instance.
struct ResourceVector
{
    std::int64_t cpuMillicores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    auto operator<=>(const ResourceVector &) const = default;

    /// Whether this amount fits into the available one.
    [[nodiscard]] bool fitsInto(const ResourceVector &available) const
    {
        return cpuMillicores <= available.cpuMillicores && memoryMb <= available.memoryMb
            && accelerators <= available.accelerators;
    }
    ResourceVector &operator+=(const ResourceVector &other)
    {
        cpuMillicores += other.cpuMillicores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }
    ResourceVector &operator-=(const ResourceVector &other)
    {
        cpuMillicores -= other.cpuMillicores;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }
    [[nodiscard]] ResourceVector operator-(const ResourceVector &other) const
    {
        auto difference = *this;
        difference -= other;
        return difference;
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(cpuMillicores, memoryMb, accelerators);
    }
};

/// Identifies one incarnation of an instance. An instance that restarts may keep its id; it then
/// has a later start time and has lost its state.
struct InstanceKey
{
    std::string id;
    std::uint64_t startTimeMs = 0; ///< Unix time of the process start.

    auto operator<=>(const InstanceKey &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, startTimeMs);
    }
};

enum class InstanceState : std::uint8_t {
    Ready,
    Draining, ///< Finishes its current runs; must receive no new ones.
    Gone, ///< It left, or it has not reported within the timeout.
};

/// The latest report of an instance about itself.
struct InstanceReport
{
    InstanceKey key;
    std::uint64_t sequence = 0; ///< Increases with each report of one incarnation.
    InstanceState state = InstanceState::Ready;
    std::string service;
    std::string address; ///< "IP:PORT" for orders.
    std::string domain; ///< Failure domain.
    ResourceVector capacity;
    std::vector<std::string> labels;
    std::uint32_t warmupMs = 0; ///< Remaining time for which it is slow after its start.

    [[nodiscard]] bool hasLabel(const std::string &label) const
    {
        return std::ranges::find(labels, label) != labels.end();
    }

    auto operator<=>(const InstanceReport &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, sequence, state, service, address, domain, capacity, labels, warmupMs);
    }
};

/// The rules of one queue of jobs.
struct QueueRule
{
    std::string name;
    std::string host; ///< Callers address the queue by host and path prefix.
    std::string pathPrefix;
    std::string service; ///< Service whose instances run the tasks.
    std::uint32_t timeoutMs = 0;
    /// Latency objective, in addition to stretch times the critical path.
    std::uint32_t targetMs = 0;
    double stretch = 1.0; ///< Latency objective as a multiple of the job's critical path.
    /// A task whose runs have failed this often has failed for good.
    std::uint32_t maxAttempts = 1;
    std::uint32_t priority = 0; ///< 0 is the highest priority.

    auto operator<=>(const QueueRule &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, host, pathPrefix, service, timeoutMs, targetMs, stretch, maxAttempts,
                priority);
    }
};

/// The configuration of one version, read from an operator's text.
struct FleetConfiguration
{
    std::uint64_t version = 0;
    std::vector<QueueRule> queues;

    auto operator<=>(const FleetConfiguration &) const = default;

    /// The queue whose host is equal and whose path prefix is the longest that the path begins
    /// with. Both hosts must be canonical, see canonicalHost().
    [[nodiscard]] const QueueRule *route(std::string_view host, std::string_view path) const;
    [[nodiscard]] const QueueRule *find(std::string_view name) const;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, queues);
    }
};

/// The failure domains on whose instances nothing may be started, by order of operators. The
/// revision grows with each change, so that what is known is only replaced by something newer.
struct DomainDrains
{
    std::uint64_t revision = 0; ///< 0 if no domain was ever drained.
    std::vector<std::string> domains; ///< Sorted.

    auto operator<=>(const DomainDrains &) const = default;

    [[nodiscard]] bool contains(const std::string &domain) const
    {
        return std::ranges::binary_search(domains, domain);
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(revision, domains);
    }
};

/// One step of a job: equal tasks that may run at the same time.
struct JobStep
{
    std::uint32_t taskCount = 1;
    ResourceVector demand; ///< Resources that each task needs.
    std::uint32_t estimatedMs = 0; ///< Rough estimate that may be far off.
    std::vector<std::uint32_t> dependsOn; ///< Indices of earlier steps that must be done first.
    std::string requiredLabel; ///< Empty for none.
    std::string preferredRack; ///< Where the data is; empty for none.
    std::uint32_t maxPerInstance = 0; ///< 0 for no limit.

    auto operator<=>(const JobStep &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(taskCount, demand, estimatedMs, dependsOn, requiredLabel, preferredRack,
                maxPerInstance);
    }
};

/// A job that is not persisted: the response is sent when it has ended.
struct FleetJob
{
    std::string id; ///< Chosen by the caller; a resubmission has the same one.
    std::string queue;
    std::string payload; ///< Passed to each task unchanged.
    std::vector<JobStep> steps;
    /// Milliseconds that the caller has already waited when the job is submitted to a holder.
    double waitedMs = 0;

    auto operator<=>(const FleetJob &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, queue, payload, steps, waitedMs);
    }
};

/// About how many bytes a job takes in the process that has it.
[[nodiscard]] std::size_t memoryOf(const FleetJob &job);

/// Identifies one submission of a job within one process. A job that is submitted again keeps its
/// id, and its runs are numbered from 1 again, so these alone do not tell the two submissions
/// apart.
struct JobKey
{
    std::string id;
    std::uint64_t submission = 0; ///< Increases with each submission that the process receives.

    auto operator<=>(const JobKey &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, submission);
    }
};

enum class JobVerdict : std::uint8_t {
    Completed, ///< Every task has succeeded.
    Failed, ///< A task has failed for good.
    NotRun, ///< Refused: no task has started or will start.
    Unknown, ///< A task may have started, and the result is unknown.
};

[[nodiscard]] const char *jobVerdictName(JobVerdict verdict);

/// How a job ended.
struct JobOutcome
{
    JobVerdict verdict = JobVerdict::Unknown;
    std::string reason;
    std::uint32_t retryAfterMs = 0; ///< With NotRun: delay after which the caller should retry.

    auto operator<=>(const JobOutcome &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(verdict, reason, retryAfterMs);
    }
};

/// Identifies one run of one task on an instance.
struct RunKey
{
    std::string task; ///< "JOB.OCCURRENCE.STEP.INDEX".
    std::uint64_t run = 0; ///< Increases with each start of the task.

    auto operator<=>(const RunKey &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(task, run);
    }
};

enum class RunEnd : std::uint8_t {
    Done,
    Failed,
    Stopped,
    LeaseExpired, ///< Its lease expired, or it was lost with its instance.
    Broken, ///< Another task of its gang ended, or the gang was never complete.
};

[[nodiscard]] const char *runEndName(RunEnd end);

/// A run that an instance lists as running.
struct RunningRun
{
    RunKey key;
    std::uint32_t percent = 0;

    auto operator<=>(const RunningRun &) const = default;
};

/// A run that an instance lists as ended, until it is acknowledged.
struct EndedRun
{
    /// Sequence number of the end within one incarnation of the instance, from 1.
    std::uint64_t number = 0;
    RunKey key;
    RunEnd end = RunEnd::Done;

    auto operator<=>(const EndedRun &) const = default;
};

/// Grants one entry the right to give orders to the instances of a cell, which is a fixed part of a
/// failure domain that one entry can serve. The fencing token increases with every change of the
/// holder, and instances reject tokens lower than the highest that they have seen.
struct CellGrant
{
    std::string domain;
    std::uint32_t cell = 0; ///< Index in the domain.
    std::uint32_t cellCount = 1; ///< Number of cells in the domain.
    std::string holder; ///< Name of the entry.
    std::string address; ///< "IP:PORT" for RPC.
    std::uint64_t incarnation = 0; ///< Of the entry's process.
    std::uint64_t token = 0;

    auto operator<=>(const CellGrant &) const = default;

    /// The name of the cell: "DOMAIN/INDEX".
    [[nodiscard]] std::string name() const { return domain + "/" + std::to_string(cell); }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(domain, cell, cellCount, holder, address, incarnation, token);
    }
};

} // namespace Camphor
