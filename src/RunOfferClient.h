/// @file Offers runs to the holders of other cells, and follows those that they have started.
#pragma once

#include "HolderLink.h"
#include "RunScheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Camphor {

/// Decides whether and where runs are offered to the holders of other cells.
class HolderChoice
{
public:
    virtual ~HolderChoice() = default;

    /// Whether anybody still waits for the job.
    [[nodiscard]] virtual bool isWanted(const JobKey &job) const = 0;
    /// The address of the next holder to try, other than the tried ones.
    [[nodiscard]] virtual std::optional<std::string>
    nextHolder(const std::vector<std::string> &tried) = 0;
    /// A holder had no room.
    virtual void onHolderFull(const std::string &address) = 0;
};

/// Sends the offers of a scheduler, and reports to it which runs have started and ended. All calls
/// must come from the thread of the io_context. The scheduler and the choice must outlive this
/// object.
class RunOfferClient : public std::enable_shared_from_this<RunOfferClient>
{
public:
    /// @param maxOffers maximum number of holders that an offer is sent to.
    /// @param onProgress called after the scheduler was informed of something.
    RunOfferClient(RunScheduler &scheduler, std::shared_ptr<HolderLink> link, HolderChoice &choice,
                   std::size_t maxOffers, std::function<void()> onProgress);

    /// Offers the runs to one holder after the other.
    void offer(RunOffer offer);
    /// Stops runs at another holder.
    void stopRuns(const RemoteStop &stop);
    /// Reports nothing any more.
    void stop() { m_isStopped = true; }

private:
    struct OpenOffer
    {
        RunOffer offer; ///< The runs that nobody has started yet.
        std::vector<std::string> tried;
    };

    void sendNext(const JobKey &job);
    void close(const JobKey &job);
    void onReply(const JobKey &job, const std::string &address, const CallResult &result);
    void onStarted(const JobKey &job, const std::string &address,
                   const std::vector<RunKey> &started);
    void await(const JobKey &job, const std::string &address, std::vector<RunKey> runs);
    void onEnds(const JobKey &job, const std::string &address, const std::vector<RunKey> &awaited,
                const CallResult &result);

    RunScheduler &m_scheduler;
    std::shared_ptr<HolderLink> m_link;
    HolderChoice &m_choice;
    std::size_t m_maxOffers;
    std::function<void()> m_onProgress;
    SteadyClock m_clock;
    std::map<JobKey, OpenOffer> m_offers;
    bool m_isStopped = false;
};

} // namespace Camphor
