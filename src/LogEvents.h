/// @file The events that the processes log, with their names, fields and meanings.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Camphor {

/// Identifies a kind of log line. docs/EVENTS.md lists the same events for operators.
enum class LogEvent : std::uint8_t {
    AcceptFailed,
    AddressUnreadable,
    AnnounceFailed,
    AttemptEnded,
    AttemptStarted,
    AttemptStopped,
    CancelRequested,
    CandidateHeard,
    CellGrant,
    CellHeld,
    ChangeAnswered,
    ChangeReceived,
    ConfigurationAnswered,
    ConfigurationInForce,
    ConfigurationNotFetched,
    ConfigurationRefused,
    ConfigurationStored,
    ConfigurationUnreadable,
    ConnectionEvicted,
    ConnectionRefused,
    ControlForgotten,
    ControlLost,
    ControlRegained,
    DeclarationApplied,
    DeclarationIgnored,
    DeclarationNotKept,
    DeclarationNotRestored,
    DeclarationRefused,
    DeclarationRejected,
    DigestTooLarge,
    DiskFailed,
    DiskLost,
    DomainDrainAnswered,
    DomainDrainExpired,
    DomainDrainRefused,
    DomainDrainsInForce,
    DomainDrainStored,
    DrainBegins,
    DrainEnds,
    DrainLimitReached,
    DrainOverLimit,
    DrainStopsIntake,
    EndNotRecorded,
    EntryHeard,
    EntryStarted,
    ExecutionAbandoned,
    FaultsSet,
    HolderLost,
    HolderRegained,
    InstanceBlamed,
    InstanceChanged,
    InstanceFileFailed,
    InstanceLeft,
    InstanceLost,
    InstanceRestarted,
    InstancesRestored,
    InstancesSilent,
    JobAbandoned,
    JobAnswered,
    JobDropped,
    JobJoined,
    JobOffered,
    JobRouted,
    JobsCancelled,
    Joined,
    LateAnswerDropped,
    LeaderUnanswered,
    LeaveUnreadable,
    LedgerCaughtUp,
    LedgerChangeSet,
    LedgerDeposed,
    LedgerDiskFailed,
    LedgerDiverged,
    LedgerDrained,
    LedgerDraining,
    LedgerMessageRefused,
    LedgerPrimary,
    LedgerRecovered,
    LedgerReplyMalformed,
    LedgerSet,
    LedgerSnapshot,
    LedgerSnapshotFailed,
    LedgerStopped,
    LedgerWithoutDisk,
    LinesLeftOut,
    ListUnreadable,
    ListenFilterFailed,
    Listening,
    LoadStarted,
    LogCompacted,
    LogTailCut,
    LossReported,
    MemberCallRefused,
    MemberLeaving,
    MemberLeft,
    MemberRemoved,
    MemberStarts,
    MembershipChange,
    MembershipInForce,
    MessageUnreadable,
    NoControlGroup,
    OperatorRefused,
    OrderStatusUnknown,
    OrderUnanswered,
    PeerChanged,
    PeerRefused,
    PhaseStarted,
    PlacementRefused,
    Pull,
    RefusalUnknown,
    Refused,
    ReportRefused,
    RequestExpired,
    RequestFailed,
    RequestRefused,
    RoleChanged,
    RunAbandoned,
    RunEndUnknown,
    RunEnded,
    RunStarted,
    RunUnknown,
    Serving,
    SettingsRefused,
    SettingsReload,
    SettingsUnreadable,
    Stalled,
    Started,
    StopRequested,
    Stopped,
    SubscriptionFailed,
    TargetLeft,
    TargetOwned,
    TargetReleased,
    TaskFinished,
    TaskForwarded,
    TrialGroup,
    VoterStopped,
    WaitingToBeAdded,
};

/// Describes one event.
struct LogEventSpec
{
    LogEvent event = LogEvent::Started;
    std::string_view name; ///< The value of the field "event" in a line.
    std::string_view fields; ///< All fields that a line may have, separated by spaces.
    std::string_view meaning; ///< One whole sentence for operators.

    /// Returns whether a line of the event may have a field.
    [[nodiscard]] bool hasField(std::string_view field) const;
};

/// Returns all events, in the order of the enumeration.
[[nodiscard]] std::span<const LogEventSpec> logEvents();

[[nodiscard]] std::string_view logEventName(LogEvent event);

/// Returns the event with a name; null if there is none.
[[nodiscard]] const LogEventSpec *findLogEvent(std::string_view name);

} // namespace Camphor
