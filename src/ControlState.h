/// @file The replicated state of the control group: declarations, replica sets and the bucket map.
#pragma once

#include "Declaration.h"
#include "FleetTypes.h"
#include "ReplicaSetStore.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Camphor {

/// The outcome of a command.
enum class ControlOutcome : std::uint8_t {
    Accepted,
    Conflict, ///< Another change was accepted first; the reply contains both versions.
    Invalid, ///< The command can't be applied to the current state.
    NotLeader, ///< Retry at the leader that the reply names.
    Unknown, ///< The change may have been accepted; retry with the same request id.
    Unavailable, ///< Nothing was changed; retry, if necessary at another member.
    Refused, ///< The token is wrong.
};

[[nodiscard]] const char *controlOutcomeName(ControlOutcome outcome);

/// Replaces the declaration of one version by the next one.
struct ApplyCommand
{
    std::string requestId;
    std::uint64_t expectedVersion = 0; ///< The version that the change is based on.
    std::string text;
    std::vector<std::string> domains; ///< The failure domains that the text declares, so that the
                                      ///< text need not be parsed when the command is applied.
    double timeMs = 0; ///< Wall clock of the leader; only shown to operators.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, expectedVersion, text, domains, timeMs);
    }
};

/// The reply to an ApplyCommand. A retry gets the same reply.
struct ApplyReply
{
    ControlOutcome outcome = ControlOutcome::Unavailable;
    std::uint64_t version = 0; ///< With Accepted: the version of the text.
    std::uint64_t expectedVersion = 0;
    std::uint64_t currentVersion = 0; ///< Version at the time when the command was first applied.
    std::string message;
    std::string leader; ///< With NotLeader: the leader's RPC address, or empty.

    auto operator<=>(const ApplyReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(outcome, version, expectedVersion, currentVersion, message, leader);
    }
};

/// Replaces a failure domain's replica set if its epoch is the expected one.
struct CompareAndSetCommand
{
    std::string domain;
    std::uint64_t expectedEpoch = 0;
    ReplicaSet next;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(domain, expectedEpoch, next);
    }
};

struct ReplicaSetReply
{
    ControlOutcome outcome = ControlOutcome::Unavailable;
    ReplicaSet current;
    std::string message;
    std::string leader; ///< With NotLeader: the leader's RPC address, or empty.

    auto operator<=>(const ReplicaSetReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(outcome, current, message, leader);
    }
};

/// The failure domain whose ledger owns a bucket of keys.
struct BucketHome
{
    std::string domain; ///< Empty until a declaration lists failure domains.
    /// The next home, while the current one no longer grants claims and hands over its records;
    /// otherwise empty.
    std::string movingTo;
    std::uint64_t epoch = 0; ///< Incremented by each step of a move.

    auto operator<=>(const BucketHome &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(domain, movingTo, epoch);
    }
};

enum class BucketStep : std::uint8_t {
    Start, ///< The current home must stop granting claims.
    Finish, ///< The current home has handed over all records; the next home starts granting.
    Abort, ///< The move is cancelled; the current home resumes granting.
};

struct MoveBucketCommand
{
    std::uint32_t bucket = 0;
    std::uint64_t expectedEpoch = 0;
    BucketStep step = BucketStep::Start;
    std::string to; ///< The next home; used with Start only.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(bucket, expectedEpoch, step, to);
    }
};

struct MoveBucketReply
{
    ControlOutcome outcome = ControlOutcome::Unavailable;
    BucketHome current;
    std::string message;
    std::string leader; ///< With NotLeader: the leader's RPC address, or empty.

    auto operator<=>(const MoveBucketReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(outcome, current, message, leader);
    }
};

/// A configuration whose version was chosen by its writer.
struct StoredDocument
{
    std::uint64_t version = 0; ///< 0 for none.
    std::string text; ///< As the operator sent it, for reads.
    std::string content; ///< The encoded configuration, for entries.

    auto operator<=>(const StoredDocument &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, text, content);
    }
};

/// Stores a configuration; the highest version wins.
struct StoreDocumentCommand
{
    StoredDocument document;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(document);
    }
};

/// Reply to a StoreDocumentCommand. A version that is not higher than the stored one is accepted
/// and changes nothing.
struct StoreDocumentReply
{
    ControlOutcome outcome = ControlOutcome::Unavailable;
    std::uint64_t currentVersion = 0; ///< The stored version after the command.

    auto operator<=>(const StoreDocumentReply &) const = default;
};

/// Makes an entry the holder of a cell if the cell's fencing token is the expected one.
struct GrantCellCommand
{
    CellGrant next; ///< The token of this grant is assigned when the command is applied.
    std::uint64_t expectedToken = 0; ///< 0 if the cell was never granted.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(next, expectedToken);
    }
};

struct GrantCellReply
{
    ControlOutcome outcome = ControlOutcome::Unavailable;
    CellGrant current;

    auto operator<=>(const GrantCellReply &) const = default;
};

