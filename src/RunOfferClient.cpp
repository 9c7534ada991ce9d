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

bool wasNotHandled(const CallResult &result)
{
    const auto *failure = std::get_if<ForwardFailure>(&result);
    return failure != nullptr && *failure == ForwardFailure::NotHandled;
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
    const auto job = offer.job;
    m_offers[job] = {std::move(offer), {}};
    sendNext(job);
}

void RunOfferClient::sendNext(const JobKey &job)
{
    auto &open = m_offers.at(job);
    // The reply that leads here may have waited in a socket while this process was paused.
    const bool mayOffer = m_choice.isWanted(job) && open.tried.size() < m_maxOffers;
    const auto address = mayOffer ? m_choice.nextHolder(open.tried) : std::nullopt;
    if (!address) {
        close(job);
        return;
    }
    open.tried.push_back(*address);
    open.offer.requesterAgeMs = m_scheduler.requesterAge(job, m_clock.now()).count();
    m_link->call(*address, MessageKind::OfferRuns, encodeMessage(open.offer),
                 [self = shared_from_this(), job, address = *address](const CallResult &result) {
                     if (!self->m_isStopped)
                         self->onReply(job, address, result);
                 });
}

void RunOfferClient::close(const JobKey &job)
{
    m_offers.erase(job);
    m_scheduler.onOfferClosed(job, m_clock.now());
    m_onProgress();
}

void RunOfferClient::onReply(const JobKey &job, const std::string &address,
                             const CallResult &result)
{
    if (wasNotHandled(result)) {
        sendNext(job);
        return;
    }
    const auto reply = replyOf<RunOfferReply>(result, address);
    if (!reply) {
        // The holder may have started the runs.
        m_offers.erase(job);
        m_scheduler.onRemoteHolderLost(job, m_clock.now());
        m_onProgress();
        return;
    }
    if (!reply->started.empty())
        onStarted(job, address, reply->started);
    auto &runs = m_offers.at(job).offer.runs;
    std::erase_if(runs, [&](const OfferedRun &it) {
        return std::ranges::find(reply->started, it.key) != reply->started.end();
    });
    if (!runs.empty())
        m_choice.onHolderFull(address);
    if (runs.empty())
        close(job);
    else
        sendNext(job);
}

void RunOfferClient::onStarted(const JobKey &job, const std::string &address,
                               const std::vector<RunKey> &started)
{
    Log::decision(LogEvent::JobOffered)
        .kv("request", job.id)
        .kv("submission", job.submission)
        .kv("address", address)
        .kv("runs", started.size());
    if (!m_scheduler.hasJob(job)) {
        stopRuns({address, {job, started}});
        return;
    }
    m_scheduler.onOfferedRunsStarted(job, address, started, m_clock.now());
    await(job, address, started);
    m_onProgress();
}

void RunOfferClient::stopRuns(const RemoteStop &stop)
{
    // If the call fails, the other holder stops the runs when it has lost contact.
    m_link->call(stop.holder, MessageKind::StopRuns, encodeMessage(stop.request),
                 [](const CallResult &) { });
}

void RunOfferClient::await(const JobKey &job, const std::string &address, std::vector<RunKey> runs)
{
    auto payload = encodeMessage(AwaitRunsRequest{job, runs});
    m_link->call(address, MessageKind::AwaitRuns, std::move(payload),
                 [self = shared_from_this(), job, address,
                  runs = std::move(runs)](const CallResult &result) {
                     if (!self->m_isStopped)
                         self->onEnds(job, address, runs, result);
                 });
}

void RunOfferClient::onEnds(const JobKey &job, const std::string &address,
                            const std::vector<RunKey> &awaited, const CallResult &result)
{
    const auto reply = replyOf<AwaitRunsReply>(result, address);
    if (!reply) {
        m_scheduler.onRemoteHolderLost(job, m_clock.now());
        m_onProgress();
        return;
    }
    m_scheduler.onRemoteEnds(job, reply->ends, m_clock.now());
    std::vector<RunKey> left;
    std::ranges::copy_if(awaited, std::back_inserter(left), [&](const RunKey &key) {
        return std::ranges::find(reply->ends, key, &RunOutcome::key) == reply->ends.end();
    });
    if (!left.empty() && m_scheduler.hasJob(job))
        await(job, address, std::move(left));
    m_onProgress();
}

} // namespace Camphor
