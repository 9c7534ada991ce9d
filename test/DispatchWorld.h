/// @file Discrete-event simulation of several dispatchers, their targets and the messages between
/// them, in simulated time. It checks the dispatch invariants while it runs.
#pragma once

#include "Dispatcher.h"
#include "Ownership.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Camphor::Test {

/// Behaviour of a simulated target.
enum class TargetMode { Healthy, FailsAll, RefusesAll, Unreachable };

struct WorldSettings
{
    int entries = 8;
    int targets = 50;
    std::uint32_t slots = 8;
    int targetsPerRack = 8;
    std::uint64_t seed = 1;
    std::string declaration;
    DispatcherSettings dispatcher;
    double oneWayMs = 0.25; ///< Network delay between entries, and between entries and targets.
    double clientOneWayMs = 1; ///< Network delay between callers and entries.
    double stragglerShare = 0; ///< Part of the attempts that take ten times as long.
    double lostReplyShare = 0; ///< Part of the attempts that run, but whose response is lost.
    double lostForwardShare = 0; ///< Part of the forwards whose reply is lost.
};

/// A source of requests with exponentially distributed times between arrivals.
struct FlowSettings
{
    std::string name;
    std::string service;
    std::string team;
    Urgency urgency = Urgency::Normal;
    double requestsPerSecond = 0;
    int minTasks = 1;
    int maxTasks = 1;
    double minRunMs = 50; ///< Run times are uniformly distributed from minRunMs to maxRunMs.
    double maxRunMs = 350;
    double deadlineMs = 10'000;
    double startMs = 0;
    double endMs = 0;
    bool isRepeatable = true;
    bool isAlwaysFailing = false; ///< Each task of the flow fails on every target.
};

struct RequestRecord
{
    int flow = 0;
    double arrivalTime = 0;
    double idealMs = 0;
    double end = -1;
    int tasks = 0;
    int unfinishedTasks = 0;
    bool isRejected = false;
    Outcome outcome = Outcome::Completed;
};

class World
{
public:
    explicit World(WorldSettings settings)
        : m_settings(std::move(settings))
        , m_random(m_settings.seed)
        , m_declaration(Declaration::parse("test", m_settings.declaration).value())
    {
        std::vector<std::string> names;
        names.reserve(static_cast<std::size_t>(m_settings.entries));
        for (int n = 0; n < m_settings.entries; ++n)
            names.push_back("entry-" + std::to_string(n));
        for (int n = 0; n < m_settings.entries; ++n) {
            auto settings = m_settings.dispatcher;
            settings.instance = names[static_cast<std::size_t>(n)];
            settings.domain = "d1";
            settings.seed = m_settings.seed + static_cast<std::uint64_t>(n);
            m_entries.push_back(
                {settings.instance,
                 std::make_unique<Dispatcher>(settings, m_declaration, Milliseconds{0})});
        }
        setOwners(names);
        for (int n = 0; n < m_settings.targets; ++n)
            m_targets.push_back(
                makeTarget("target-" + std::to_string(n),
                           "rack-" + std::to_string(n / m_settings.targetsPerRack)));
        for (int n = 0; n < m_settings.targets; ++n)
            at(0.01 * n, [this, n] { heartbeat(n); });
        for (int n = 0; n < m_settings.entries; ++n) {
            at(1 + n, [this, n] { digests(n); });
            at(1 + 0.1 * n, [this, n] { tick(n); });
        }
    }

    std::vector<FlowSettings> flows;
    std::vector<RequestRecord> requests;
    std::uint64_t messages = 0; ///< Attempts, forwards, pulls and stops.
    std::uint64_t wasted = 0; ///< Messages without a useful result.
    std::uint64_t starts = 0;
    double busyMs = 0; ///< Slot time used between busyFrom and busyTo.
    double busyFrom = 0;
    double busyTo = 1e18;
    std::map<std::string, int> startsByTarget;

