/// @file A simulation of instances that run tasks under leases, for tests of the scheduler.
#pragma once

#include "RunScheduler.h"
#include "TaskName.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Camphor::Testing {

/// Fault rates of the simulated network and instances.
struct FleetFaults
{
    double lostReplies = 0; ///< Share of orders that are carried out without a reply.
    std::size_t lossyInstances = 1'000'000; ///< Replies are lost at this many instances only.
    /// Share of orders that get no reply and are carried out 2 to 12 s later.
    double delayedOrders = 0;
    double slowClock = 0; ///< Fraction by which the instances' clocks are slower.
    double maxDelayMs = 2; ///< Maximum delay of each message; messages can overtake each other.
    double failingRuns = 0; ///< Share of runs that fail.
    /// Share of stop orders that are neither carried out nor answered.
    double lostStops = 0;
};

/// A queue of the service that the instances of FleetSimulation have.
inline QueueRule makeQueue(const std::string &name)
{
    QueueRule rule;
    rule.name = name;
    rule.service = "service";
    rule.timeoutMs = 1'500;
    rule.targetMs = 60;
    rule.stretch = 1.6;
    rule.maxAttempts = 3;
    return rule;
}

/// A job of one step.
inline FleetJob makeJob(const std::string &id, const std::string &queue, std::uint32_t tasks,
                        std::uint32_t estimatedMs)
{
    JobStep step;
    step.taskCount = tasks;
    step.demand = {14'000, 64, 0};
    step.estimatedMs = estimatedMs;
    return {id, queue, "payload", {step}};
}

/// A job for the only queue of a test.
inline FleetJob makeJob(const std::string &id, std::uint32_t tasks)
{
    constexpr std::uint32_t EstimatedMs = 900;
    return makeJob(id, "queue", tasks, EstimatedMs);
}

/// A simulated instance: leases on its own clock, fencing tokens, lists of ends, and rejected runs.
class SimulatedInstance
{
public:
    struct Run
    {
        RunKey key;
        ResourceVector demand;
        double startedAt = 0;
        double endsAt = 0;
        bool fails = false;
    };

    SimulatedInstance(InstanceReport report, double slowClock)
        : m_report(std::move(report))
        , m_slowClock(slowClock)
    {
    }

    [[nodiscard]] double clock(double now) const
    {
        return 1'000 + (now - m_startedAt) * (1.0 - m_slowClock);
    }
    /// The process ends and starts again under the same id: all of its state and its clock are
    /// lost.
    void restart(double now)
    {
        auto report = m_report;
        ++report.key.startTimeMs;
        *this = SimulatedInstance(report, m_slowClock);
        m_startedAt = now;
    }
    [[nodiscard]] const InstanceReport &report() const { return m_report; }
    [[nodiscard]] const std::vector<Run> &running() const { return m_running; }

    void advance(double now)
    {
        const bool hasLeaseExpired = clock(now) > m_leaseUntil;
        for (std::size_t n = 0; n < m_running.size();) {
            const auto run = m_running[n];
            if (run.endsAt <= now)
                end(n, run.fails ? RunEnd::Failed : RunEnd::Done);
            else if (hasLeaseExpired)
                end(n, RunEnd::LeaseExpired);
            else
                ++n;
        }
    }

    /// Tasks that have succeeded, over all time.
    [[nodiscard]] const std::set<std::string> &doneTasks() const { return m_doneTasks; }

    OrderReply start(const StartOrder &order, const ResourceVector &demand, double runMs,
                     bool fails, double now)
    {
        advance(now);
        if (order.target.fencingToken() < m_token)
            return reply(OrderResult::Fenced, now);
        m_token = order.target.fencingToken();
        const auto it = m_rejected.find(order.key.task);
        if (it != m_rejected.end() && order.key.run <= it->second)
            return reply(OrderResult::Outdated, now);
        if (static_cast<double>(order.leaseUntilMs) < clock(now))
            return reply(OrderResult::TooLate, now);
        extend(static_cast<double>(order.leaseUntilMs), now);
        ResourceVector used;
        for (const auto &run : m_running)
            used += run.demand;
        if (!demand.fitsInto(m_report.capacity - used))
            return reply(OrderResult::NoRoom, now);
        m_running.push_back({order.key, demand, now, now + runMs, fails});
        return reply(OrderResult::Accepted, now);
    }

    OrderReply stop(const StopOrder &order, double now)
    {
        advance(now);
        if (order.target.fencingToken() < m_token)
            return reply(OrderResult::Fenced, now);
        m_token = order.target.fencingToken();
        auto &rejected = m_rejected[order.key.task];
        rejected = std::max(rejected, order.key.run);
        for (std::size_t n = 0; n < m_running.size(); ++n) {
            if (m_running[n].key == order.key) {
                end(n, RunEnd::Stopped);
                break;
            }
        }
        return reply(OrderResult::Accepted, now);
    }

    HoldReply hold(const HoldOrder &order, double now)
    {
        advance(now);
        HoldReply result;
        result.clockMs = clock(now);
        result.startTimeMs = m_report.key.startTimeMs;
        result.result =
            order.target.fencingToken() < m_token ? OrderResult::Fenced : OrderResult::Accepted;
        if (result.result == OrderResult::Fenced)
            return result;
        m_token = order.target.fencingToken();
        if (order.leaseUntilMs)
            extend(static_cast<double>(*order.leaseUntilMs), now);
        std::erase_if(m_ended, [&](const EndedRun &it) { return it.number <= order.ackedThrough; });
        for (const auto &run : m_running)
            result.running.push_back({run.key, percent(run, now)});
        result.ended = m_ended;
        return result;
    }

    [[nodiscard]] bool hasUnacknowledgedEnds() const { return !m_ended.empty(); }

private:
    static std::uint32_t percent(const Run &run, double now)
    {
        return static_cast<std::uint32_t>(100 * (now - run.startedAt)
                                          / (run.endsAt - run.startedAt));
    }

    void extend(double until, double now)
    {
        constexpr double LongestLeaseMs = 1'000;
        m_leaseUntil = std::max(m_leaseUntil, std::min(until, clock(now) + LongestLeaseMs));
    }

    [[nodiscard]] OrderReply reply(OrderResult result, double now) const
    {
        return {result, clock(now), 0};
    }

    void end(std::size_t n, RunEnd reason)
    {
        auto &rejected = m_rejected[m_running[n].key.task];
        rejected = std::max(rejected, m_running[n].key.run);
        if (reason == RunEnd::Done)
            m_doneTasks.insert(m_running[n].key.task);
        m_ended.push_back({++m_lastEnd, m_running[n].key, reason});
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(n));
    }

    InstanceReport m_report;
    double m_slowClock;
    double m_startedAt = 0;
    std::uint64_t m_token = 0;
    double m_leaseUntil = 0;
    std::vector<Run> m_running;
    std::vector<EndedRun> m_ended;
    std::uint64_t m_lastEnd = 0;
    std::map<std::string, std::uint64_t> m_rejected;
    std::set<std::string> m_doneTasks;
};

