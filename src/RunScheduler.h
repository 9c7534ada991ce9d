/// @file Schedules the tasks of jobs on the instances of the cells that this entry holds.
#pragma once

#include "CrashHistory.h"
#include "FleetTypes.h"
#include "InstanceHealth.h"
#include "InstanceOrders.h"
#include "InstanceSpeeds.h"
#include "LeasedInstance.h"
#include "MemoryBudget.h"
#include "RunOffer.h"
#include "RunTimeModel.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Camphor {

/// Timeouts and limits of the scheduler.
struct SchedulerSettings
{
    LeaseSettings lease;
    /// A job that has not started within this share of its latency objective is refused, so that
    /// its caller can retry soon.
    double maxWaitShare = 0.25;
    /// Outcomes are retained this long for resubmissions that arrive after the response.
    Milliseconds outcomeRetention{10'000};
    std::size_t maxOutcomes = 5'000;
    /// A requester without contact for this long is lost, and its jobs are stopped. Must be shorter
    /// than renewalTimeout.
    Milliseconds requesterTimeout{700};
    /// No lease is renewed beyond this time after the last contact with the requester of one of its
    /// runs. Longer than requesterTimeout, so that there is time to stop the runs.
    Milliseconds renewalTimeout{975};
    /// A run without progress for this long that has also taken more than twice its expected time
    /// is started elsewhere.
    Milliseconds stallTimeout{400};
    /// If advance() is called later than its deadline by more than this, the process was paused.
    Milliseconds pauseThreshold{500};
    /// Whether placement and the health of instances use the measured speed of each instance.
    bool learnsInstanceSpeeds = false;
    /// While more than this share of the processors in use is taken, tasks that can end in time on
    /// a slow instance leave the fast ones to those that cannot.
    double scarceRoomShare = 0.5;

    auto operator<=>(const SchedulerSettings &) const = default;
};

/// The outcome of a job, for its requester.
struct JobResult
{
    JobKey job;
    JobOutcome outcome;

    auto operator<=>(const JobResult &) const = default;
};

/// Runs of a job that has ended here, to be stopped by the holder that runs them.
struct RemoteStop
{
    std::string holder; ///< Address of the other holder.
    StopRunsRequest request;

    auto operator<=>(const RemoteStop &) const = default;
};

/// A scheduling decision or the end of a run, for the log.
struct ScheduleEvent
{
    enum class Kind : std::uint8_t {
        Started,
        Ended,
        TaskFailed,
        Refused,
        Joined,
        Stalled,
        UnknownRun, ///< An instance lists a run that is not one of this holder's.
        InstanceRestarted,
        InstanceLost, ///< With the runs that it had.
        Abandoned, ///< A run is to be stopped; detail is the name of the AbandonReason.
    };

    Kind kind = Kind::Started;
    std::string jobId;
    RunKey run;
    std::string instance;
    std::string detail;
    double value = 0; ///< Milliseconds or a count, depending on the kind.
    std::optional<RunEnd> end = std::nullopt; ///< Set for a run that has ended.
};

/// Schedules the jobs of one cell holder on its instances. Performs no I/O: events, replies and the
/// time are passed in; orders and results are taken out.
class RunScheduler
{
public:
    explicit RunScheduler(const SchedulerSettings &settings)
        : m_settings(settings)
    {
    }

    /// Sets what the jobs may take; without it, their memory is not bounded.
    void setMemoryBudget(std::shared_ptr<MemoryBudget> memory) { m_memory = std::move(memory); }

    // --- Configuration and instances
    void configure(std::shared_ptr<const FleetConfiguration> configuration);
    /// Sets the known state of all instances, and the fencing tokens of the held ones, by instance
    /// id.
    void setInstances(const std::map<std::string, InstanceReport> &instances,
                      const std::map<std::string, std::uint64_t> &heldTokens, Milliseconds now);

