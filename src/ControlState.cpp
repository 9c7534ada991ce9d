#include "ControlState.h"

#include "LedgerHome.h"
#include "Wire.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <numeric>

namespace Camphor {

namespace {

std::uint64_t hashOf(const std::string &text) { return XXH3_64bits(text.data(), text.size()); }

/// The serialised parts of the state, from which all others are computed.
struct StoredControlState
{
    std::vector<VersionRecord> history;
    std::vector<std::string> recentRequests;
    std::vector<std::string> domains;
    std::vector<ReplicaSet> replicaSets;
    std::vector<BucketHome> buckets;
    std::vector<std::string> declaredDomains;
    StoredDocument document;
    std::vector<CellGrant> grants;
    std::uint64_t lastToken = 0;
    DomainDrains drains;

    template <typename Archive>
    void save(Archive &archive) const
    {
        archive(history, recentRequests, domains, replicaSets, buckets, declaredDomains, document,
                grants, lastToken, drains);
    }
    template <typename Archive>
    void load(Archive &archive)
    {
        archive(history, recentRequests, domains, replicaSets, buckets, declaredDomains, document,
                grants, lastToken);
        // A version that could not drain domains has stored a state without drains.
        if (archive.remaining() > 0)
            archive(drains);
    }
};

} // namespace

const char *controlOutcomeName(ControlOutcome outcome)
{
    switch (outcome) {
    case ControlOutcome::Accepted:
        return "accepted";
    case ControlOutcome::Conflict:
        return "conflict";
    case ControlOutcome::Invalid:
        return "invalid";
    case ControlOutcome::NotLeader:
        return "not-leader";
    case ControlOutcome::Unknown:
        return "unknown";
    case ControlOutcome::Unavailable:
        return "unavailable";
    case ControlOutcome::Refused:
        return "refused";
    }
    return "unknown";
}

std::uint64_t ControlState::version() const
{
    return m_history.empty() ? 0 : m_history.back().version;
}

VersionedDeclaration ControlState::current() const
{
    if (m_history.empty())
        return {};
    return {m_history.back().version, m_history.back().text};
}

std::optional<std::string> ControlState::text(std::uint64_t version) const
{
    if (m_history.empty() || version < m_history.front().version || version > this->version())
        return std::nullopt;
    const auto &record = m_history.at(version - m_history.front().version);
    if (record.text.empty())
        return std::nullopt;
    return record.text;
}

ReplicaSet ControlState::replicaSet(const std::string &domain) const
{
    const auto it = m_replicaSets.find(domain);
    return it == m_replicaSets.end() ? ReplicaSet{} : it->second;
}

ApplyReply ControlState::apply(const ApplyCommand &command)
{
    const auto hash = hashOf(command.text);
    if (const auto it = m_recentRequestsById.find(command.requestId);
        it != m_recentRequestsById.end()) {
        const auto &original = m_recentRequests.at(it->second - m_firstRequestNumber);
        if (original.textHash == hash && original.expectedVersion == command.expectedVersion)
            return original.reply;
        return {
            ControlOutcome::Invalid,
            0,
            command.expectedVersion,
            version(),
            "this request id was already used for a different change. Fix: use a new request id",
            {}};
    }
    const auto reply = evaluate(command, hash);
    retainReply(command, hash, reply);
    return reply;
}

ApplyReply ControlState::evaluate(const ApplyCommand &command, std::uint64_t hash)
{
    ApplyReply reply{
        ControlOutcome::Accepted, version(), command.expectedVersion, version(), {}, {}};
    const bool isEqualText = !m_history.empty() && m_history.back().textHash == hash
        && m_history.back().text == command.text;
    // The text is in force already, so there is nothing to change: neither for an operator whose
    // change is based on the current version nor for one who lost a race against the same text.
    if (isEqualText
        && (command.expectedVersion == version() || command.expectedVersion + 1 == version()))
        return reply;
    if (command.expectedVersion != version()) {
        reply.outcome = ControlOutcome::Conflict;
        reply.version = 0;
        reply.message = "the change is for version " + std::to_string(command.expectedVersion)
            + ", but version " + std::to_string(version())
            + " is in force. Fix: compare both with 'camphorctl diff' and apply the change again";
        return reply;
    }
    if (auto problem = undeclaredHomeError(command.domains); !problem.empty()) {
        reply.outcome = ControlOutcome::Invalid;
        reply.version = 0;
        reply.message = std::move(problem);
        return reply;
    }
    appendVersion(command, hash);
    reply.version = reply.currentVersion = version();
    return reply;
}

std::string ControlState::undeclaredHomeError(const std::vector<std::string> &domains) const
{
    const auto isDeclared = [&](const std::string &domain) {
        return domain.empty() || std::ranges::find(domains, domain) != domains.end();
    };
    const auto it = std::ranges::find_if(m_buckets, [&](const BucketHome &home) {
        return !isDeclared(home.domain) || !isDeclared(home.movingTo);
    });
    if (it == m_buckets.end())
        return {};
    return "failure domain '" + (isDeclared(it->domain) ? it->movingTo : it->domain)
        + "' is the home of key buckets and can't be removed. Fix: leave it in 'domains' until its "
          "buckets have been moved";
}

void ControlState::appendVersion(const ApplyCommand &command, std::uint64_t hash)
{
    m_history.push_back({version() + 1, command.requestId, hash, command.text.size(),
                         command.timeMs, command.text});
    m_retainedTextBytes += command.text.size();
    while (m_retainedTextBytes > MaxRetainedTextBytes && m_discardedTexts + 1 < m_history.size()) {
        auto &record = m_history.at(m_discardedTexts++);
        m_retainedTextBytes -= record.text.size();
        record.text = {};
    }
    if (m_history.size() > MaxRecords) {
        m_retainedTextBytes -= m_history.front().text.size();
        m_discardedTexts -= m_discardedTexts > 0 ? 1 : 0;
        m_history.pop_front();
    }
    m_declaredDomains = {command.domains.begin(), command.domains.end()};
    if (m_buckets.empty() && !command.domains.empty()) {
        auto domains = command.domains;
        std::ranges::sort(domains);
        // The same assignment as BucketMap::spread(), which entries use until they have received
        // this map.
        for (std::size_t n = 0; n < KeyBuckets; ++n)
            m_buckets.push_back({domains[n * domains.size() / KeyBuckets], {}, 0});
    }
}

void ControlState::retainReply(const ApplyCommand &command, std::uint64_t hash,
                               const ApplyReply &reply)
{
    m_recentRequestsById[command.requestId] = m_firstRequestNumber + m_recentRequests.size();
    m_recentRequests.push_back({command.requestId, command.expectedVersion, hash, reply});
    if (m_recentRequests.size() > MaxRequests) {
        m_recentRequestsById.erase(m_recentRequests.front().requestId);
        m_recentRequests.pop_front();
        ++m_firstRequestNumber;
    }
}

ReplicaSetReply ControlState::apply(const CompareAndSetCommand &command)
{
    auto &current = m_replicaSets[command.domain];
    // A retry after a lost reply finds its own change in force.
    const bool isRetry = command.expectedEpoch + 1 == current.epoch && command.next == current;
    if (isRetry)
        return {ControlOutcome::Accepted, current, {}, {}};
    if (command.expectedEpoch != current.epoch) {
        return {ControlOutcome::Conflict,
                current,
                "expected epoch " + std::to_string(command.expectedEpoch) + ", found "
                    + std::to_string(current.epoch),
                {}};
    }
    if (command.next.epoch != command.expectedEpoch + 1)
        return {ControlOutcome::Invalid,
                current,
                "the new epoch must be the expected epoch plus 1",
                {}};
    current = command.next;
    return {ControlOutcome::Accepted, current, {}, {}};
}

MoveBucketReply ControlState::apply(const MoveBucketCommand &command)
{
    if (command.bucket >= m_buckets.size())
        return {ControlOutcome::Invalid, {}, "the bucket does not exist", {}};
    auto &home = m_buckets[command.bucket];
    if (command.expectedEpoch != home.epoch) {
        return {ControlOutcome::Conflict,
                home,
                "expected epoch " + std::to_string(command.expectedEpoch) + ", found "
                    + std::to_string(home.epoch),
                {}};
    }
    const bool isMoving = !home.movingTo.empty();
    if (isMoving == (command.step == BucketStep::Start))
        return {ControlOutcome::Invalid,
                home,
                isMoving ? "the bucket is already moving" : "the bucket is not moving",
                {}};
    if (command.step == BucketStep::Start) {
        if (command.to == home.domain || command.to.empty())
            return {ControlOutcome::Invalid,
                    home,
                    "the target failure domain is empty or is already the home of the bucket",
                    {}};
        if (!m_declaredDomains.contains(command.to))
            return {ControlOutcome::Invalid, home, "the failure domain is not declared", {}};
        home.movingTo = command.to;
    } else {
        if (command.step == BucketStep::Finish)
            home.domain = home.movingTo;
        home.movingTo.clear();
    }
    ++home.epoch;
    return {ControlOutcome::Accepted, home, {}, {}};
}

StoreDocumentReply ControlState::apply(const StoreDocumentCommand &command)
{
    // A version that is not higher is a retry or was superseded by a newer one; its writer has
    // nothing left to do.
    if (command.document.version > m_document.version)
        m_document = command.document;
    return {ControlOutcome::Accepted, m_document.version};
}

GrantCellReply ControlState::apply(const GrantCellCommand &command)
{
    auto &current = m_grants[command.next.name()];
    if (command.expectedToken != current.token)
        return {ControlOutcome::Conflict, current};
    current = command.next;
    current.token = ++m_lastToken;
    return {ControlOutcome::Accepted, current};
}

DrainDomainReply ControlState::apply(const DrainDomainCommand &command)
{
    if (m_drains.contains(command.domain) != command.isDrained) {
        auto &domains = m_drains.domains;
        const auto at = std::ranges::lower_bound(domains, command.domain);
        if (command.isDrained)
            domains.insert(at, command.domain);
        else
            domains.erase(at);
        ++m_drains.revision;
    }
    return {m_drains.revision};
}

std::uint64_t ControlState::bucketVersion() const
{
    return std::accumulate(
        m_buckets.begin(), m_buckets.end(), std::uint64_t{m_buckets.empty() ? 0U : 1U},
        [](std::uint64_t sum, const BucketHome &home) { return sum + home.epoch; });
}

std::string ControlState::encode() const
{
    StoredControlState stored;
    stored.history.assign(m_history.begin(), m_history.end());
    std::ranges::transform(m_recentRequests, std::back_inserter(stored.recentRequests),
                           [](const RecentRequest &it) { return encodeMessage(it); });
    for (const auto &[domain, set] : m_replicaSets) {
        stored.domains.push_back(domain);
        stored.replicaSets.push_back(set);
    }
    stored.buckets = m_buckets;
    stored.declaredDomains.assign(m_declaredDomains.begin(), m_declaredDomains.end());
    stored.document = m_document;
    for (const auto &[domain, grant] : m_grants)
        stored.grants.push_back(grant);
    stored.lastToken = m_lastToken;
    stored.drains = m_drains;
    return encodeMessage(stored);
}

Result<ControlState> ControlState::decode(std::string_view bytes)
{
    ControlState state;
    // The state before the first entry is encoded as an empty string.
    if (bytes.empty())
        return state;
    auto decoded = decodeMessage<StoredControlState>(bytes);
    if (!decoded)
        return decoded.error();
    auto stored = std::move(decoded).value();
    if (stored.domains.size() != stored.replicaSets.size())
        return Error{ErrorCode::InvalidMessage,
                     "the numbers of replica sets and of their domains differ"};
    for (auto &record : stored.history) {
        state.m_retainedTextBytes += record.text.size();
        state.m_discardedTexts += record.text.empty() ? 1 : 0;
        state.m_history.push_back(std::move(record));
    }
    for (const auto &it : stored.recentRequests) {
        auto request = decodeMessage<RecentRequest>(it);
        if (!request)
            return request.error();
        state.m_recentRequestsById[request.value().requestId] = state.m_recentRequests.size();
        state.m_recentRequests.push_back(std::move(request).value());
    }
    for (std::size_t n = 0; n < stored.domains.size(); ++n)
        state.m_replicaSets[stored.domains[n]] = stored.replicaSets[n];
    state.m_buckets = std::move(stored.buckets);
    state.m_declaredDomains.insert(stored.declaredDomains.begin(), stored.declaredDomains.end());
    state.m_document = std::move(stored.document);
    for (auto &grant : stored.grants)
        state.m_grants[grant.name()] = grant;
    state.m_lastToken = stored.lastToken;
    state.m_drains = std::move(stored.drains);
    return state;
}

} // namespace Camphor