/// Starts or ends the drain of a failure domain. Idempotent. Also the request with which a member
/// forwards an operator's order to the leader; its reply is an OperatorResponse.
struct DrainDomainCommand
{
    std::string domain;
    bool isDrained = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(domain, isDrained);
    }
};

struct DrainDomainReply
{
    std::uint64_t revision = 0; ///< Of the drains after the command.

    auto operator<=>(const DrainDomainReply &) const = default;
};

/// An accepted version of the declaration.
struct VersionRecord
{
    std::uint64_t version = 0;
    std::string requestId;
    std::uint64_t textHash = 0;
    std::uint64_t textBytes = 0;
    double timeMs = 0;
    std::string text; ///< Empty once it was discarded because of the bound on retained texts.

    auto operator<=>(const VersionRecord &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, requestId, textHash, textBytes, timeMs, text);
    }
};

/// The replicated state machine. It is deterministic: the same commands in the same order give the
/// same state and replies on all members.
class ControlState
{
public:
    /// Bounds on retained history and replies. They are part of the state machine, so all members
    /// of a group must use the same values.
    static constexpr std::size_t MaxRecords = 5'000;
    static constexpr std::size_t MaxRequests = 10'000; ///< Retained replies; enough for five days
                                                       ///< at 2,000 changes a day.
    static constexpr std::size_t MaxRetainedTextBytes = std::size_t{4} * 1024 * 1024;

    [[nodiscard]] ApplyReply apply(const ApplyCommand &command);
    [[nodiscard]] ReplicaSetReply apply(const CompareAndSetCommand &command);
    [[nodiscard]] MoveBucketReply apply(const MoveBucketCommand &command);
    [[nodiscard]] StoreDocumentReply apply(const StoreDocumentCommand &command);
    [[nodiscard]] GrantCellReply apply(const GrantCellCommand &command);
    [[nodiscard]] DrainDomainReply apply(const DrainDomainCommand &command);

    [[nodiscard]] VersionedDeclaration current() const;
    [[nodiscard]] std::uint64_t version() const;
    /// The text of a version, or nothing if it was discarded or never existed.
    [[nodiscard]] std::optional<std::string> text(std::uint64_t version) const;
    [[nodiscard]] const std::deque<VersionRecord> &history() const { return m_history; }
    [[nodiscard]] ReplicaSet replicaSet(const std::string &domain) const;
    [[nodiscard]] const std::map<std::string, ReplicaSet> &replicaSets() const
    {
        return m_replicaSets;
    }
    [[nodiscard]] const std::vector<BucketHome> &buckets() const { return m_buckets; }

    /// The stored configuration with the highest version; version 0 while there is none.
    [[nodiscard]] const StoredDocument &document() const { return m_document; }
    /// The current grants, by cell name.
    [[nodiscard]] const std::map<std::string, CellGrant> &grants() const { return m_grants; }
    /// The fencing token of the newest grant.
    [[nodiscard]] std::uint64_t lastToken() const { return m_lastToken; }
    /// The failure domains that are drained.
    [[nodiscard]] const DomainDrains &drains() const { return m_drains; }

    /// The version of the bucket map. It increases with each step of a move and is 0 while there is
    /// no map.
    [[nodiscard]] std::uint64_t bucketVersion() const;

    [[nodiscard]] std::string encode() const;
    [[nodiscard]] static Result<ControlState> decode(std::string_view bytes);

    auto operator<=>(const ControlState &) const = default;

private:
    struct RecentRequest
    {
        std::string requestId;
        std::uint64_t expectedVersion = 0;
        std::uint64_t textHash = 0;
        ApplyReply reply;

        auto operator<=>(const RecentRequest &) const = default;

        template <typename Archive>
        void serialize(Archive &archive)
        {
            archive(requestId, expectedVersion, textHash, reply);
        }
    };

    [[nodiscard]] ApplyReply evaluate(const ApplyCommand &command, std::uint64_t hash);
    [[nodiscard]] std::string undeclaredHomeError(const std::vector<std::string> &domains) const;
    void appendVersion(const ApplyCommand &command, std::uint64_t hash);
    void retainReply(const ApplyCommand &command, std::uint64_t hash, const ApplyReply &reply);

    std::deque<VersionRecord> m_history; ///< Oldest first; the last one is the current version.
    std::size_t m_retainedTextBytes = 0;
    std::size_t m_discardedTexts = 0; ///< Number of records at the front of m_history whose text
                                      ///< was discarded.
    std::deque<RecentRequest> m_recentRequests; ///< Retained replies, oldest first.
    std::map<std::string, std::uint64_t> m_recentRequestsById; ///< Sequence numbers of the retained
                                                               ///< replies.
    std::uint64_t m_firstRequestNumber = 0; ///< Sequence number of m_recentRequests.front().
    std::map<std::string, ReplicaSet> m_replicaSets;
    std::vector<BucketHome> m_buckets;
    StoredDocument m_document;
    std::map<std::string, CellGrant> m_grants;
    std::uint64_t m_lastToken = 0;
    DomainDrains m_drains;
    std::set<std::string> m_declaredDomains; ///< Failure domains that the current version declares.
};

} // namespace Camphor