    /// Sets the failure domains on whose instances nothing is started from now on. Jobs that have
    /// not started and could only start there are given back to be tried elsewhere.
    void setDrains(const DomainDrains &drains) { m_drains = drains; }

    // --- Instances that were lost under tasks
    /// Adds what other processes have seen.
    void addLosses(const std::vector<InstanceLoss> &losses, Milliseconds now);
    /// Losses at held instances since the last call, for the other processes.
    [[nodiscard]] std::vector<InstanceLoss> takeLosses() { return std::exchange(m_newLosses, {}); }

    // --- Jobs
    /// Accepts a job, joins one with the same id, or repeats a retained outcome. The outcome
    /// follows in takeResults() under the returned key; joined submissions share one.
    /// @param requester receives the result; must stay in contact while the job runs. Empty for a
    /// job of a caller of this entry.
    JobKey submit(const FleetJob &job, const std::string &requester, Milliseconds now);
    /// The caller has disconnected: ends the job as unknown and stops its runs. Does nothing if
    /// another requester has submitted the job since.
    /// @param wantedAt when the caller was certainly still there; the cancellation may have been
    /// noticed or read late.
    void cancel(const std::string &jobId, const std::string &requester, Milliseconds wantedAt,
                Milliseconds now);
    /// A requester was in contact. Never moves the last contact back.
    /// @param readAt when its request was read.
    void onRequesterContact(const std::string &requester, Milliseconds readAt);
    [[nodiscard]] bool hasJob(const JobKey &job) const { return find(job) != nullptr; }
    /// Whether the job is in progress and its requester still waits for it.
    [[nodiscard]] bool isWanted(const JobKey &key, Milliseconds now) const;
    /// Whether the process was paused since the last call of advance().
    [[nodiscard]] bool wasPaused(Milliseconds now) const;

    // --- Runs offered to the holders of other cells
    /// Returns the runs of waiting jobs that do not fit here now. At most one offer for each job is
    /// open; a rejected one is repeated after a delay.
    [[nodiscard]] std::vector<RunOffer> takeOffers(Milliseconds now);
    /// Another holder has started some of the offered runs. This call and the following ones do
    /// nothing for a submission that has ended.
    void onOfferedRunsStarted(const JobKey &key, const std::string &holder,
                              const std::vector<RunKey> &started, Milliseconds now);
    /// The offer of this job is closed: the runs that nobody has started may start here again.
    void onOfferClosed(const JobKey &key, Milliseconds now);
    void onRemoteEnds(const JobKey &key, const std::vector<RunOutcome> &ends, Milliseconds now);
    /// The holder that runs tasks of this job, or may run them, is lost.
    void onRemoteHolderLost(const JobKey &key, Milliseconds now);
    /// Time since the last contact with the requester of a job; 0 if it is a caller of this entry.
    [[nodiscard]] Milliseconds requesterAge(const JobKey &key, Milliseconds now) const;
    /// The same of all jobs with runs at another holder.
    [[nodiscard]] RequesterAges requesterAges(const std::string &holder, Milliseconds now) const;
    [[nodiscard]] std::vector<RemoteStop> takeRemoteStops()
    {
        return std::exchange(m_remoteStops, {});
    }

    // --- Runs accepted from the holders of other cells
    /// Starts those of the offered runs that fit now.
    [[nodiscard]] RunOfferReply startOffered(const RunOffer &offer, const std::string &requester,
                                             Milliseconds now);
    /// Stops accepted runs of a requester.
    /// @param wantedAt as for cancel().
    void stopOffered(const StopRunsRequest &request, const std::string &requester,
                     Milliseconds wantedAt, Milliseconds now);
    /// The holder that offered runs tells when the requesters of their jobs were last in contact.
    /// @param agesAt the time from which the ages count.
    void onRequesterAges(const std::string &requester, const RequesterAges &ages,
                         Milliseconds agesAt);
    /// Accepted runs that have ended since the last call.
    [[nodiscard]] std::vector<AcceptedRunEnd> takeAcceptedEnds()
    {
        return std::exchange(m_acceptedEnds, {});
    }

