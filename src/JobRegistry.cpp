#include "JobRegistry.h"

#include "Ids.h"

#include <algorithm>
#include <utility>

namespace Camphor {

Execution::Execution(Submission request, std::string ledgerKey, bool needsClaim, Milliseconds limit)
    : submission(std::move(request))
    , key(std::move(ledgerKey))
    , requiresClaim(needsClaim)
    , nonce(makeRandomId())
    , deadline(limit)
    , assembler(static_cast<std::uint32_t>(submission.inputs.size()), submission.isJob)
{
}

void Execution::addWaiter(ResponseCallback waiter)
{
    std::optional<JobResponse> knownResponse;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_response) {
            m_waiters.push_back(std::move(waiter));
            return;
        }
        knownResponse = m_response;
    }
    waiter(*knownResponse);
}

bool Execution::setResponse(const JobResponse &response)
{
    std::vector<ResponseCallback> waiters;
    {
        const std::lock_guard lock(m_mutex);
        if (m_response)
            return false;
        m_response = response;
        waiters = std::exchange(m_waiters, {});
    }
    for (const auto &waiter : waiters)
        waiter(response);
    return true;
}

std::optional<JobResponse> Execution::response() const
{
    const std::lock_guard lock(m_mutex);
    return m_response;
}

bool Execution::requestCancel()
{
    const std::lock_guard lock(m_mutex);
    m_isCancelled = true;
    return m_isSubmitted;
}

bool Execution::beginSubmit()
{
    const std::lock_guard lock(m_mutex);
    m_isSubmitted = !m_isCancelled;
    return m_isSubmitted;
}

bool Execution::isCancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_isCancelled;
}

JobRegistry::Lookup JobRegistry::findOrAdd(const std::shared_ptr<Execution> &execution)
{
    auto &shard = m_shards[shardOf(execution->key)];
    const std::lock_guard lock(shard.mutex);
    const auto [it, isNew] = shard.executions.try_emplace(execution->key, execution);
    if (isNew)
        m_size.fetch_add(1);
    return {it->second, isNew};
}

void JobRegistry::addOrReplace(const std::shared_ptr<Execution> &execution)
{
    auto &shard = m_shards[shardOf(execution->key)];
    const std::lock_guard lock(shard.mutex);
    const bool isNew = shard.executions.insert_or_assign(execution->key, execution).second;
    m_size.fetch_add(isNew ? 1 : 0);
}

std::shared_ptr<Execution> JobRegistry::find(const std::string &key) const
{
    const auto &shard = m_shards[shardOf(key)];
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.executions.find(key);
    return it == shard.executions.end() ? nullptr : it->second;
}

void JobRegistry::remove(const std::shared_ptr<Execution> &execution)
{
    auto &shard = m_shards[shardOf(execution->key)];
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.executions.find(execution->key);
    if (it == shard.executions.end() || it->second != execution)
        return;
    shard.executions.erase(it);
    m_size.fetch_sub(1);
}

std::vector<std::shared_ptr<Execution>> JobRegistry::all() const
{
    std::vector<std::shared_ptr<Execution>> all;
    for (const auto &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        std::ranges::transform(shard.executions, std::back_inserter(all),
                               [](const auto &it) { return it.second; });
    }
    return all;
}

} // namespace Camphor
