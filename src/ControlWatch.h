/// @file Keeps an entry's view of the fleet up to date from all control instances it can reach.
#pragma once

#include "CellMap.h"
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
#include <string>
#include <vector>

namespace Camphor {

/// What an entry believes about the fleet. Versions and tokens only grow.
struct FleetBelief
{
    std::uint64_t documentVersion = 0;
    std::string documentText;
    std::map<std::string, CellGrant> grants; ///< By cell name.
    InstanceView instances;
};

struct ControlWatchSettings
{
    EntryIdentity self;
    RpcSettings rpc;
    std::vector<std::string> seeds; ///< RPC addresses.
    /// The leader judges entries by their calls, so they come more often there.
    Milliseconds leaderWait{300};
    Milliseconds followerWait{900};
    /// Time for an answer beyond the wait, before the connection counts as silent.
    Milliseconds answerSlack{500};
    Milliseconds retryPause{250};
    /// The same while no member has ever answered: after a restart of all, members listen a little
    /// later than entries.
    Milliseconds startRetryPause{50};
    /// An address that neither answers nor is named by any member for this long was replaced.
    Milliseconds forgetAfter{60'000};
};

/// Long-polls every known control instance. All calls come from the thread of the io_context.
class ControlWatch : public std::enable_shared_from_this<ControlWatch>
{
public:
    using OnChange = std::function<void()>;

    ControlWatch(boost::asio::io_context &io, ControlWatchSettings settings, OnChange onChange);

    void start();
    /// Closes all connections and asks nobody any more.
    void stop();
    /// Sets what the next calls say about this entry.
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    void setHeardHolders(std::vector<std::string> names) { m_heardHolders = std::move(names); }
    void addSeeds(const std::vector<std::string> &addresses);
    /// Addresses that are watched.
    [[nodiscard]] std::size_t sourceCount() const { return m_sources.size(); }

    [[nodiscard]] const FleetBelief &belief() const { return m_belief; }

private:
    struct Source
    {
        std::shared_ptr<RpcClient> client;
        std::uint64_t epoch = 0;
        std::uint64_t revision = 0;
        bool isLeader = false;
        bool isConnected = true;
        Milliseconds namedAt; ///< When the settings or a member last named it.
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void watch(const std::string &address);
    void onResult(const std::string &address, const RpcResult &result);
    void onUpdate(Source &source, FleetUpdate update);
    void retryLater(const std::string &address);
    /// Whether an address that does not answer has been replaced.
    [[nodiscard]] bool isReplaced(const Source &source) const;

    boost::asio::io_context &m_io;
    ControlWatchSettings m_settings;
    OnChange m_onChange;
    SteadyClock m_clock;
    std::optional<Milliseconds> m_updatedAt; ///< When a member last answered.
    std::map<std::string, Source> m_sources;
    FleetBelief m_belief;
    bool m_isLeaving = false;
    bool m_isStopped = false;
    std::vector<std::string> m_heardHolders;
    std::uint32_t m_instances = 0; ///< Of the own domain.
};

} // namespace Camphor