    // --- Replies of instances
    /// The connections to the instance at this address have ended: nothing is started there before
    /// its lists were read again.
    void onDisconnect(const std::string &address);
    void onStartReply(const StartOrder &order, const OrderReply &reply, Milliseconds now);
    void onStopReply(const StopOrder &order, const OrderReply &reply, Milliseconds now);
    void onHoldReply(const HoldOrder &order, const HoldReply &reply, Milliseconds now);

    /// Performs everything that is due. Call it after every event and at nextDeadline().
    void advance(Milliseconds now);
    [[nodiscard]] Milliseconds nextDeadline(Milliseconds now) const;

    [[nodiscard]] std::vector<StartOrder> takeStarts() { return std::exchange(m_starts, {}); }
    [[nodiscard]] std::vector<StopOrder> takeStops() { return std::exchange(m_stops, {}); }
    [[nodiscard]] std::vector<HoldOrder> takeHolds() { return std::exchange(m_holds, {}); }
    [[nodiscard]] std::vector<JobResult> takeResults() { return std::exchange(m_results, {}); }
    [[nodiscard]] std::vector<ScheduleEvent> takeEvents() { return std::exchange(m_events, {}); }

    /// Whether an accepted run is running, or has ended and its end was not taken yet.
    [[nodiscard]] bool hasAccepted(const AcceptedRunKey &key) const;
    [[nodiscard]] std::size_t jobCount() const { return m_jobs.size(); }
    [[nodiscard]] std::size_t acceptedRunCount() const { return m_acceptedRuns.size(); }
    [[nodiscard]] std::size_t usableInstances(Milliseconds now) const;
    [[nodiscard]] const InstanceSpeeds &speeds() const { return m_speeds; }

private:
    struct Task
    {
        enum class State : std::uint8_t {
            Waiting,
            Offered, ///< To other holders, one of which may have started it.
            Running,
            Done,
        };

        State state = State::Waiting;
        std::uint64_t runs = 0; ///< Number of starts so far; identifies the current run.
        std::uint32_t failures = 0;
        TaskSuspicion suspicion = TaskSuspicion::None; ///< Of the holders that have run it.
        std::string instance; ///< Instance of the current run, if it is held here.
        std::string holder; ///< Address of the holder of another cell that runs it, or empty.
        /// Instances where a run of this task has failed or lost its lease.
        std::vector<std::string> avoid;
        SpeedSample sample; ///< Of the run that has succeeded.
    };

    struct Job
    {
        FleetJob job;
        QueueRule rule;
        std::uint64_t submission = 0; ///< Tells it apart from other submissions of the job.
        std::string requester;
        Milliseconds arrivedAt;
        Milliseconds responseDueAt; ///< Latency objective: the response is due by then.
        Milliseconds latestStart; ///< A start after this cannot meet the objective.
        Milliseconds startDeadline; ///< The job is refused unless it has started by then.
        Milliseconds nextOfferAt;
        /// When the caller was last known to wait; set when the job is cancelled, which may be
        /// noticed or read late.
        std::optional<Milliseconds> wantedUntil;
        bool hasStarted = false;
        bool isOffered = false; ///< An offer is open; nothing starts here meanwhile.
        bool hasEarlierRuns = false; ///< Runs of an earlier submission have not ended yet.
        std::vector<std::vector<Task>> tasks; ///< By step and index.
        std::vector<std::uint32_t> done; ///< Number of finished tasks, by step.
        MemoryReservation memory;
    };

    /// A task of a job.
    struct TaskRef
    {
        Job *job = nullptr;
        std::size_t step = 0;
        Task *task = nullptr;
    };

