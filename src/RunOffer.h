/// @file Messages by which the holder of a cell lets the holder of another cell run tasks that do
/// not fit into its own cell.
#pragma once

#include "CrashHistory.h"
#include "FleetTypes.h"
#include "Result.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace Camphor {

/// Whether a time since an event, in ms, is possible.
[[nodiscard]] inline bool isValidAge(double ageMs) { return std::isfinite(ageMs) && ageMs >= 0; }

/// A run that the other holder may start.
struct OfferedRun
{
    RunKey key;
    std::vector<std::string> avoid; ///< Instances on which it must not start.
    /// What the offering holder knows of the task, before the other one may have heard of it.
    TaskSuspicion suspicion = TaskSuspicion::None;

    auto operator<=>(const OfferedRun &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, avoid, suspicion);
    }
};

/// Offers runs of one step of a job. The offering holder keeps the job: it counts failures and
/// decides what happens after the end of a run. The reply is a RunOfferReply, sent at once.
struct RunOffer
{
    JobKey job; ///< Of the offering holder.
    std::string queue;
    std::string payload;
    std::uint32_t stepIndex = 0;
    JobStep step;
    std::vector<OfferedRun> runs;
    bool allOrNone = false; ///< Start all of the runs, or none.
    /// When the offer was sent, time since the last contact with the requester of the job.
    double requesterAgeMs = 0;
    double dueInMs = 0; ///< When the offer was made, time until the response is due.

    /// Fails if the age is not a finite time in the past, or the response is due in the past.
    [[nodiscard]] Status check() const
    {
        return isValidAge(requesterAgeMs) && isValidAge(dueInMs)
            ? okStatus()
            : Error{ErrorCode::InvalidMessage, "invalid requester age or due time"};
    }

    auto operator<=>(const RunOffer &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(job, queue, payload, stepIndex, step, runs, allOrNone, requesterAgeMs, dueInMs);
    }
};

/// Identifies a run that was accepted from another holder, for as long as its process lives.
struct AcceptedRunKey
{
    std::string requester; ///< Connection of the holder that has the job.
    std::uint64_t submission = 0; ///< Of the job at that holder.
    RunKey run;

    auto operator<=>(const AcceptedRunKey &) const = default;
};

/// How long ago the requester of a job was last in contact with the holder that has the job.
struct RequesterAge
{
    JobKey job; ///< Of the sending holder.
    double ageMs = 0;

    auto operator<=>(const RequesterAge &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(job, ageMs);
    }
};

/// The payload of a ping to a holder that has accepted runs, so that it renews no lease for longer
/// than their requesters allow. Has all jobs of the sender with runs there.
struct RequesterAges
{
    std::vector<RequesterAge> jobs;

    /// Fails if an age is not a finite time in the past.
    [[nodiscard]] Status check() const
    {
        const bool isValid =
            std::ranges::all_of(jobs, [](const RequesterAge &it) { return isValidAge(it.ageMs); });
        return isValid ? okStatus() : Error{ErrorCode::InvalidMessage, "invalid requester age"};
    }

    auto operator<=>(const RequesterAges &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(jobs);
    }
};

struct RunOfferReply
{
    std::vector<RunKey> started;

    auto operator<=>(const RunOfferReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(started);
    }
};

/// Waits for the end of accepted runs. The reply is an AwaitRunsReply, sent when at least one of
/// them has ended.
struct AwaitRunsRequest
{
    JobKey job; ///< Of the requesting holder.
    std::vector<RunKey> runs;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(job, runs);
    }
};

/// How a run has ended, for the holder that has the job.
struct RunOutcome
{
    RunKey key;
    RunEnd end = RunEnd::LeaseExpired;
    /// The holder has lost its cell, so the run may go on.
    bool isUnknown = false;
    double elapsedMs = 0; ///< Time since its start order.
    std::string instance;
    /// What the holder of the instance knows of the task.
    TaskSuspicion suspicion = TaskSuspicion::None;

    auto operator<=>(const RunOutcome &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, end, isUnknown, elapsedMs, instance, suspicion);
    }
};

/// How an accepted run has ended.
struct AcceptedRunEnd
{
    AcceptedRunKey key;
    RunOutcome outcome;

    auto operator<=>(const AcceptedRunEnd &) const = default;
};

struct AwaitRunsReply
{
    std::vector<RunOutcome> ends;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(ends);
    }
};

/// Stops accepted runs whose job has ended. The reply is empty.
struct StopRunsRequest
{
    JobKey job; ///< Of the requesting holder.
    std::vector<RunKey> runs;

    auto operator<=>(const StopRunsRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(job, runs);
    }
};

} // namespace Camphor
