/// @file Updates an entry's view of the fleet from all control instances that it can reach.
#pragma once

#include "CellMap.h"
#include "ConnectRetry.h"
#include "CrashHistory.h"
#include "FleetProtocol.h"
#include "InstanceDirectory.h"
#include "RpcClient.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Camphor {

/// An entry's view of the fleet. Versions and tokens only increase.
struct FleetView
{
    std::uint64_t documentVersion = 0;
    std::string documentContent; ///< The encoded configuration.
    std::map<std::string, CellGrant> grants; ///< By cell name.
    InstanceView instances;
    CrashHistory losses;
    DomainDrains drains;
};

struct ControlWatchSettings
{
    EntryIdentity self;
    RpcSettings rpc;
    std::vector<std::string> seeds; ///< RPC addresses.
    /// The leader detects failed entries by their polls, so it is polled more often.
    Milliseconds leaderWait{300};
    Milliseconds followerWait{900};
    /// Margin for a reply beyond the wait, after which the connection counts as broken.
    Milliseconds replyMargin{500};
    ConnectRetrySettings connect; ///< Replaces rpc.connectTimeout.
    /// A member that has not sent the configuration within this time is not waited for any longer.
    /// Doubles with each failure in a row, because a large one takes long over a slow link.
    Milliseconds fetchTimeout{700};
    double cpuShare = 1.0; ///< Processor of this entry, in cores.
    /// An address that does not reply and that no member has named for this long was replaced.
    Milliseconds addressRetention{60'000};
};

/// Long-polls every known control instance. All calls must come from the thread of the io_context.
class ControlWatch : public std::enable_shared_from_this<ControlWatch>
{
public:
    using OnChange = std::function<void()>;

    ControlWatch(boost::asio::io_context &io, ControlWatchSettings settings, OnChange onChange);

    void start();
    /// Closes all connections and stops polling.
    void stop();
    /// Set what the next polls report about this entry.
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    void setReachableHolders(std::vector<std::string> names)
    {
        m_reachableHolders = std::move(names);
    }
    void addSeeds(const std::vector<std::string> &addresses);
    /// Adds losses to the view, and tells the control instances, which tell the other entries.
    void reportLosses(const std::vector<InstanceLoss> &losses);
    /// Number of addresses that are polled.
    [[nodiscard]] std::size_t sourceCount() const { return m_sources.size(); }

    [[nodiscard]] const FleetView &view() const { return m_view; }

private:
    struct Source
    {
        std::shared_ptr<RpcClient> client;
        std::uint64_t epoch = 0;
        std::uint64_t revision = 0;
        std::uint64_t lossRevision = 0;
        std::uint64_t documentVersion = 0; ///< Newest version that it has announced.
        bool isLeader = false;
        bool isConnected = true;
        int failures = 0; ///< Consecutive polls without a reply.
        Milliseconds namedAt; ///< When the settings or a member last named it.
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void watch(const std::string &address);
    [[nodiscard]] ConnectAttempt nextAttempt(const Source &source) const;
    void onResult(const std::string &address, const RpcResult &result);
    void onUpdate(Source &source, const FleetUpdate &update);
    /// @return whether any loss was not known yet.
    bool addLosses(const std::vector<InstanceLoss> &losses);
    /// Takes the drained domains of a member unless it lags. @return whether they have changed.
    [[nodiscard]] bool raiseDrains(const DomainDrains &drains);
    /// The newest losses that are remembered, as many as fit into a message.
    [[nodiscard]] std::vector<InstanceLoss> newestLosses();
    /// Sends losses, except those that exceed the bounds of a message.
    void sendLosses(Source &source, std::span<const InstanceLoss> losses) const;
    /// Fetches the newest announced configuration unless that is in progress. Prefers other members
    /// than the one that has just failed.
    void fetchDocument(const std::string &failed);
    void onFetched(const std::string &address, const RpcResult &result);
    [[nodiscard]] bool storeDocument(FetchDocumentReply reply);
    void retryLater(const std::string &address);
    /// Whether an address that does not reply has been replaced.
    [[nodiscard]] bool isReplaced(const Source &source) const;

    boost::asio::io_context &m_io;
    ControlWatchSettings m_settings;
    OnChange m_onChange;
    SteadyClock m_clock;
    std::optional<Milliseconds> m_updatedAt; ///< When a member last replied.
    std::map<std::string, Source> m_sources;
    FleetView m_view;
    bool m_isLeaving = false;
    bool m_isStopped = false;
    std::vector<std::string> m_reachableHolders;
    std::uint32_t m_instances = 0; ///< Number of known instances in the own domain.
    std::uint64_t m_announcedVersion = 0; ///< Newest version that any member has announced.
    bool m_isFetching = false;
    int m_fetchFailures = 0; ///< Consecutive ones.
};

} // namespace Camphor
