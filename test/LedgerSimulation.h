/// @file Ledger replicas, their network, disks and clocks under a generated fault schedule. The
/// simulation keeps the books that the replicas are checked against.
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

/// Which faults happen, as chances per message or per second.
struct FaultRates
{
    double loss = 0.02;
    double duplication = 0.02;
    double longDelay = 0.02;
    double nodeFaultsPerSecond = 0.6; ///< Crash, lost disk, pause or partition of one replica.
    double storeCutsPerSecond = 0.1; ///< No replica reaches the replica set store for a while.
};

/// One run. Everything in it follows from the seed.
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

    /// Runs with faults and clients, then heals everything, then checks the books.
    void run(double faultMs, int claimsPerSecond)
    {
        for (double t = 200; t < faultMs; t += 1000.0 / claimsPerSecond)
            at(t, [this] { startClaim("key-" + std::to_string(below(m_keys++ / 3 + 20)), 6'000); });
        for (double t = 300; t < faultMs; t += 1000.0 / (m_rates.nodeFaultsPerSecond + 1e-9))
            at(t + uniform(0, 500), [this] { breakNode(below(m_nodes.size())); });
        for (double t = 3'000; t < faultMs; t += 1000.0 / (m_rates.storeCutsPerSecond + 1e-9))
            at(t, [this] { m_storeCutUntil = m_now + uniform(500, 6'000); });
        runUntil(faultMs);
        heal();
        runUntil(m_now + 25'000);
        checkGranting();
        for (const auto &[key, book] : m_books)
            queryKey(key);
        runUntil(m_now + 15'000);
    }

    // For hand-written schedules.
    void at(double ms, std::function<void()> event)
    {
        m_events.push({ms, m_order++, std::move(event)});
    }
    void runUntil(double ms)
    {
        while (!m_events.empty() && m_events.top().time <= ms) {
            auto event = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, event.time);
            event.run();
            checkOneGrants();
        }
        m_now = ms;
    }
    void heal()
    {
        m_rates = {0, 0, 0, 0, 0};
        m_storeCutUntil = 0;
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            m_nodes[n].cutUntil = m_nodes[n].pausedUntil = 0;
            if (!m_nodes[n].replica)
                startNode(n);
        }
    }
    void cutStore(double ms) { m_storeCutUntil = m_now + ms; }
    void cut(std::size_t n, double ms) { m_nodes[n].cutUntil = m_now + ms; }
    void pause(std::size_t n, double ms) { m_nodes[n].pausedUntil = m_now + ms; }
    void crash(std::size_t n, bool losesDisk)
    {
        auto &node = m_nodes[n];
        node.replica = nullptr;
        ++node.life;
        // A crash before the sync keeps any part of what was written, always from its start.
        if (!node.unsynced.empty()) {
            const auto kept = below(node.unsynced.size() + 1);
            node.disk.insert(node.disk.end(), node.unsynced.begin(),
                             node.unsynced.begin() + static_cast<long>(kept));
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
                violation("journal does not replay");
        }
        node.replica = std::make_unique<LedgerReplica>(settings, std::move(log), clock(n));
        settle(n);
    }
    /// Claims with resends; a granted claim is run and finished.
    void startClaim(const std::string &key, double timeoutMs)
    {
        auto claim = std::make_shared<Claim>();
        claim->request.key = key;
        claim->request.payloadHash = 7;
        claim->request.executor = {"entry", 1 + below(3)};
        claim->request.nonce = "nonce-" + std::to_string(++m_lastNonce);
        claim->deadline = m_now + timeoutMs;
        claim->node = below(m_nodes.size());
        sendClaim(claim);
    }
    [[nodiscard]] std::optional<std::size_t> granting() const
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
    int recorded = 0; ///< Finishes that were acknowledged.
    int faults = 0;
    int changes = 0; ///< Committed changes of the set.
    double now() const { return m_now; }

private:
    struct Node
    {
        bool hasDisk = false;
        double clockRate = 1;
        double clockOffset = 0;
        std::unique_ptr<LedgerReplica> replica;
        int life = 0; ///< Of the process.
        double pausedUntil = 0;
        double cutUntil = 0; ///< From all other nodes and clients.
        std::vector<std::string> disk; ///< Encoded records that are synced.
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
    /// What is known to have happened to a key.
    struct Book
    {
        std::string nonce; ///< Of the last grant that was delivered.
        bool isReleased = false; ///< Its holder has decided not to run it.
        bool hasRun = false;
        bool isRecorded = false;
        std::string answer;
    };

    double uniform(double a, double b)
    {
        return std::uniform_real_distribution<double>(a, b)(m_random);
    }
    std::size_t below(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    }
    bool chance(double p) { return uniform(0, 1) < p; }
    [[nodiscard]] Milliseconds clock(std::size_t n) const
    {
        return Milliseconds{m_nodes[n].clockOffset + m_now * m_nodes[n].clockRate};
    }
    void violation(const std::string &text)
    {
        violations.push_back(text + " at " + std::to_string(m_now) + " ms");
    }

    // Nodes.

    void scheduleTick(std::size_t n)
    {
        at(m_now + 20, [this, n] {
            runOn(n, [this, n](LedgerReplica &) { settle(n); });
            scheduleTick(n);
        });
    }
    /// Runs an event on a node: at once, after its pause, or never if it is down.
    void runOn(std::size_t n, std::function<void(LedgerReplica &)> event)
    {
        if (m_now < m_nodes[n].pausedUntil) {
            at(m_nodes[n].pausedUntil + uniform(0, 1),
               [this, n, event = std::move(event)] { runOn(n, event); });
        } else if (m_nodes[n].replica) {
            event(*m_nodes[n].replica);
            settle(n);
        }
    }
    /// Runs an answer to a call of a process, unless that process has ended.
    void answerTo(std::size_t n, std::function<void(LedgerReplica &)> event)
    {
        runOn(n, [this, n, life = m_nodes[n].life, event = std::move(event)](LedgerReplica &it) {
            if (m_nodes[n].life == life)
                event(it);
        });
    }
    /// Delivers a message between nodes or clients, late, twice or not at all.
    void transmit(std::optional<std::size_t> from, std::optional<std::size_t> to,
                  const std::function<void()> &deliver)
    {
        for (const auto &end : {from, to}) {
            if (end && m_now < m_nodes[*end].cutUntil)
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
    void settle(std::size_t n)
    {
        auto &node = m_nodes[n];
        if (!node.replica)
            return;
        node.replica->tick(clock(n));
        for (auto &action : node.replica->takeActions())
            std::visit([&](auto &it) { carryOut(n, it); }, action);
        startSync(n);
    }
    void startSync(std::size_t n)
    {
        auto &node = m_nodes[n];
        if (node.isSyncing || node.unsynced.empty())
            return;
        node.isSyncing = true;
        at(m_now + uniform(1, 8),
           [this, n, life = node.life, count = node.unsynced.size(),
            position = node.unsyncedPosition] {
               auto &it = m_nodes[n];
               if (it.life != life)
                   return;
               // The data are durable now; a crash before the next line comes after the sync.
               it.disk.insert(it.disk.end(), it.unsynced.begin(),
                              it.unsynced.begin() + static_cast<long>(count));
               it.unsynced.erase(it.unsynced.begin(),
                                 it.unsynced.begin() + static_cast<long>(count));
               it.isSyncing = false;
               answerTo(n, [position](LedgerReplica &replica) { replica.journalSynced(position); });
           });
    }

    void carryOut(std::size_t n, LedgerActions::WriteJournal &action)
    {
        m_nodes[n].unsynced.push_back(encodeMessage(action.record));
        m_nodes[n].unsyncedPosition = action.position;
    }
    void carryOut(std::size_t n, LedgerActions::SendReplicate &action)
    {
        const auto to = nodeOf(action.to.address);
        if (!to)
            return;
        transmit(n, to, [this, n, to, life = m_nodes[n].life, request = action.request] {
            runOn(*to, [this, n, to, life, request](LedgerReplica &it) {
                const auto call = ++m_lastCall;
                m_replicateCalls[call] = {n, life};
                it.replicateReceived(call, request, clock(*to));
            });
        });
    }
    void carryOut(std::size_t n, LedgerActions::AnswerReplicate &action)
    {
        const auto [to, life] = m_replicateCalls[action.call];
        transmit(n, to, [this, to = to, life = life, reply = action.reply] {
            runOn(to, [this, to, life, reply](LedgerReplica &it) {
                if (m_nodes[to].life == life)
                    it.replicateReplied(reply, clock(to));
            });
        });
    }
    void carryOut(std::size_t n, LedgerActions::SendCatchup &action)
    {
        const auto to = nodeOf(action.to.address);
        if (!to)
            return;
        transmit(n, to, [this, n, to, life = m_nodes[n].life, request = action.request] {
            runOn(*to, [this, n, to, life, request](LedgerReplica &it) {
                const auto call = ++m_lastCall;
                m_replicateCalls[call] = {n, life};
                it.catchupReceived(call, request, clock(*to));
            });
        });
    }
    void carryOut(std::size_t n, LedgerActions::AnswerCatchup &action)
    {
        const auto [to, life] = m_replicateCalls[action.call];
        transmit(n, to, [this, to = to, life = life, reply = action.reply] {
            runOn(to, [this, to, life, reply](LedgerReplica &it) {
                if (m_nodes[to].life == life)
                    it.catchupReplied(reply, clock(to));
            });
        });
    }
    void carryOut(std::size_t, LedgerActions::Notice &action)
    {
        if (action.event == LogEvent::LedgerDiverged)
            violation("a backup knows more than its primary");
    }
    void carryOut(std::size_t, LedgerActions::AnswerClaim &action)
    {
        if (const auto it = m_claimCalls.find(action.call); it != m_claimCalls.end())
            it->second(action.answer);
    }
    void carryOut(std::size_t, LedgerActions::AnswerFinish &action)
    {
        if (const auto it = m_finishCalls.find(action.call); it != m_finishCalls.end())
            it->second(action.answer);
    }

    // The replica set store: linearizable, but calls may be late, lost or answered too late.

    void carryOut(std::size_t n, LedgerActions::ReadSet &)
    {
        const bool isLost = m_now < m_storeCutUntil || chance(m_rates.loss);
        const auto there = uniform(1, 20);
        at(m_now + there, [this, n, isLost, life = m_nodes[n].life] {
            const Result<ReplicaSet> result = isLost
                ? Result<ReplicaSet>(Error{ErrorCode::Timeout, "no answer"})
                : Result<ReplicaSet>(m_set);
            at(m_now + (isLost ? 300 : uniform(1, 20)), [this, n, life, result] {
                runOn(n, [this, n, life, result](LedgerReplica &it) {
                    if (m_nodes[n].life == life)
                        it.setRead(result, clock(n));
                });
            });
        });
    }
    void carryOut(std::size_t n, LedgerActions::ChangeSet &action)
    {
        const bool isLost = m_now < m_storeCutUntil || chance(m_rates.loss);
        const bool isAnswered = !chance(m_rates.loss * 3);
        const auto delay = chance(m_rates.longDelay * 3) ? uniform(100, 5'000) : uniform(1, 20);
        const auto id = ++m_lastChange;
        if (!isLost)
            m_changesOnTheWay[id] = {action.expectedEpoch, action.next};
        const auto finish = [this, n, life = m_nodes[n].life,
                             next = action.next](const Result<ReplicaSet> &result) {
            runOn(n, [this, n, life, next, result](LedgerReplica &it) {
                if (m_nodes[n].life == life)
                    it.setChanged(next, result, clock(n));
            });
        };
        const auto answered = std::make_shared<bool>(false);
        at(m_now + 800, [finish, answered] {
            if (!std::exchange(*answered, true))
                finish(Error{ErrorCode::Timeout, "no answer"});
        });
        at(m_now + delay, [this, id, isAnswered, finish, answered] {
            const auto it = m_changesOnTheWay.find(id);
            if (it == m_changesOnTheWay.end())
                return;
            const auto [expected, next] = it->second;
            m_changesOnTheWay.erase(it);
            const bool isCommitted = expected == m_set.epoch;
            if (isCommitted) {
                m_set = next;
                m_set.epoch = expected + 1;
                ++changes;
            }
            if (!isAnswered || std::exchange(*answered, true))
                return;
            if (isCommitted)
                finish(m_set);
            else
                finish(Error{ErrorCode::Conflict, "the epoch has changed"});
        });
    }

    // Faults.

    [[nodiscard]] static std::uint64_t incarnationOn(const Node &node)
    {
        std::uint64_t incarnation = 0;
        for (const auto &bytes : node.disk) {
            const auto record = decodeMessage<LedgerRecord>(bytes);
            if (record.value().kind == LedgerRecordKind::Reset)
                incarnation = record.value().incarnation;
        }
        return incarnation;
    }
    /// Whether a set would still have a member with all data if a node lost what it holds.
    [[nodiscard]] bool survivesLossOf(std::size_t n, const ReplicaSet &set) const
    {
        const auto keeps = [&](const ReplicaMember &member) {
            const auto at = nodeOf(member.address);
            if (!at || *at == n)
                return false;
            const auto &node = m_nodes[*at];
            if (node.replica)
                return node.replica->self().incarnation == member.incarnation;
            return node.hasDisk && incarnationOn(node) == member.incarnation;
        };
        return set.epoch == 0 || keeps(set.primary) || std::ranges::any_of(set.backups, keeps);
    }
    [[nodiscard]] bool mayLose(std::size_t n) const
    {
        return survivesLossOf(n, m_set)
            && std::ranges::all_of(m_changesOnTheWay, [&](const auto &item) {
                   auto next = item.second.second;
                   next.epoch = item.second.first + 1;
                   return item.second.first != m_set.epoch || survivesLossOf(n, next);
               });
    }
    void breakNode(std::size_t n)
    {
        auto &node = m_nodes[n];
        if (!node.replica || m_now < node.pausedUntil)
            return;
        ++faults;
        switch (below(5)) {
        case 0:
            cut(n, uniform(200, 5'000));
            break;
        case 1:
            pause(n, uniform(200, 5'000));
            break;
        case 2:
            // One after the other, so that a successor starts from what it had synced itself.
            breakDown(n, false);
            breakDown((n + 1) % m_nodes.size(), false);
            break;
        default:
            breakDown(n, chance(0.3));
            break;
        }
    }
    void breakDown(std::size_t n, bool losesDisk)
    {
        const auto &node = m_nodes[n];
        if (!node.replica || ((losesDisk || !node.hasDisk) && !mayLose(n)))
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
        m_claimCalls[call] = [this, claim, attempt, n = claim->node](const ClaimAnswer &answer) {
            transmit(n, std::nullopt,
                     [this, claim, attempt, answer] { onClaimAnswer(claim, attempt, answer); });
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
    void onClaimAnswer(const std::shared_ptr<Claim> &claim, std::uint64_t attempt,
                       const ClaimAnswer &answer)
    {
        if (claim->isDone)
            return;
        if (answer.state != LedgerAnswerState::Answered) {
            if (attempt != claim->attempt)
                return;
            ++claim->attempt;
            const auto primary = nodeOf(answer.primary);
            claim->node = primary ? *primary : (claim->node + 1) % m_nodes.size();
            at(m_now + 20, [this, claim] { sendClaim(claim); });
            return;
        }
        claim->isDone = true;
        auto &book = m_books[claim->request.key];
        const auto &reply = answer.reply;
        if (reply.state == ClaimState::Stored && reply.outcome == Outcome::NotRun && book.hasRun)
            violation("not-run for " + claim->request.key + ", which ran");
        if (reply.state == ClaimState::Granted)
            onGrant(*claim, book);
    }
    void onGrant(const Claim &claim, Book &book)
    {
        ++grants;
        if (!book.nonce.empty() && book.nonce != claim.request.nonce && !book.isReleased)
            violation("double grant of " + claim.request.key);
        book = {};
        book.nonce = claim.request.nonce;
        FinishRequest finish;
        finish.key = claim.request.key;
        finish.executor = claim.request.executor;
        finish.nonce = claim.request.nonce;
        finish.outcome = chance(0.2) ? Outcome::NotRun : Outcome::Completed;
        book.isReleased = finish.outcome == Outcome::NotRun;
        book.hasRun = !book.isReleased;
        if (book.hasRun) {
            finish.started = 1;
            finish.answer = "answer to " + finish.nonce;
            book.answer = finish.answer;
        }
        // Some holders die and never report.
        if (!chance(0.1))
            at(m_now + uniform(1, 500),
               [this, finish, n = claim.node] { sendFinish(finish, n, m_now + 5'000); });
    }
    void sendFinish(const FinishRequest &request, std::size_t n, double deadline)
    {
        auto &book = m_books[request.key];
        if (m_now > deadline || book.isRecorded || book.nonce != request.nonce)
            return;
        const auto call = ++m_lastCall;
        m_finishCalls[call] = [this, request, n](const FinishAnswer &answer) {
            transmit(n, std::nullopt, [this, request, answer] {
                auto &it = m_books[request.key];
                if (answer.isRecorded && it.nonce == request.nonce && !it.isRecorded) {
                    it.isRecorded = true;
                    ++recorded;
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
        const auto n = granting();
        if (!n)
            return;
        const auto call = ++m_lastCall;
        m_claimCalls[call] = [this, key](const ClaimAnswer &answer) {
            const auto &book = m_books[key];
            const auto state = answer.reply.state;
            if (answer.state != LedgerAnswerState::Answered) {
                violation("no answer about " + key + " after healing");
            } else if (book.hasRun && state != ClaimState::Running && state != ClaimState::Stored) {
                violation("lost the claim of " + key);
            } else if (book.isRecorded && !book.isReleased
                       && (state != ClaimState::Stored || answer.reply.answer != book.answer)) {
                violation("lost the outcome of " + key);
            }
        };
        runOn(*n, [this, call, key, n](LedgerReplica &it) { it.query(call, {key}, 0, clock(*n)); });
    }

    // Checks.

    [[nodiscard]] std::string describe() const
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
    void checkOneGrants()
    {
        int count = 0;
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            count += m_nodes[n].replica && m_nodes[n].replica->isGranting(clock(n)) ? 1 : 0;
        if (count > 1 && violations.size() < 20)
            violation("two replicas grant");
    }
    void checkGranting()
    {
        const auto n = granting();
        if (!n)
            violation("no replica grants after healing: " + describe());
        else if (m_set.backups.size() + 1 != m_nodes.size())
            violation("the set is not whole after healing: " + describe());
    }

    std::mt19937_64 m_random;
    FaultRates m_rates;
    double m_now = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<Node> m_nodes;
    ReplicaSet m_set;
    double m_storeCutUntil = 0;
    std::map<std::uint64_t, std::pair<std::uint64_t, ReplicaSet>> m_changesOnTheWay;
    std::map<std::uint64_t, std::pair<std::size_t, int>> m_replicateCalls;
    std::map<std::uint64_t, std::function<void(const ClaimAnswer &)>> m_claimCalls;
    std::map<std::uint64_t, std::function<void(const FinishAnswer &)>> m_finishCalls;
    std::map<std::string, Book> m_books;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastNonce = 0;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastChange = 0;
    std::size_t m_keys = 0;
};

} // namespace Camphor::Testing
