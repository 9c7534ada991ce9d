/// @file Simulates ledger replicas with their network, disks and clocks under a generated fault
/// schedule. The simulation records the expected history of each key and checks the replies against
/// it.
#pragma once

#include "LedgerReplica.h"
#include "Wire.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Camphor::Testing {

/// Fault probabilities, per message or per second.
struct FaultRates
{
    double loss = 0.02;
    double duplication = 0.02;
    double longDelay = 0.02;
    /// Crashes, disk losses, process pauses and partitions of single replicas.
    double nodeFaultsPerSecond = 0.6;
    double storeOutagesPerSecond = 0.1; ///< Outages of the replica set store for all replicas.
};

/// One run, determined by its seed.
class LedgerSimulation
{
public:
    LedgerSimulation(std::uint64_t seed, std::vector<bool> hasDisk, FaultRates rates)
        : m_random(seed)
        , m_rates(rates)
        , m_nodes(hasDisk.size())
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            m_nodes[n].hasDisk = hasDisk[n];
            // 2 % is far above the drift of real clocks.
            m_nodes[n].clockRate = uniform(0.98, 1.02);
            m_nodes[n].clockOffset = uniform(0, 1e6);
            startNode(n);
            scheduleTick(n);
        }
    }

    /// Runs with faults and clients, then ends all faults and checks the state of every key.
    void run(double faultMs, int claimsPerSecond)
    {
        for (double t = 200; t < faultMs; t += 1000.0 / claimsPerSecond)
            at(t, [this] {
                startClaim("key-" + std::to_string(randomBelow(m_startedClaims++ / 3 + 20)), 6'000);
            });
        for (double t = 300; t < faultMs; t += 1000.0 / (m_rates.nodeFaultsPerSecond + 1e-9))
            at(t + uniform(0, 500), [this] { injectFault(randomBelow(m_nodes.size())); });
        for (double t = 3'000; t < faultMs; t += 1000.0 / (m_rates.storeOutagesPerSecond + 1e-9))
            at(t, [this] { m_storeBlockedUntil = m_now + uniform(500, 6'000); });
        runUntil(faultMs);
        clearFaults();
        runUntil(m_now + 25'000);
        checkGranting();
        for (const auto &[key, history] : m_histories)
            queryKey(key);
        runUntil(m_now + 15'000);
    }

    // Also used by hand-written schedules.
    void at(double ms, std::function<void()> event)
    {
        m_events.push({ms, m_nextEventOrder++, std::move(event)});
    }
    void runUntil(double ms)
    {
        while (!m_events.empty() && m_events.top().time <= ms) {
            auto event = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, event.time);
            event.run();
            checkSingleGranter();
        }
        m_now = ms;
    }
    void clearFaults()
    {
        m_rates = {0, 0, 0, 0, 0};
        m_storeBlockedUntil = 0;
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            m_nodes[n].partitionedUntil = m_nodes[n].pausedUntil = 0;
            if (!m_nodes[n].replica)
                startNode(n);
        }
    }
    void blockStore(double ms) { m_storeBlockedUntil = m_now + ms; }
    void partition(std::size_t n, double ms) { m_nodes[n].partitionedUntil = m_now + ms; }
    void pause(std::size_t n, double ms) { m_nodes[n].pausedUntil = m_now + ms; }
    void crash(std::size_t n, bool losesDisk)
    {
        auto &node = m_nodes[n];
        node.replica = nullptr;
        ++node.generation;
        // A crash before the sync leaves any prefix of the unsynced records on the disk.
        if (!node.unsynced.empty()) {
            const auto writtenCount = randomBelow(node.unsynced.size() + 1);
            node.disk.insert(node.disk.end(), node.unsynced.begin(),
                             node.unsynced.begin() + static_cast<long>(writtenCount));
        }
        node.unsynced.clear();
        node.isSyncing = false;
        if (losesDisk || !node.hasDisk)
            node.disk.clear();
    }
    void startNode(std::size_t n)
    {
        auto &node = m_nodes[n];
        LedgerReplicaSettings settings;
        settings.instance = "ledger-" + std::to_string(n);
        settings.domain = "north";
        settings.address = "10.0.0." + std::to_string(n) + ":1";
        settings.incarnation = ++m_lastIncarnation * 1000;
        settings.hasDisk = node.hasDisk;
        LedgerLog log;
        for (const auto &bytes : node.disk) {
            if (!log.replay(decodeMessage<LedgerRecord>(bytes).value()))
                addViolation("replay of the journal failed");
        }
        node.replica = std::make_unique<LedgerReplica>(settings, std::move(log), clock(n));
        runActions(n);
    }
    /// Starts a claim that is resent until its timeout. A granted claim is executed and finished.
    void startClaim(const std::string &key, double timeoutMs)
    {
        auto claim = std::make_shared<Claim>();
        claim->request.key = key;
        claim->request.payloadHash = 7;
        claim->request.executor = {"entry", 1 + randomBelow(3)};
        claim->request.nonce = "nonce-" + std::to_string(++m_lastNonce);
        claim->deadline = m_now + timeoutMs;
        claim->node = randomBelow(m_nodes.size());
        sendClaim(claim);
    }
    [[nodiscard]] std::optional<std::size_t> grantingNode() const
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            if (m_nodes[n].replica && m_nodes[n].replica->isGranting(clock(n)))
                return n;
        }
        return std::nullopt;
    }
    [[nodiscard]] const ReplicaSet &committedSet() const { return m_set; }
    [[nodiscard]] const LedgerReplica *replica(std::size_t n) const
    {
        return m_nodes[n].replica.get();
    }

    std::vector<std::string> violations;
    int grants = 0;
    int recordedFinishes = 0; ///< Number of acknowledged finishes.
    int injectedFaults = 0;
    int setChanges = 0; ///< Number of committed changes of the replica set.
    double now() const { return m_now; }

private:
    struct Node
    {
        bool hasDisk = false;
        double clockRate = 1;
        double clockOffset = 0;
        std::unique_ptr<LedgerReplica> replica;
        /// Incremented by each crash, so that callbacks of an earlier process are discarded.
        int generation = 0;
        double pausedUntil = 0;
        double partitionedUntil = 0; ///< Until then unreachable for all other nodes and clients.
        std::vector<std::string> disk; ///< Encoded records that were synced.
        std::vector<std::string> unsynced;
        std::uint64_t unsyncedPosition = 0;
        bool isSyncing = false;
    };
    struct Event
    {
        double time;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::pair(other.time, other.order) < std::pair(time, order);
        }
    };
    struct Claim
    {
        ClaimRequest request;
        double deadline = 0;
        std::size_t node = 0;
        bool isDone = false;
        std::uint64_t attempt = 0;
    };
    /// The history of a key as its claimants know it.
    struct KeyHistory
    {
        std::string nonce; ///< Nonce of the last delivered grant.
        bool isReleased = false; ///< Its holder decided not to run it.
        bool hasRun = false;
        bool isRecorded = false;
        std::string response;
    };

    double uniform(double a, double b)
    {
        return std::uniform_real_distribution<double>(a, b)(m_random);
    }
    std::size_t randomBelow(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    }
    bool chance(double p) { return uniform(0, 1) < p; }
    [[nodiscard]] Milliseconds clock(std::size_t n) const
    {
        return Milliseconds{m_nodes[n].clockOffset + m_now * m_nodes[n].clockRate};
    }
    void addViolation(const std::string &text)
    {
        violations.push_back(text + " at " + std::to_string(m_now) + " ms");
    }

    // Nodes.

    void scheduleTick(std::size_t n)
    {
        at(m_now + 20, [this, n] {
            runOn(n, [this, n](LedgerReplica &) { runActions(n); });
            scheduleTick(n);
        });
    }
    /// Runs an event on a node: at once, after its pause, or not at all if it is down.
    void runOn(std::size_t n, std::function<void(LedgerReplica &)> event)
    {
        if (m_now < m_nodes[n].pausedUntil) {
            at(m_nodes[n].pausedUntil + uniform(0, 1),
               [this, n, event = std::move(event)] { runOn(n, event); });
        } else if (m_nodes[n].replica) {
            event(*m_nodes[n].replica);
            runActions(n);
        }
    }
    /// Delivers a reply to a process, unless that process has ended.
    void runOnSameProcess(std::size_t n, std::function<void(LedgerReplica &)> event)
    {
        runOn(n,
              [this, n, generation = m_nodes[n].generation,
               event = std::move(event)](LedgerReplica &it) {
                  if (m_nodes[n].generation == generation)
                      event(it);
              });
    }
    /// Delivers a message between nodes or clients, possibly delayed, twice or not at all.
    void transmit(std::optional<std::size_t> from, std::optional<std::size_t> to,
                  const std::function<void()> &deliver)
    {
        for (const auto &endpoint : {from, to}) {
            if (endpoint && m_now < m_nodes[*endpoint].partitionedUntil)
                return;
        }
        if (chance(m_rates.loss))
            return;
        for (int copies = chance(m_rates.duplication) ? 2 : 1; copies > 0; --copies) {
            const auto delay = chance(m_rates.longDelay) ? uniform(100, 4'000) : uniform(0.2, 2.0);
            at(m_now + delay, deliver);
        }
    }
    std::optional<std::size_t> nodeOf(const std::string &address) const
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            if (address == "10.0.0." + std::to_string(n) + ":1")
                return n;
        }
        return std::nullopt;
    }
    void runActions(std::size_t n)
    {
        auto &node = m_nodes[n];
        if (!node.replica)
            return;
        node.replica->tick(clock(n));
        for (auto &action : node.replica->takeActions())
            std::visit([&](auto &it) { execute(n, it); }, action);
        startSync(n);
    }
    void startSync(std::size_t n)
    {
        auto &node = m_nodes[n];
        if (node.isSyncing || node.unsynced.empty())
            return;
        node.isSyncing = true;
        at(m_now + uniform(1, 8),
           [this, n, generation = node.generation, count = node.unsynced.size(),
            position = node.unsyncedPosition] {
               auto &it = m_nodes[n];
               if (it.generation != generation)
                   return;
               // The data is durable now; a crash from here on counts as after the sync.
               it.disk.insert(it.disk.end(), it.unsynced.begin(),
                              it.unsynced.begin() + static_cast<long>(count));
               it.unsynced.erase(it.unsynced.begin(),
                                 it.unsynced.begin() + static_cast<long>(count));
               it.isSyncing = false;
               runOnSameProcess(
                   n, [position](LedgerReplica &replica) { replica.journalSynced(position); });
           });
    }

    void execute(std::size_t n, LedgerActions::WriteJournal &action)
    {
        m_nodes[n].unsynced.push_back(encodeMessage(action.record));
        m_nodes[n].unsyncedPosition = action.position;
    }
    void execute(std::size_t n, LedgerActions::SendReplicate &action)
    {
        const auto to = nodeOf(action.to.address);
        if (!to)
            return;
        transmit(n, to,
                 [this, n, to, generation = m_nodes[n].generation, request = action.request] {
                     runOn(*to, [this, n, to, generation, request](LedgerReplica &it) {
                         const auto call = ++m_lastCall;
                         m_replicaCalls[call] = {n, generation};
                         it.replicateReceived(call, request, clock(*to));
                     });
                 });
    }
    void execute(std::size_t n, LedgerActions::ReplyToReplicate &action)
    {
        const auto [to, generation] = m_replicaCalls[action.call];
        transmit(n, to, [this, to = to, generation = generation, reply = action.reply] {
            runOn(to, [this, to, generation, reply](LedgerReplica &it) {
                if (m_nodes[to].generation == generation)
                    it.replicateReplied(reply, clock(to));
            });
        });
    }
    void execute(std::size_t n, LedgerActions::SendCatchup &action)
    {
        const auto to = nodeOf(action.to.address);
        if (!to)
            return;
        transmit(n, to,
                 [this, n, to, generation = m_nodes[n].generation, request = action.request] {
                     runOn(*to, [this, n, to, generation, request](LedgerReplica &it) {
                         const auto call = ++m_lastCall;
                         m_replicaCalls[call] = {n, generation};
                         it.catchupReceived(call, request, clock(*to));
                     });
                 });
    }
    void execute(std::size_t n, LedgerActions::ReplyToCatchup &action)
    {
        const auto [to, generation] = m_replicaCalls[action.call];
        transmit(n, to, [this, to = to, generation = generation, reply = action.reply] {
            runOn(to, [this, to, generation, reply](LedgerReplica &it) {
                if (m_nodes[to].generation == generation)
                    it.catchupReplied(reply, clock(to));
            });
        });
    }
    void execute(std::size_t, LedgerActions::Notice &action)
    {
        if (action.event == LogEvent::LedgerDiverged)
            addViolation("a backup has committed entries that its primary lacks");
    }
    void execute(std::size_t, LedgerActions::ReplyToClaim &action)
    {
        if (const auto it = m_claimCalls.find(action.call); it != m_claimCalls.end())
            it->second(action.reply);
    }
    void execute(std::size_t, LedgerActions::ReplyToFinish &action)
    {
        if (const auto it = m_finishCalls.find(action.call); it != m_finishCalls.end())
            it->second(action.reply);
    }

    // Replica set store: linearizable, but calls and replies may be delayed or lost, and a change
    // may be committed after the timeout of its call.

    void execute(std::size_t n, LedgerActions::ReadSet &)
    {
        const bool isRequestLost = m_now < m_storeBlockedUntil || chance(m_rates.loss);
        const auto requestDelay = uniform(1, 20);
        at(m_now + requestDelay, [this, n, isRequestLost, generation = m_nodes[n].generation] {
            const Result<ReplicaSet> result = isRequestLost
                ? Result<ReplicaSet>(Error{ErrorCode::Timeout, "no reply"})
                : Result<ReplicaSet>(m_set);
            at(m_now + (isRequestLost ? 300 : uniform(1, 20)), [this, n, generation, result] {
                runOn(n, [this, n, generation, result](LedgerReplica &it) {
                    if (m_nodes[n].generation == generation)
                        it.setRead(result, clock(n));
                });
            });
        });
    }
    void execute(std::size_t n, LedgerActions::ChangeSet &action)
    {
        const bool isRequestLost = m_now < m_storeBlockedUntil || chance(m_rates.loss);
        const bool isReplyDelivered = !chance(m_rates.loss * 3);
        const auto delay = chance(m_rates.longDelay * 3) ? uniform(100, 5'000) : uniform(1, 20);
        const auto id = ++m_lastChange;
        if (!isRequestLost)
            m_changesInFlight[id] = {action.expectedEpoch, action.next};
        const auto finish = [this, n, generation = m_nodes[n].generation,
                             next = action.next](const Result<ReplicaSet> &result) {
            runOn(n, [this, n, generation, next, result](LedgerReplica &it) {
                if (m_nodes[n].generation == generation)
                    it.setChanged(next, result, clock(n));
            });
        };
        const auto hasFinished = std::make_shared<bool>(false);
        at(m_now + 800, [finish, hasFinished] {
            if (!std::exchange(*hasFinished, true))
                finish(Error{ErrorCode::Timeout, "no reply"});
        });
        at(m_now + delay, [this, id, isReplyDelivered, finish, hasFinished] {
            const auto it = m_changesInFlight.find(id);
            if (it == m_changesInFlight.end())
                return;
            const auto [expected, next] = it->second;
            m_changesInFlight.erase(it);
            const bool isCommitted = expected == m_set.epoch;
            if (isCommitted) {
                m_set = next;
                m_set.epoch = expected + 1;
                ++setChanges;
            }
            if (!isReplyDelivered || std::exchange(*hasFinished, true))
                return;
            if (isCommitted)
                finish(m_set);
            else
                finish(
                    Error{ErrorCode::Conflict, "the current epoch differs from the expected one"});
        });
    }

    // Faults.

    [[nodiscard]] static std::uint64_t incarnationOnDisk(const Node &node)
    {
        std::uint64_t incarnation = 0;
        for (const auto &bytes : node.disk) {
            const auto record = decodeMessage<LedgerRecord>(bytes);
            if (record.value().kind == LedgerRecordKind::Reset)
                incarnation = record.value().incarnation;
        }
        return incarnation;
    }
    /// Whether a replica set would still have a member with complete data if a node lost its state.
    [[nodiscard]] bool survivesLossOf(std::size_t n, const ReplicaSet &set) const
    {
        const auto retainsData = [&](const ReplicaMember &member) {
            const auto at = nodeOf(member.address);
            if (!at || *at == n)
                return false;
            const auto &node = m_nodes[*at];
            if (node.replica)
                return node.replica->self().incarnation == member.incarnation;
            return node.hasDisk && incarnationOnDisk(node) == member.incarnation;
        };
        return set.epoch == 0 || retainsData(set.primary)
            || std::ranges::any_of(set.backups, retainsData);
    }
    [[nodiscard]] bool mayLoseData(std::size_t n) const
    {
        return survivesLossOf(n, m_set)
            && std::ranges::all_of(m_changesInFlight, [&](const auto &item) {
                   auto next = item.second.second;
                   next.epoch = item.second.first + 1;
                   return item.second.first != m_set.epoch || survivesLossOf(n, next);
               });
    }
    void injectFault(std::size_t n)
    {
        auto &node = m_nodes[n];
        if (!node.replica || m_now < node.pausedUntil)
            return;
        ++injectedFaults;
        switch (randomBelow(5)) {
        case 0:
            partition(n, uniform(200, 5'000));
            break;
        case 1:
            pause(n, uniform(200, 5'000));
            break;
        case 2:
            // Two crashes in a row, so that the successor starts from what it had synced itself.
            crashAndRestart(n, false);
            crashAndRestart((n + 1) % m_nodes.size(), false);
            break;
        default:
            crashAndRestart(n, chance(0.3));
            break;
        }
    }
    void crashAndRestart(std::size_t n, bool losesDisk)
    {
        const auto &node = m_nodes[n];
        if (!node.replica || ((losesDisk || !node.hasDisk) && !mayLoseData(n)))
            return;
        crash(n, losesDisk);
        at(m_now + uniform(50, 4'000), [this, n] {
            if (!m_nodes[n].replica)
                startNode(n);
        });
    }

    // Clients.

    void sendClaim(const std::shared_ptr<Claim> &claim)
    {
        if (claim->isDone || m_now > claim->deadline)
            return;
        const auto attempt = ++claim->attempt;
        const auto call = ++m_lastCall;
        m_claimCalls[call] = [this, claim, attempt,
                              n = claim->node](const ClaimRpcReply &rpcReply) {
            transmit(n, std::nullopt,
                     [this, claim, attempt, rpcReply] { onClaimReply(claim, attempt, rpcReply); });
        };
        transmit(std::nullopt, claim->node, [this, claim, call, n = claim->node] {
            runOn(n, [this, claim, call, n](LedgerReplica &it) {
                it.claim(call, claim->request, 0, clock(n));
            });
        });
        at(m_now + 400, [this, claim, attempt] {
            if (claim->attempt == attempt) {
                claim->node = (claim->node + 1) % m_nodes.size();
                sendClaim(claim);
            }
        });
    }
    void onClaimReply(const std::shared_ptr<Claim> &claim, std::uint64_t attempt,
                      const ClaimRpcReply &rpcReply)
    {
        if (claim->isDone)
            return;
        if (rpcReply.state != LedgerRpcStatus::Handled) {
            if (attempt != claim->attempt)
                return;
            ++claim->attempt;
            const auto primary = nodeOf(rpcReply.primary);
            claim->node = primary ? *primary : (claim->node + 1) % m_nodes.size();
            at(m_now + 20, [this, claim] { sendClaim(claim); });
            return;
        }
        claim->isDone = true;
        auto &history = m_histories[claim->request.key];
        const auto &reply = rpcReply.reply;
        if (reply.state == ClaimState::Stored && reply.outcome == Outcome::NotRun && history.hasRun)
            addViolation("not-run reported for " + claim->request.key + ", which ran");
        if (reply.state == ClaimState::Granted)
            onGrant(*claim, history);
    }
    void onGrant(const Claim &claim, KeyHistory &history)
    {
        ++grants;
        if (!history.nonce.empty() && history.nonce != claim.request.nonce && !history.isReleased)
            addViolation("double grant of " + claim.request.key);
        history = {};
        history.nonce = claim.request.nonce;
        FinishRequest finish;
        finish.key = claim.request.key;
        finish.executor = claim.request.executor;
        finish.nonce = claim.request.nonce;
        finish.outcome = chance(0.2) ? Outcome::NotRun : Outcome::Completed;
        history.isReleased = finish.outcome == Outcome::NotRun;
        history.hasRun = !history.isReleased;
        if (history.hasRun) {
            finish.started = 1;
            finish.response = "answer to " + finish.nonce;
            history.response = finish.response;
        }
        // Some holders crash and never report.
        if (!chance(0.1))
            at(m_now + uniform(1, 500),
               [this, finish, n = claim.node] { sendFinish(finish, n, m_now + 5'000); });
    }
    void sendFinish(const FinishRequest &request, std::size_t n, double deadline)
    {
        auto &history = m_histories[request.key];
        if (m_now > deadline || history.isRecorded || history.nonce != request.nonce)
            return;
        const auto call = ++m_lastCall;
        m_finishCalls[call] = [this, request, n](const FinishRpcReply &rpcReply) {
            transmit(n, std::nullopt, [this, request, rpcReply] {
                auto &it = m_histories[request.key];
                if (rpcReply.isRecorded && it.nonce == request.nonce && !it.isRecorded) {
                    it.isRecorded = true;
                    ++recordedFinishes;
                }
            });
        };
        transmit(std::nullopt, n, [this, request, call, n] {
            runOn(n, [this, request, call, n](LedgerReplica &it) {
                it.finish(call, request, clock(n));
            });
        });
        at(m_now + 300, [this, request, n, deadline] {
            sendFinish(request, (n + 1) % m_nodes.size(), deadline);
        });
    }
    void queryKey(const std::string &key)
    {
        const auto n = grantingNode();
        if (!n)
            return;
        const auto call = ++m_lastCall;
        m_claimCalls[call] = [this, key](const ClaimRpcReply &rpcReply) {
            const auto &history = m_histories[key];
            const auto state = rpcReply.reply.state;
            if (rpcReply.state != LedgerRpcStatus::Handled) {
                addViolation("no reply to the query for " + key + " after all faults ended");
            } else if (history.hasRun && state != ClaimState::Running
                       && state != ClaimState::Stored) {
                addViolation("lost the claim of " + key);
            } else if (history.isRecorded && !history.isReleased
                       && (state != ClaimState::Stored
                           || rpcReply.reply.response != history.response)) {
                addViolation("lost the outcome of " + key);
            }
        };
        runOn(*n, [this, call, key, n](LedgerReplica &it) { it.query(call, {key}, 0, clock(*n)); });
    }

    // Checks.

    [[nodiscard]] std::string describeReplicas() const
    {
        std::string text = "epoch " + std::to_string(m_set.epoch) + " primary "
            + m_set.primary.instance + "/" + std::to_string(m_set.primary.incarnation);
        for (const auto &it : m_set.backups)
            text += " backup " + it.instance + "/" + std::to_string(it.incarnation);
        for (const auto &node : m_nodes) {
            const auto status = node.replica->status(Milliseconds{0});
            text += "; " + status.instance + "/" + std::to_string(node.replica->self().incarnation)
                + " role " + std::to_string(static_cast<int>(status.role)) + " epoch "
                + std::to_string(status.set.epoch) + " committed "
                + std::to_string(status.commitSequence) + " of "
                + std::to_string(status.lastSequence);
        }
        return text;
    }
    void checkSingleGranter()
    {
        int count = 0;
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            count += m_nodes[n].replica && m_nodes[n].replica->isGranting(clock(n)) ? 1 : 0;
        if (count > 1 && violations.size() < 20)
            addViolation("two replicas grant at the same time");
    }
    void checkGranting()
    {
        const auto n = grantingNode();
        if (!n)
            addViolation("no replica grants after all faults ended: " + describeReplicas());
        else if (m_set.backups.size() + 1 != m_nodes.size())
            addViolation("the replica set is incomplete after all faults ended: "
                         + describeReplicas());
    }

    std::mt19937_64 m_random;
    FaultRates m_rates;
    double m_now = 0;
    std::uint64_t m_nextEventOrder = 0;
    std::priority_queue<Event> m_events;
    std::vector<Node> m_nodes;
    ReplicaSet m_set;
    double m_storeBlockedUntil = 0;
    std::map<std::uint64_t, std::pair<std::uint64_t, ReplicaSet>> m_changesInFlight;
    std::map<std::uint64_t, std::pair<std::size_t, int>> m_replicaCalls;
    std::map<std::uint64_t, std::function<void(const ClaimRpcReply &)>> m_claimCalls;
    std::map<std::uint64_t, std::function<void(const FinishRpcReply &)>> m_finishCalls;
    std::map<std::string, KeyHistory> m_histories;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastNonce = 0;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastChange = 0;
    std::size_t m_startedClaims = 0;
};

} // namespace Camphor::Testing
