#include "RunOfferClient.h"

#include "Log.h"
#include "Wire.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Camphor {

namespace {

/// Decodes the reply of a call. Nothing if the call failed or its reply is malformed.
template <typename T>
std::optional<T> replyOf(const CallResult &result, const std::string &address)
{
    const auto *payload = std::get_if<std::string>(&result);
    if (payload == nullptr)
        return std::nullopt;
    auto reply = decodeMessage<T>(*payload);
    if (!reply) {
        Log::warning(LogEvent::MessageUnreadable).kv("address", address);
        return std::nullopt;
    }
    return std::move(reply).value();
}

bool wasNotSent(const CallResult &result)
{
    const auto *failure = std::get_if<ForwardFailure>(&result);
    return failure != nullptr && *failure == ForwardFailure::NotSent;
}

} // namespace

RunOfferClient::RunOfferClient(RunScheduler &scheduler, std::shared_ptr<HolderLink> link,
                               HolderChoice &choice, std::size_t maxOffers,
                               std::function<void()> onProgress)
    : m_scheduler(scheduler)
    , m_link(std::move(link))
    , m_choice(choice)
    , m_maxOffers(maxOffers)
    , m_onProgress(std::move(onProgress))
{
}

void RunOfferClient::offer(RunOffer offer)
{
    const auto jobId = offer.jobId;
    m_offers[jobId] = {std::move(offer), {}};
    sendNext(jobId);
}

void RunOfferClient::sendNext(const std::string &jobId)
{
    auto &open = m_offers.at(jobId);
    const auto address =
        open.tried.size() < m_maxOffers ? m_choice.nextHolder(open.tried) : std::nullopt;
    if (!address) {
        close(jobId);
        return;
    }
    open.tried.push_back(*address);
    m_link->call(*address, MessageKind::OfferRuns, encodeMessage(open.offer),
                 [self = shared_from_this(), jobId, address = *address](const CallResult &result) {
                     if (!self->m_isStopped)
                         self->onReply(jobId, address, result);
                 });
}

void RunOfferClient::close(const std::string &jobId)
{
    m_offers.erase(jobId);
    m_scheduler.onOfferClosed(jobId, m_clock.now());
    m_onProgress();
}

void RunOfferClient::onReply(const std::string &jobId, const std::string &address,
                             const CallResult &result)
{
    if (wasNotSent(result)) {
        sendNext(jobId);
        return;
    }
    const auto reply = replyOf<RunOfferReply>(result, address);
    if (!reply) {
        // The holder may have started the runs.
        m_offers.erase(jobId);
        m_scheduler.onRemoteHolderLost(jobId, m_clock.now());
        m_onProgress();
        return;
    }
    if (!reply->started.empty())
        onStarted(jobId, address, reply->started);
    auto &runs = m_offers.at(jobId).offer.runs;
    std::erase_if(runs, [&](const OfferedRun &it) {
        return std::ranges::find(reply->started, it.key) != reply->started.end();
    });
    if (!runs.empty())
        m_choice.onHolderFull(address);
    if (runs.empty() || !m_scheduler.hasJob(jobId))
        close(jobId);
    else
        sendNext(jobId);
}

void RunOfferClient::onStarted(const std::string &jobId, const std::string &address,
                               const std::vector<RunKey> &started)
{
    Log::decision(LogEvent::JobOffered)
        .kv("request", jobId)
        .kv("address", address)
        .kv("runs", started.size());
    if (!m_scheduler.hasJob(jobId)) {
        stopRuns({address, {started}});
        return;
    }
    m_scheduler.onOfferedRunsStarted(jobId, address, started, m_clock.now());
    await(jobId, address, started);
    m_onProgress();
}

void RunOfferClient::stopRuns(const RemoteStop &stop)
{
    // If the call fails, the other holder stops the runs when it has lost contact.
    m_link->call(stop.holder, MessageKind::StopRuns, encodeMessage(stop.request),
                 [](const CallResult &) { });
}

void RunOfferClient::await(const std::string &jobId, const std::string &address,
                           std::vector<RunKey> runs)
{
    auto payload = encodeMessage(AwaitRunsRequest{runs});
    m_link->call(address, MessageKind::AwaitRuns, std::move(payload),
                 [self = shared_from_this(), jobId, address,
                  runs = std::move(runs)](const CallResult &result) {
                     if (!self->m_isStopped)
                         self->onEnds(jobId, address, runs, result);
                 });
}

void RunOfferClient::onEnds(const std::string &jobId, const std::string &address,
                            const std::vector<RunKey> &awaited, const CallResult &result)
{
    const auto reply = replyOf<AwaitRunsReply>(result, address);
    if (!reply) {
        m_scheduler.onRemoteHolderLost(jobId, m_clock.now());
        m_onProgress();
        return;
    }
    m_scheduler.onRemoteEnds(reply->ends, m_clock.now());
    std::vector<RunKey> left;
    std::ranges::copy_if(awaited, std::back_inserter(left), [&](const RunKey &key) {
        return std::ranges::find(reply->ends, key, &RunOutcome::key) == reply->ends.end();
    });
    if (!left.empty() && m_scheduler.hasJob(jobId))
        await(jobId, address, std::move(left));
    m_onProgress();
}

} // namespace Camphor
