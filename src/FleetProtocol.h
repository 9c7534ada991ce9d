/// @file Messages between entries and control instances, and between entries, of a fleet whose
/// instances run tasks under leases.
#pragma once

#include "CrashHistory.h"
#include "FleetTypes.h"
#include "Frame.h"
#include "RaftCore.h"
#include "Result.h"
#include "TextDelta.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Camphor {

/// Identifies one process of an entry.
struct EntryIdentity
{
    std::string name;
    std::string domain;
    std::string address; ///< RPC, "IP:PORT".
    std::uint64_t incarnation = 0; ///< Increases with each start of the process.

    auto operator<=>(const EntryIdentity &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, domain, address, incarnation);
    }
};

/// Asks a control instance for changes that the entry does not know yet. The reply is sent at once
/// if there are any, and otherwise after the wait. Also serves as the entry's heartbeat.
struct WatchFleetRequest
{
    EntryIdentity entry;
    bool isLeaving = false; ///< The entry shuts down and must hold no cell.
    /// Holders in its domain with which it had recent contact.
    std::vector<std::string> reachableHolders;
    std::uint32_t instances = 0; ///< Number of known instances in its domain.
    std::uint64_t directoryEpoch = 0; ///< Epoch of the control process that assigned the revision.
    std::uint64_t directoryRevision = 0;
    std::uint64_t documentVersion = 0; ///< Newest version that the entry has heard of.
    std::uint64_t lastToken = 0;
    std::uint32_t waitMs = 0;
    /// Losses that the entry has; a revision of the same process as directoryRevision.
    std::uint64_t lossRevision = 0;
    std::uint64_t drainRevision = 0; ///< Of the drained domains that the entry knows.
    double cpuShare = 1.0; ///< Processor of the entry, in cores.

    /// Fails if the entry has no name, an address that no other process can call, or an impossible
    /// processor.
    [[nodiscard]] Status check() const;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(entry, isLeaving, reachableHolders, instances, directoryEpoch, directoryRevision,
                documentVersion, lastToken, waitMs, lossRevision, drainRevision, cpuShare);
    }
};

struct FleetUpdate
{
    std::uint64_t directoryEpoch = 0;
    std::uint64_t directoryRevision = 0;
    std::vector<InstanceReport> instances; ///< Instances that changed.
    std::uint64_t documentVersion = 0; ///< Fetched by FetchDocumentRequest.
    std::vector<CellGrant> grants;
    std::vector<std::string> controlAddresses; ///< RPC addresses of members and candidates.
    bool isLeader = false;
    std::uint64_t lossRevision = 0; ///< Of the last of the losses.
    /// Losses that the entry lacks, oldest first, at most MaxLossesPerMessage.
    std::vector<InstanceLoss> losses;
    DomainDrains drains; ///< Empty if the entry knows this revision or a later one.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(directoryEpoch, directoryRevision, instances, documentVersion, grants,
                controlAddresses, isLeader, lossRevision, losses, drains);
    }
};

/// Bounds of the losses in a message: the largest message takes half of DefaultMaxFrameBytes, and
/// far more tasks than an instance runs fit into a loss.
inline constexpr std::size_t MaxLossesPerMessage = 256;
inline constexpr std::size_t MaxTasksPerLoss = 256;
inline constexpr std::size_t MaxTaskNameBytes = 128;
inline constexpr std::size_t MaxLostInstanceIdBytes = 256;

/// Whether a request can start work. Such a request is handled only while it is young: its sender
/// may have lost its reason since, and the work may run elsewhere. All others are handled however
/// late; a cancellation that is refused for its age would let the work run on.
[[nodiscard]] constexpr bool startsWork(MessageKind kind)
{
    return kind == MessageKind::SubmitJob || kind == MessageKind::OfferRuns;
}

/// Fails if a loss names no instance, or exceeds the bounds of a message.
[[nodiscard]] Status checkLoss(const InstanceLoss &loss);

/// Tells a control instance of lost instances. It passes them on to all entries that poll it, and
/// keeps them in memory only. The reply has no payload.
struct ReportLossesRequest
{
    std::vector<InstanceLoss> losses;

    /// Fails if there are too many losses, or checkLoss() fails for one of them.
    [[nodiscard]] Status check() const;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(losses);
    }
};

/// Asks a control instance for the newest configuration. An entry asks one member only: it can be
/// large, and all members announce a new version at about the same time.
struct FetchDocumentRequest
{
    std::uint64_t heldVersion = 0; ///< Version that the entry holds; 0 for none.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(heldVersion);
    }
};

struct FetchDocumentReply
{
    std::uint64_t version = 0; ///< 0 if this member has no newer version.
    std::uint64_t baseVersion = 0; ///< Version that the delta applies to; 0 for whole content.
    TextDelta delta;
    std::string content; ///< The encoded configuration; set if baseVersion is 0.

    auto operator<=>(const FetchDocumentReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, baseVersion, delta, content);
    }
};

/// Sent by a control instance that is no member or has no contact with a leader, to become a
/// member, and by one whose process is about to end.
struct JoinGroupRequest
{
    RaftMember member;
    bool isLeaving = false; ///< The process is about to end and asks to be replaced.

    /// Fails if the member has no name, or an address that no other process can call.
    [[nodiscard]] Status check() const;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(member, isLeaving);
    }
};

struct JoinGroupReply
{
    std::string member; ///< Name of the sender of the request.
    /// The name was removed from the group for good: the member must rejoin under another one.
    bool isRemoved = false;
    bool isMember = false;
    /// Only the leader sets it: a leaving sender need not wait, because nothing can replace it.
    bool mayLeave = false;
    std::string leaderAddress; ///< RPC; empty if unknown.
    std::vector<std::string> controlAddresses;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(member, isRemoved, isMember, mayLeave, leaderAddress, controlAddresses);
    }
};

/// The group's response to an operator's change or read.
struct OperatorResponse
{
    bool isDone = false; ///< Otherwise the request may be retried, at any member.
    std::uint64_t version = 0; ///< Set by a read.
    std::string text;

    auto operator<=>(const OperatorResponse &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(isDone, version, text);
    }
};

/// The reason of a refusal by an entry that cannot start the job on any instance that it holds. The
/// requester tries another holder.
inline constexpr const char *NotHolderReason = "not-holder";

/// Submits a job to the holder of a cell. The reply is a JobOutcome, sent when the job has ended.
struct SubmitJobRequest
{
    FleetJob job;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(job);
    }
};

struct CancelJobRequest
{
    std::string jobId;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(jobId);
    }
};

} // namespace Camphor