    /// A run accepted from the holder of another cell.
    struct AcceptedRun
    {
        std::string requester;
        std::uint64_t submission = 0; ///< Of the job at the requester.
        std::string queue;
        JobStep step;
        /// When the job's requester was last in contact with the holder that offered the run, on
        /// this holder's clock.
        Milliseconds wantedAt;
    };

    /// Where an offered run is to start.
    struct Placement
    {
        RunKey key;
        LeasedInstance *instance = nullptr;
        bool isExclusive = false; ///< No other run starts beside it.
    };

    /// An instance on which tasks of one step can start.
    struct Candidate
    {
        LeasedInstance *instance = nullptr;
        ResourceVector free;
        double cost = 1.0; ///< Expected run time there, relative to a normal instance.
        bool isIdle = false; ///< It has no runs.
        /// Maximum number of tasks of the step that may still start there.
        std::size_t maxNewTasks = 0;
    };

    /// What a placement has to reach.
    struct PlacementGoal
    {
        Milliseconds expected; ///< Run time on an instance of the fleet's speed.
        Milliseconds timeLeft = NoTimeLimit; ///< Until the response is due.
        bool sparesFast = false; ///< Whether fast instances are left to tasks that need them.

        static constexpr Milliseconds NoTimeLimit{1e18};

        [[nodiscard]] bool isLateAt(const Candidate &candidate) const;
    };

    /// @param timeLeft until the response is due.
    [[nodiscard]] PlacementGoal makeGoal(Milliseconds expected, Milliseconds timeLeft,
                                         const std::string &service) const;
    [[nodiscard]] PlacementGoal makeGoal(const Job &job, std::size_t step, Milliseconds now) const;
    /// Whether more than scarceRoomShare of the processors of a service is taken here.
    [[nodiscard]] bool isRoomScarce(const std::string &service) const;
    /// Run time factor of an instance: its usual one, and what disturbs it now.
    [[nodiscard]] double runTimeFactor(const std::string &instance) const;