    void at(double time, std::function<void()> action)
    {
        m_events.push({time, m_sequence++, std::move(action)});
    }
    void setMode(int target, TargetMode mode) { m_targets[index(target)].mode = mode; }
    void setOwners(const std::vector<std::string> &names) { m_ownership = Ownership::make(names); }
    Dispatcher &entry(int n) { return *m_entries[index(n)].dispatcher; }
    [[nodiscard]] double now() const { return m_now; }
    std::mt19937_64 &random() { return m_random; }
    [[nodiscard]] std::size_t openTasks() const { return m_tasks.size(); }

    void addFlow(const FlowSettings &flow)
    {
        flows.push_back(flow);
        const auto n = static_cast<int>(flows.size()) - 1;
        at(flow.startMs, [this, n] { arrive(n); });
    }

    void runUntil(double end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        m_now = end;
    }

    void perform(int entryIndex, const Actions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *start = std::get_if<StartAttempt>(&action))
                send(entryIndex, *start);
            else if (const auto *forward = std::get_if<ForwardTask>(&action))
                sendForward(entryIndex, *forward);
            else if (const auto *pull = std::get_if<PullFromPeer>(&action))
                sendPull(entryIndex, *pull);
            else if (const auto *stop = std::get_if<StopAttempt>(&action))
                sendStop(*stop);
            else if (const auto *finish = std::get_if<FinishTask>(&action))
                finished(*finish);
        }
    }

    /// Submits a request of 'count' tasks to an entry, without admission control.
    std::size_t submit(int entryIndex, int flow, int count)
    {
        const auto &settings = flows[index(flow)];
        std::uniform_real_distribution<double> runTime(settings.minRunMs, settings.maxRunMs);
        requests.push_back({flow, m_now, 0, -1, count, count});
        const auto request = requests.size() - 1;
        std::vector<TaskSpec> tasks;
        for (int n = 0; n < count; ++n) {
            Task task;
            task.request = request;
            task.entry = entryIndex;
            task.runMs = runTime(m_random);
            task.spec.handle = m_nextHandle++;
            task.spec.requestId = "r" + std::to_string(request);
            task.spec.service = settings.service;
            task.spec.team = settings.team;
            task.spec.urgency = settings.urgency;
            task.spec.deadline = Milliseconds{m_now + settings.deadlineMs};
            task.spec.isRepeatable = settings.isRepeatable;
            task.spec.isJobTask = count > 1;
            task.spec.taskIndex = static_cast<std::uint32_t>(n);
            requests.back().idealMs = std::max(requests.back().idealMs, task.runMs);
            tasks.push_back(task.spec);
            m_tasks.emplace(task.spec.handle, std::move(task));
        }
        requests.back().idealMs += 2 * (m_settings.oneWayMs + m_settings.clientOneWayMs);
        perform(entryIndex, entry(entryIndex).submit(tasks, Milliseconds{m_now}));
        return request;
    }

    void heartbeat(int n)
    {
        auto &target = m_targets[index(n)];
        at(m_now + 1000, [this, n] { heartbeat(n); });
        if (target.mode == TargetMode::Unreachable)
            return;
        TargetAnnouncement announcement;
        announcement.id = target.id;
        announcement.rack = target.rack;
        announcement.address = {target.id, 1};
        for (const auto &it : m_declaration.services())
            announcement.services.push_back({it.name, m_settings.slots});
        for (const auto &[id, running] : target.running)
            announcement.running.push_back(id);
        const auto owner = m_ownership.owner(target.id);
        for (int e = 0; e < m_settings.entries; ++e) {
            if (m_entries[index(e)].name == owner)
                perform(e, entry(e).targetAnnounced(announcement, Milliseconds{m_now}));
            else if (target.owner != owner && m_entries[index(e)].name == target.owner)
                perform(e, entry(e).targetReleased(target.id, Milliseconds{m_now}));
        }
        target.owner = owner;
    }

    /// Sorted stretch (latency divided by ideal latency) of the completed requests of a flow that
    /// arrived in a time window.
    [[nodiscard]] std::vector<double> stretches(int flow, double from, double to) const
    {
        std::vector<double> values;
        for (const auto &it : requests)
            if (it.flow == flow && it.arrivalTime >= from && it.arrivalTime < to && it.end >= 0
                && it.outcome == Outcome::Completed)
                values.push_back((it.end - it.arrivalTime) / it.idealMs);
        std::ranges::sort(values);
        return values;
    }
    /// Part of the requests of a flow, of those that arrived in a time window, that completed
    /// before their deadline.
    [[nodiscard]] double deadlineMetShare(int flow, double from, double to) const
    {
        const auto deadline = flows[index(flow)].deadlineMs;
        double offered = 0;
        double inTime = 0;
        for (const auto &it : requests) {
            if (it.flow != flow || it.arrivalTime < from || it.arrivalTime >= to)
                continue;
            offered += 1;
            const auto isInTime = it.end >= 0 && it.outcome == Outcome::Completed
                && it.end - it.arrivalTime <= deadline;
            inTime += isInTime ? 1 : 0;
        }
        return offered == 0 ? 1 : inTime / offered;
    }

