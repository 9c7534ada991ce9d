/// @file The events that our processes log: their names, fields and meanings, in one list.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Camphor {

/// What a log line says. docs/EVENTS.md shows the same list to operators.
enum class LogEvent : std::uint8_t {
    AcceptFailed,
    AddressUnreadable,
    AnnounceFailed,
    AttemptEnded,
    AttemptStarted,
    AttemptStopped,
    CancelRequested,
    CellGrant,
    CellHeld,
    ChangeAnswered,
    ChangeReceived,
    ConfigurationInForce,
    ConfigurationRefused,
    ConfigurationStored,
    ConfigurationUnreadable,
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
    MemberRemoved,
    MemberStarts,
    MembershipChange,
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
    RequestRefused,
    RoleChanged,
    RunEndUnknown,
    RunEnded,
    RunStarted,
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

/// How an event is written.
struct LogEventSpec
{
    LogEvent event = LogEvent::Started;
    std::string_view name; ///< The value of "event" in a line.
    std::string_view fields; ///< All that a line may have, with a space in between.
    std::string_view meaning; ///< A whole sentence.

    /// Whether a line of the event may have a field.
    [[nodiscard]] bool hasField(std::string_view field) const;
};

/// All events, in the order of the enumeration.
[[nodiscard]] std::span<const LogEventSpec> logEvents();

[[nodiscard]] std::string_view logEventName(LogEvent event);

/// The event of a name; null if there is none.
[[nodiscard]] const LogEventSpec *findLogEvent(std::string_view name);

} // namespace Camphor