/// Schedulers, each a holder with its own token, and instances, with randomly delayed messages
/// between them.
class FleetSimulation
{
public:
    static constexpr std::size_t AllInstances = 1'000'000;

    FleetSimulation(std::size_t instances, const FleetFaults &faults, std::uint64_t seed,
                    SchedulerSettings settings = {})
        : m_faults(faults)
        , m_random(seed)
        , m_settings(settings)
    {
        for (std::size_t n = 0; n < instances; ++n) {
            InstanceReport report;
            report.key = {"worker-" + std::to_string(n), 1'000};
            report.sequence = 1;
            report.service = "service";
            report.address = "127.0.0.1:" + std::to_string(1'000 + n);
            report.domain = "north";
            // Every third instance is half as large again.
            report.capacity = {n % 3 == 2 ? 48'000 : 32'000, 100'000, 0};
            m_knownInstances[report.key.id] = report;
            m_instances.emplace(report.key.id, SimulatedInstance(report, faults.slowClock));
        }
    }

    /// Makes a new scheduler the holder of all instances, or of those in a range of their numbers.
    RunScheduler &addHolder(std::uint64_t token, const FleetConfiguration &configuration,
                            std::size_t first = 0, std::size_t count = AllInstances)
    {
        m_holders.push_back(std::make_unique<RunScheduler>(m_settings));
        auto &holder = *m_holders.back();
        holder.configure(std::make_shared<const FleetConfiguration>(configuration));
        std::map<std::string, std::uint64_t> tokens;
        for (std::size_t n = first; n < std::min(first + count, m_knownInstances.size()); ++n)
            tokens["worker-" + std::to_string(n)] = token;
        holder.setInstances(m_knownInstances, tokens, Milliseconds{now});
        m_tokens[&holder] = tokens;
        return holder;
    }

    /// An instance restarts under its id. The holders get its report later.
    void restartInstance(const std::string &id)
    {
        constexpr double ReportDelayMs = 300;
        m_instances.at(id).restart(now);
        const auto report = m_instances.at(id).report();
        schedule(now + ReportDelayMs, [this, report] {
            m_knownInstances[report.key.id] = report;
            for (auto &holder : m_holders)
                holder->setInstances(m_knownInstances, m_tokens.at(holder.get()),
                                     Milliseconds{now});
        });
    }

    /// The instance ends with its runs, and answers nothing until it is back under its id.
    void crashInstance(const std::string &id)
    {
        constexpr double DownMs = 3'000;
        ++crashCount;
        m_instances.at(id).restart(now);
        m_down.insert(id);
        for (auto &holder : m_holders)
            holder->onDisconnect(m_instances.at(id).report().address);
        schedule(now + DownMs, [this, id] {
            m_down.erase(id);
            restartInstance(id);
        });
    }

    [[nodiscard]] const std::map<std::string, InstanceReport> &known() const
    {
        return m_knownInstances;
    }
    [[nodiscard]] std::map<std::string, SimulatedInstance> &instances() { return m_instances; }

    /// Whether the start of a task crashes its instance, which is back after some seconds.
    std::function<bool(const std::string &task)> crashes = [](const std::string &) {
        return false;
    };
    int crashCount = 0;
    /// Duration of each run of a task, and the resources that each run needs.
    std::function<double(const std::string &task)> runTime = [](const std::string &) { return 60; };
    ResourceVector demand{14'000, 64, 0};
    /// Factor by which an instance takes longer for every run.
    std::function<double(const std::string &instance)> slowness = [](const std::string &) {
        return 1.0;
    };
    /// Whether the network between a holder and an instance is cut: orders and replies are lost.
    std::function<bool(const RunScheduler &holder, const std::string &instance)> isCut =
        [](const RunScheduler &, const std::string &) { return false; };
    /// Whether the network between the holders is cut: they hear nothing of each other.
    bool areHoldersCut = false;
    /// Holders in this set are paused: they neither act nor receive replies.
    std::set<const RunScheduler *> paused;
    bool offersRuns = false; ///< Whether the holders exchange runs that do not fit.
    double now = 0;
    /// Number of times that two runs of one task were seen at the same time.
    int doubleRuns = 0;
    int stoppedRuns = 0; ///< Number of runs that a stop order has ended.
    std::map<std::string, JobOutcome> outcomes; ///< Outcomes by job.

    /// Advances the time in steps of one millisecond.
    void run(double untilMs)
    {
        for (; now < untilMs; now += 1) {
            deliver();
            for (auto &[id, instance] : m_instances)
                instance.advance(now);
            checkDoubleRuns();
            for (auto &holder : m_holders) {
                if (!paused.contains(holder.get()))
                    step(*holder);
            }
        }
    }

private:
    OrderReply startAt(const StartOrder &order)
    {
        const auto &id = order.target.instance.id;
        auto reply = m_instances.at(id).start(order, demand, runTime(order.key.task) * slowness(id),
                                              chance(m_faults.failingRuns), now);
        if (reply.result != OrderResult::Accepted || !crashes(order.key.task))
            return reply;
        crashInstance(id);
        return {};
    }

    double delay() { return std::uniform_real_distribution<>(0.1, m_faults.maxDelayMs)(m_random); }
    bool losesReply(const std::string &instance)
    {
        const auto number = std::stoul(instance.substr(instance.find('-') + 1));
        return number < m_faults.lossyInstances && chance(m_faults.lostReplies);
    }
    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }

    void schedule(double at, std::function<void()> action)
    {
        m_messages.emplace(at, std::move(action));
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= now) {
            const auto action = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            action();
        }
    }

    [[nodiscard]] bool isUnreachable(const RunScheduler &holder, const std::string &instance) const
    {
        return m_down.contains(instance) || isCut(holder, instance);
    }

    /// Sends an order: executes it at the instance, and delivers the reply or its absence to the
    /// holder.
    /// @param neverArrives whether the order is lost on its way.
    template <typename Reply>
    void send(RunScheduler &holder, const std::string &instance,
              const std::function<Reply()> &execute, const std::function<void(Reply)> &onReply,
              bool neverArrives = false)
    {
        const auto timeout = m_settings.lease.replyTimeout.minTimeout.count();
        const auto replyAt = [this, &holder, onReply](double at, Reply reply) {
            schedule(at, [this, &holder, onReply, reply] {
                deliverReply<Reply>(holder, onReply, reply);
            });
        };
        if (neverArrives || isUnreachable(holder, instance)) {
            replyAt(now + timeout, Reply{});
            return;
        }
        if (chance(m_faults.delayedOrders)) {
            schedule(now + std::uniform_real_distribution<>(2'000, 12'000)(m_random),
                     [this, execute, instance] {
                         if (!m_down.contains(instance))
                             (void)execute();
                     });
            replyAt(now + timeout, Reply{});
            return;
        }
        const bool isLost = losesReply(instance);
        const double sentAt = now;
        schedule(now + delay(), [=, this, &holder] {
            if (isUnreachable(holder, instance)) {
                replyAt(sentAt + timeout, Reply{});
                return;
            }
            auto reply = execute();
            replyAt(isLost ? sentAt + timeout : now + delay(), isLost ? Reply{} : reply);
        });
    }

    template <typename Reply>
    void deliverReply(RunScheduler &holder, const std::function<void(Reply)> &onReply,
                      const Reply &reply)
    {
        if (paused.contains(&holder))
            schedule(now + 5, [this, &holder, onReply, reply] {
                deliverReply<Reply>(holder, onReply, reply);
            });
        else
            onReply(reply);
    }

    /// Replies to a hold at the first end, or when its wait is over.
    void replyToHold(RunScheduler &holder, const HoldOrder &order, double until)
    {
        auto &instance = m_instances.at(order.target.instance.id);
        const bool isDown = isUnreachable(holder, order.target.instance.id);
        auto reply = isDown ? HoldReply{} : instance.hold(order, now);
        if (reply.ended.empty() && now < until && reply.result == OrderResult::Accepted) {
            schedule(now + 1, [=, this, &holder] { replyToHold(holder, order, until); });
            return;
        }
        const bool isLost = isDown || losesReply(order.target.instance.id);
        const auto at =
            isLost ? until + m_settings.lease.replyTimeout.minTimeout.count() : now + delay();
        schedule(at, [=, this, &holder] {
            deliverReply<HoldReply>(
                holder,
                [&holder, order, this](const HoldReply &it) {
                    holder.onHoldReply(order, it, Milliseconds{now});
                },
                isLost ? HoldReply{} : reply);
        });
    }

    void step(RunScheduler &holder)
    {
        const Milliseconds at{now};
        holder.advance(at);
        for (const auto &order : holder.takeStarts()) {
            send<OrderReply>(
                holder, order.target.instance.id, [this, order] { return startAt(order); },
                [this, &holder, order](OrderReply it) {
                    holder.onStartReply(order, it, Milliseconds{now});
                });
        }
        for (const auto &order : holder.takeStops()) {
            const bool neverArrives = m_faults.lostStops > 0 && chance(m_faults.lostStops);
            send<OrderReply>(
                holder, order.target.instance.id,
                [this, order] {
                    auto &instance = m_instances.at(order.target.instance.id);
                    const auto before = instance.running().size();
                    const auto reply = instance.stop(order, now);
                    stoppedRuns += static_cast<int>(before - instance.running().size());
                    return reply;
                },
                [this, &holder, order](OrderReply it) {
                    holder.onStopReply(order, it, Milliseconds{now});
                },
                neverArrives);
        }
        for (const auto &order : holder.takeHolds())
            schedule(now + delay(),
                     [=, this, &holder] { replyToHold(holder, order, now + order.waitMs); });
        for (const auto &result : holder.takeResults())
            outcomes[result.job.id] = result.outcome;
        (void)holder.takeEvents();
        exchange(holder);
    }

    // --- Offers between the holders, whose addresses are their numbers

    [[nodiscard]] std::string addressOf(const RunScheduler &holder) const
    {
        const auto it = std::ranges::find(m_holders, &holder, &std::unique_ptr<RunScheduler>::get);
        return std::to_string(it - m_holders.begin());
    }
    [[nodiscard]] RunScheduler &holderAt(const std::string &address)
    {
        return *m_holders.at(std::stoul(address));
    }

    /// Runs the action when its message arrives; a paused holder receives it when it resumes.
    void post(const RunScheduler &to, std::function<void()> action)
    {
        schedule(now + delay(), [this, &to, action = std::move(action)] {
            if (areHoldersCut)
                return;
            if (paused.contains(&to))
                post(to, action);
            else
                action();
        });
    }

    void exchange(RunScheduler &holder)
    {
        const Milliseconds at{now};
        const auto address = addressOf(holder);
        for (const auto &other : m_holders) {
            if (offersRuns && !areHoldersCut && other.get() != &holder
                && !paused.contains(other.get()))
                hear(holder, *other);
        }
        for (const auto &offer : holder.takeOffers(at)) {
            if (offersRuns)
                sendOffer(holder, offer, 0);
            else
                holder.onOfferClosed(offer.job, at);
        }
        for (const auto &end : holder.takeAcceptedEnds()) {
            auto &home = holderAt(end.key.requester);
            const JobKey job{parseTaskName(end.key.run.task)->jobId, end.key.submission};
            post(home, [this, &home, job, end] {
                // A holder asks for an end when it knows that the run has started.
                if (m_openOffers.contains({&home, end.key.run}))
                    m_retainedEnds.emplace(&home, end);
                else
                    home.onRemoteEnds(job, {end.outcome}, Milliseconds{now});
            });
        }
        for (const auto &stop : holder.takeRemoteStops()) {
            auto &other = holderAt(stop.holder);
            post(other, [this, &other, stop, address, sentAt = at] {
                other.stopOffered(stop.request, address, sentAt, Milliseconds{now});
            });
        }
    }

    void hear(RunScheduler &holder, RunScheduler &other)
    {
        constexpr double PingPeriodMs = 200;
        holder.onRequesterContact(addressOf(other), Milliseconds{now});
        if (std::fmod(now, PingPeriodMs) < 1)
            holder.onRequesterAges(addressOf(other),
                                   other.requesterAges(addressOf(holder), Milliseconds{now}),
                                   Milliseconds{now});
    }

    /// The reply to an offer has arrived: delivers the ends of its runs that came before it.
    void deliverRetainedEnds(RunScheduler &holder, const RunOffer &offer)
    {
        for (const auto &run : offer.runs)
            m_openOffers.erase({&holder, run.key});
        for (auto it = m_retainedEnds.begin(); it != m_retainedEnds.end();) {
            const auto &end = it->second;
            const JobKey job{parseTaskName(end.key.run.task)->jobId, end.key.submission};
            if (it->first != &holder || job != offer.job) {
                ++it;
                continue;
            }
            holder.onRemoteEnds(job, {end.outcome}, Milliseconds{now});
            it = m_retainedEnds.erase(it);
        }
    }

    /// Offers the runs to the holders from the given number on.
    void sendOffer(RunScheduler &holder, RunOffer offer, std::size_t number)
    {
        offer.requesterAgeMs = holder.requesterAge(offer.job, Milliseconds{now}).count();
        if (number < m_holders.size() && m_holders[number].get() == &holder)
            ++number;
        if (number >= m_holders.size() || offer.runs.empty()) {
            holder.onOfferClosed(offer.job, Milliseconds{now});
            return;
        }
        auto &other = *m_holders[number];
        for (const auto &run : offer.runs)
            m_openOffers.insert({&holder, run.key});
        post(other, [this, &holder, &other, offer, number] {
            const auto started =
                other.startOffered(offer, addressOf(holder), Milliseconds{now}).started;
            post(holder, [this, &holder, &other, offer, number, started] {
                auto rest = offer;
                std::erase_if(rest.runs, [&](const OfferedRun &it) {
                    return std::ranges::find(started, it.key) != started.end();
                });
                if (holder.hasJob(offer.job))
                    holder.onOfferedRunsStarted(offer.job, addressOf(other), started,
                                                Milliseconds{now});
                else
                    post(other, [this, &holder, &other, offer, started] {
                        other.stopOffered({offer.job, started}, addressOf(holder),
                                          Milliseconds{now}, Milliseconds{now});
                    });
                deliverRetainedEnds(holder, offer);
                sendOffer(holder, rest, number + 1);
            });
        });
    }

    void checkDoubleRuns()
    {
        std::set<std::string> tasks;
        for (const auto &[id, instance] : m_instances) {
            for (const auto &run : instance.running())
                doubleRuns += tasks.insert(run.key.task).second ? 0 : 1;
        }
    }

    FleetFaults m_faults;
    std::mt19937_64 m_random;
    SchedulerSettings m_settings;
    std::map<std::string, InstanceReport> m_knownInstances;
    std::map<std::string, SimulatedInstance> m_instances;
    std::set<std::string> m_down; ///< Instances that have crashed and are not back.
    std::vector<std::unique_ptr<RunScheduler>> m_holders;
    /// Tokens of the held instances, by holder.
    std::map<const RunScheduler *, std::map<std::string, std::uint64_t>> m_tokens;
    /// Runs that were offered without a reply so far, and the ends of such runs.
    std::set<std::pair<const RunScheduler *, RunKey>> m_openOffers;
    std::multimap<const RunScheduler *, AcceptedRunEnd> m_retainedEnds;
    std::multimap<double, std::function<void()>> m_messages;
};

} // namespace Camphor::Testing