private:
    struct Event
    {
        double time = 0;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    struct Entry
    {
        std::string name;
        std::unique_ptr<Dispatcher> dispatcher;
    };

    struct Running
    {
        int entry = 0;
        TaskHandle handle = 0;
        std::uint32_t attempt = 0;
        double startedAt = 0;
    };

    struct Target
    {
        std::string id;
        std::string rack;
        TargetMode mode = TargetMode::Healthy;
        std::string owner;
        std::map<std::string, Running> running;
    };

    struct Task
    {
        std::size_t request = 0;
        int entry = 0;
        double runMs = 0;
        TaskSpec spec;
        int originEntry = -1; ///< The forwarding entry; -1 if local, -2 if its reply is lost.
        TaskHandle originHandle = 0; ///< The handle at the forwarding entry.
    };

    static Target makeTarget(std::string id, std::string rack)
    {
        Target target;
        target.id = std::move(id);
        target.rack = std::move(rack);
        return target;
    }
    static std::size_t index(int n) { return static_cast<std::size_t>(n); }
    bool chance(double share)
    {
        return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    void tick(int n)
    {
        at(m_now + 10, [this, n] { tick(n); });
        perform(n, entry(n).tick(Milliseconds{m_now}));
    }

    void digests(int n)
    {
        at(m_now + 100, [this, n] { digests(n); });
        Digest digest;
        digest.instance = m_entries[index(n)].name;
        digest.incarnation = 1;
        digest.domain = "d1";
        digest.pools.push_back(entry(n).digest(Milliseconds{m_now}));
        at(m_now + m_settings.oneWayMs, [this, n, digest] {
            for (int e = 0; e < m_settings.entries; ++e)
                if (e != n)
                    perform(e, entry(e).peerDigest(digest, Milliseconds{m_now}));
        });
    }

    void arrive(int flow)
    {
        const auto &settings = flows[index(flow)];
        if (m_now >= settings.endMs)
            return;
        std::exponential_distribution<double> gap(settings.requestsPerSecond / 1000);
        at(m_now + gap(m_random), [this, flow] { arrive(flow); });
        const auto entryIndex = static_cast<int>(m_random() % index(m_settings.entries));
        const auto count =
            std::uniform_int_distribution<int>(settings.minTasks, settings.maxTasks)(m_random);
        const auto admission =
            entry(entryIndex)
                .admit(settings.service, settings.team, static_cast<std::uint32_t>(count),
                       Milliseconds{m_now + settings.deadlineMs}, Milliseconds{m_now});
        if (admission.isAdmitted) {
            (void)submit(entryIndex, flow, count);
            return;
        }
        requests.push_back({flow, m_now, 0, m_now, count, 0, true, Outcome::NotRun});
        ++rejections[admission.reason];
    }

public:
    std::map<std::string, std::uint64_t> rejections;

private:
    void report(int entryIndex, TaskHandle handle, const AttemptReport &report)
    {
        at(m_now + m_settings.oneWayMs, [this, entryIndex, handle, report] {
            perform(entryIndex,
                    entry(entryIndex).attemptFinished(handle, report, Milliseconds{m_now}));
        });
    }

    void send(int entryIndex, const StartAttempt &start)
    {
        const auto found = m_tasks.find(start.handle);
        REQUIRE(found != m_tasks.end());
        const auto spec = found->second.spec;
        const auto runMs = found->second.runMs;
        const auto id = attemptId(spec.requestId, spec.taskIndex, start.attempt);
        // Invariant: no attempt number is sent twice.
        REQUIRE(m_startedAttempts.insert(id).second);
        ++messages;
        const auto n = std::stoi(start.target.substr(7));
        const auto isAlwaysFailing = flows[requests[found->second.request].flow].isAlwaysFailing;
        at(m_now + m_settings.oneWayMs,
           [=, this] { arriveAtTarget(n, entryIndex, start, spec, id, runMs, isAlwaysFailing); });
    }

    void arriveAtTarget(int n, int entryIndex, const StartAttempt &start, const TaskSpec &spec,
                        const std::string &id, double runMs, bool isAlwaysFailing)
    {
        auto &target = m_targets[index(n)];
        if (target.mode == TargetMode::Unreachable) {
            at(m_now + 500, [=, this] {
                report(entryIndex, start.handle,
                       {start.attempt, AttemptOutcome::Unknown, {}, "connection-lost"});
            });
            return;
        }
        if (target.mode == TargetMode::RefusesAll || target.running.size() >= m_settings.slots) {
            ++wasted;
            isOversubscribed = isOversubscribed || target.mode != TargetMode::RefusesAll;
            report(entryIndex, start.handle,
                   {start.attempt, AttemptOutcome::NotStarted, {}, "not-started"});
            return;
        }
        ++starts;
        ++startsByTarget[target.id];
        auto &runs = m_runs[spec.requestId + "." + std::to_string(spec.taskIndex)];
        ++runs;
        // Invariant: a task that belongs to a job or is not repeatable starts at most once.
        if (spec.isJobTask || !spec.isRepeatable)
            REQUIRE(runs == 1);
        target.running[id] = {entryIndex, start.handle, start.attempt, m_now};
        const auto isFailure = target.mode == TargetMode::FailsAll || isAlwaysFailing;
        const auto duration =
            isFailure ? 5.0 : runMs * (chance(m_settings.stragglerShare) ? 10 : 1);
        const auto isLost = chance(m_settings.lostReplyShare);
        if (isLost) // The connection breaks, but the target continues.
            at(m_now + duration / 2, [=, this] {
                report(entryIndex, start.handle,
                       {start.attempt, AttemptOutcome::Unknown, {}, "connection-lost"});
            });
        at(m_now + duration, [=, this] {
            if (!endRun(n, id) || isLost)
                return;
            report(entryIndex, start.handle,
                   {start.attempt, isFailure ? AttemptOutcome::Failed : AttemptOutcome::Completed,
                    Milliseconds{duration + 2 * m_settings.oneWayMs}, isFailure ? "failed" : ""});
        });
    }

    bool endRun(int n, const std::string &id)
    {
        auto &running = m_targets[index(n)].running;
        const auto it = running.find(id);
        if (it == running.end())
            return false;
        const auto from = std::max(it->second.startedAt, busyFrom);
        busyMs += std::max(0.0, std::min(m_now, busyTo) - from);
        running.erase(it);
        return true;
    }

    void sendStop(const StopAttempt &stop)
    {
        ++messages;
        ++wasted;
        if (!stop.peer.empty()) {
            at(m_now + m_settings.oneWayMs, [=, this] {
                for (const auto &[handle, task] : m_tasks)
                    if (task.originHandle == stop.handle && task.spec.attempt == stop.attempt) {
                        const auto e = task.entry;
                        perform(e, entry(e).cancel(handle, Milliseconds{m_now}));
                        return;
                    }
            });
            return;
        }
        const auto n = std::stoi(stop.target.substr(7));
        at(m_now + m_settings.oneWayMs, [=, this] {
            for (const auto &[id, running] : m_targets[index(n)].running)
                if (running.handle == stop.handle && running.attempt == stop.attempt) {
                    const auto copy = running;
                    (void)endRun(n, std::string(id));
                    report(copy.entry, copy.handle,
                           {copy.attempt, AttemptOutcome::Unknown, {}, "stopped"});
                    return;
                }
        });
    }

    void sendForward(int entryIndex, const ForwardTask &forward)
    {
        ++messages;
        const auto found = m_tasks.find(forward.handle);
        REQUIRE(found != m_tasks.end());
        // Invariant: a task is forwarded at most once, so that entries cannot forward it in a
        // cycle.
        REQUIRE(found->second.spec.origin.empty());
        auto task = found->second;
        task.originEntry = entryIndex;
        task.originHandle = forward.handle;
        task.spec.handle = m_nextHandle++;
        task.spec.origin = m_entries[index(entryIndex)].name;
        task.spec.originIncarnation = 1;
        task.spec.attempt = forward.attempt;
        const auto peer = std::stoi(forward.peer.substr(6));
        task.entry = peer;
        if (chance(m_settings.lostForwardShare)) {
            // The connection broke after the frame was written: the peer may or may not have
            // received it.
            at(m_now + 50, [=, this] {
                perform(entryIndex,
                        entry(entryIndex)
                            .forwardFinished(
                                forward.handle,
                                {forward.attempt, AttemptOutcome::Unknown, {}, "connection-lost"},
                                Milliseconds{m_now}));
            });
            task.originEntry = -2;
            if (chance(0.5))
                return;
        }
        at(m_now + m_settings.oneWayMs, [=, this] {
            m_tasks.emplace(task.spec.handle, task);
            perform(peer, entry(peer).submit({task.spec}, Milliseconds{m_now}));
        });
    }

    void sendPull(int entryIndex, const PullFromPeer &pull)
    {
        ++messages;
        const auto peer = std::stoi(pull.peer.substr(6));
        at(m_now + m_settings.oneWayMs, [=, this] {
            perform(peer,
                    entry(peer).forwardToPeer(m_entries[index(entryIndex)].name, pull.slots,
                                              Milliseconds{m_now}));
        });
    }

    void finished(const FinishTask &finish)
    {
        const auto found = m_tasks.find(finish.handle);
        // Invariant: every submitted task ends exactly once.
        REQUIRE(found != m_tasks.end());
        const auto task = found->second;
        m_tasks.erase(found);
        const auto id = task.spec.requestId + "." + std::to_string(task.spec.taskIndex);
        // Invariant: if a task ends as NotRun, none of its attempts started, here or at a peer.
        if (finish.outcome == Outcome::NotRun && task.originEntry == -1)
            REQUIRE(m_runs.count(id) == 0);
        if (task.originEntry == -2)
            return;
        if (task.originEntry >= 0) {
            reportForward(task, finish);
            return;
        }
        auto &request = requests[task.request];
        if (finish.outcome != Outcome::Completed)
            request.outcome = finish.outcome;
        if (--request.unfinishedTasks == 0)
            request.end = m_now + 2 * m_settings.clientOneWayMs;
    }

    void reportForward(const Task &task, const FinishTask &finish)
    {
        AttemptReport report;
        report.attempt = task.spec.attempt;
        report.reason = finish.reason;
        report.outcome = finish.outcome == Outcome::Completed ? AttemptOutcome::Completed
            : finish.outcome == Outcome::Failed               ? AttemptOutcome::Failed
            : finish.outcome == Outcome::NotRun               ? AttemptOutcome::NotStarted
                                                              : AttemptOutcome::Unknown;
        if (report.outcome == AttemptOutcome::NotStarted)
            ++wasted;
        at(m_now + m_settings.oneWayMs, [=, this] {
            perform(task.originEntry,
                    entry(task.originEntry)
                        .forwardFinished(task.originHandle, report, Milliseconds{m_now}));
        });
    }

public:
    bool isOversubscribed = false; ///< A task was sent to a target without a free slot.

private:
    WorldSettings m_settings;
    std::mt19937_64 m_random;
    Declaration m_declaration;
    Ownership m_ownership;
    std::vector<Entry> m_entries;
    std::vector<Target> m_targets;
    std::map<TaskHandle, Task> m_tasks;
    std::set<std::string> m_startedAttempts;
    std::map<std::string, int> m_runs;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    TaskHandle m_nextHandle = 1;
    double m_now = 0;
};

} // namespace Camphor::Test