    [[nodiscard]] Job makeJob(const FleetJob &job, const QueueRule &rule,
                              const std::string &requester, Milliseconds now) const;
    [[nodiscard]] bool canEverRun(const Job &job) const;
    /// Whether instances are held here, and all of them are in drained domains.
    [[nodiscard]] bool isDrained() const;
    /// Gives back the jobs that have not started, if nothing can start here.
    void returnDrainedJobs(Milliseconds now);
    [[nodiscard]] bool canStartAll(const Job &job, Milliseconds now);
    [[nodiscard]] bool isEligible(const Job &job, std::size_t step) const;
    [[nodiscard]] Milliseconds expectedTime(const Job &job, const JobStep &step) const;
    /// @param prefix of the names of the step's tasks.
    /// @param renewalLimit of the runs that are to start. An instance whose lease may last longer
    /// is left out: its runs could not be ended in time.
    [[nodiscard]] std::vector<Candidate> candidates(const std::string &service, const JobStep &step,
                                                    const std::string &prefix,
                                                    Milliseconds renewalLimit, Milliseconds now);
    [[nodiscard]] std::vector<Candidate> candidates(const Job &job, std::size_t stepIndex,
                                                    Milliseconds now);
    /// The best candidate for a task, or null. A task under which instances were lost runs alone if
    /// it can, so that a further loss shows whether it is at fault.
    [[nodiscard]] static Candidate *pick(std::vector<Candidate> &found, const JobStep &step,
                                         const std::vector<std::string> &avoid,
                                         TaskSuspicion suspicion, const PlacementGoal &goal);
    /// Takes the room of a task that is to start at a candidate.
    static void take(Candidate &candidate, const JobStep &step, TaskSuspicion suspicion);
    [[nodiscard]] TaskSuspicion suspicionOf(const Job &job, std::size_t step,
                                            std::size_t index) const;
    /// Number of waiting tasks of a step that find room now.
    [[nodiscard]] std::size_t countPlaceable(const Job &job, std::size_t step, Milliseconds now);
    [[nodiscard]] static std::size_t countWaiting(const Job &job, std::size_t step);
    void startTask(Job &job, std::size_t step, std::size_t index, LeasedInstance &instance,
                   TaskSuspicion suspicion, Milliseconds now);
    /// Starts all waiting tasks of a job that find room. @return whether all have started.
    bool startTasks(Job &job, Milliseconds now);
    [[nodiscard]] bool hasWaitingTask(const Job &job) const;
    /// The runs to offer of a job, or nothing.
    [[nodiscard]] std::optional<RunOffer> makeOffer(Job &job, Milliseconds now);
    /// Finds room for offered runs: for all or none of them if the offer says so.
    [[nodiscard]] std::vector<Placement> placeOffered(const RunOffer &offer,
                                                      const std::string &service,
                                                      Milliseconds renewalLimit, Milliseconds now);
    void chargeQueue(const std::string &queue, const JobStep &step, Milliseconds expected);
    void startWaitingJobs(Milliseconds now);
    void raiseVirtualTime(const std::string &queue);
    [[nodiscard]] std::vector<std::string> jobsInStartOrder() const;
    void refuseLateJobs(Milliseconds now);
    /// Notes a requester of which nothing is known yet. That it was in contact is told by
    /// onRequesterContact(), because a request may have waited since it was read.
    void addRequester(const std::string &requester, Milliseconds now);
    /// Now for callers of this entry.
    [[nodiscard]] Milliseconds lastContactAt(const std::string &requester, Milliseconds now) const;
    void removeLostRequesters(Milliseconds now);
    /// When the requester of a job was last known to wait for it; now for callers of this entry.
    [[nodiscard]] Milliseconds lastWantedAt(const Job &job, Milliseconds now) const;
    /// The same for a run, also one accepted from another holder. Nothing if its job has ended.
    [[nodiscard]] std::optional<Milliseconds> lastWantedAt(const RunKey &key,
                                                           Milliseconds now) const;
    [[nodiscard]] Milliseconds requesterAge(const Job &job, Milliseconds now) const
    {
        return now - lastWantedAt(job, now);
    }
    /// Until when the lease of a run may be renewed without another sign of its requester: later,
    /// the caller may have sent the job to another holder.
    /// NoRenewalLimit if the job has ended: the instance has the limit of the abandoned run.
    [[nodiscard]] Milliseconds renewalLimit(const RunKey &key, Milliseconds now) const;
    /// Until when a lease may be renewed for a run that was last known to be wanted at a time.
    [[nodiscard]] Milliseconds renewalLimitOf(Milliseconds wantedAt) const
    {
        return wantedAt + m_settings.renewalTimeout;
    }
    /// The earliest such time of the runs of an instance.
    [[nodiscard]] Milliseconds renewalLimit(const LeasedInstance &instance, Milliseconds now) const;
    /// This process was paused: the requesters have given up meanwhile, and the lists are outdated.
    void onPause(Milliseconds duration, Milliseconds now);
    void storeOutcome(const std::string &jobId, const JobOutcome &outcome, Milliseconds now);
    void evictOutcomes(Milliseconds now);
    void restartStalledRuns(Milliseconds now);
    /// Does not send the starts that were decided before a change of the instance became known.
    void withholdSupersededStarts(Milliseconds now);

