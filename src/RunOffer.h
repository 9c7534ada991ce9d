/// @file Messages by which the holder of a cell lets the holder of another cell run tasks that do
/// not fit into its own cell.
#pragma once

#include "FleetTypes.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Camphor {

/// A run that the other holder may start.
struct OfferedRun
{
    RunKey key;
    std::vector<std::string> avoid; ///< Instances on which it must not start.

    auto operator<=>(const OfferedRun &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, avoid);
    }
};

/// Offers runs of one step of a job. The offering holder keeps the job: it counts failures and
/// decides what happens after the end of a run. The reply is a RunOfferReply, sent at once.
struct RunOffer
{
    std::string jobId;
    std::string queue;
    std::string payload;
    std::uint32_t stepIndex = 0;
    JobStep step;
    std::vector<OfferedRun> runs;
    bool allOrNone = false; ///< Start all of the runs, or none.

    auto operator<=>(const RunOffer &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(jobId, queue, payload, stepIndex, step, runs, allOrNone);
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
    std::vector<RunKey> runs;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(runs);
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

    auto operator<=>(const RunOutcome &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, end, isUnknown, elapsedMs, instance);
    }
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
    std::vector<RunKey> runs;

    auto operator<=>(const StopRunsRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(runs);
    }
};

} // namespace Camphor