    void collectResults(LeasedInstance &instance, Milliseconds now);
    void onRunResult(const LeasedInstance &instance, const RunResult &result, Milliseconds now);
    /// The current run of a task has ended, here or at the holder of another cell.
    void onTaskEnd(const TaskRef &ref, const RunOutcome &outcome, Milliseconds now);
    void onTaskFailed(Job &job, Task &task, const std::string &instance, const RunKey &key,
                      Milliseconds now);
    /// The task whose current run has this key; nothing if there is none.
    [[nodiscard]] std::optional<TaskRef> findTask(const RunKey &key);
    /// What a run that has succeeded shows of its instance, by what is known before it is learned.
    [[nodiscard]] SpeedSample sampleOf(const std::string &queue, const JobStep &step,
                                       const RunOutcome &outcome) const;
    /// Learns from a run on an instance that is held here.
    void addRunTime(const std::string &queue, const JobStep &step, const RunOutcome &outcome,
                    const SpeedSample &sample, Milliseconds now);
    /// Learns the speeds of instances from a step whose tasks have all succeeded.
    void addStepSpeeds(const std::vector<Task> &tasks, Milliseconds now);
    /// The reason of a start for the log, with the run time factor that was assumed.
    [[nodiscard]] std::string startReason(const char *reason, const std::string &instance) const;
    void onAcceptedRunEnd(const RunOutcome &outcome, Milliseconds now);
    void stopAcceptedRuns(const std::set<std::string> &requesters, Milliseconds now);
    void abandonAccepted(const RunKey &key, Milliseconds renewalLimit, Milliseconds now);
    void finish(const std::string &jobId, JobOutcome outcome, Milliseconds now);
    void abandonRuns(Job &job, Milliseconds now);
    void removeInstance(const std::string &id, Milliseconds now);
    void eraseInstance(const std::string &id);
    /// A held instance was lost.
    void onLocalLoss(const InstanceLoss &loss, Milliseconds now);
    void endJobsAtFault(const InstanceLoss &loss, Milliseconds now);
    /// Ends the job of a task that is at fault, also if a run of it goes on elsewhere.
    void endJobIfAtFault(const std::string &task, Milliseconds now);
    [[nodiscard]] LeasedInstance *find(const InstanceKey &key);
    /// The job of this submission, or null if it has ended.
    [[nodiscard]] Job *find(const JobKey &key);
    [[nodiscard]] const Job *find(const JobKey &key) const;
    void addEvent(ScheduleEvent event);
    /// @param jobId empty if the job is not one of this holder's, or has ended.
    void addRunEnd(const std::string &jobId, const RunOutcome &outcome);

    SchedulerSettings m_settings;
    std::shared_ptr<MemoryBudget> m_memory;
    std::shared_ptr<const FleetConfiguration> m_configuration;
    /// All instances, including those of other holders.
    std::map<std::string, InstanceReport> m_knownInstances;
    std::map<std::string, LeasedInstance> m_instances; ///< Held instances, by id.
    DomainDrains m_drains;
    /// At least the session of every instance that was removed, so that one that is held again
    /// begins a later one.
    std::uint64_t m_lastSession = 0;
    InstanceHealth m_health;
    InstanceSpeeds m_speeds;
    RunTimeModel m_runTimes;
    CrashHistory m_crashes;
    std::vector<InstanceLoss> m_newLosses;

    std::map<std::string, Job> m_jobs;
    std::uint64_t m_lastSubmission = 0;
    std::map<RunKey, AcceptedRun> m_acceptedRuns;
    /// Virtual time of each queue, in millicore-milliseconds.
    std::map<std::string, double> m_virtualTimes;
    std::map<std::string, JobOutcome> m_outcomes; ///< Retained outcomes, by job.
    /// When each retained outcome was stored, from the oldest on.
    std::deque<std::pair<Milliseconds, std::string>> m_outcomeTimes;
    std::map<std::string, Milliseconds> m_requesters; ///< Last contact with each requester.
    std::optional<Milliseconds> m_dueAt; ///< When the next call of advance() was due.

    std::vector<StartOrder> m_starts;
    std::vector<StopOrder> m_stops;
    std::vector<HoldOrder> m_holds;
    std::vector<JobResult> m_results;
    std::vector<RemoteStop> m_remoteStops;
    std::vector<AcceptedRunEnd> m_acceptedEnds;
    std::vector<ScheduleEvent> m_events;
};

} // namespace Camphor
