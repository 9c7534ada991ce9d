/// @file Sends the heartbeats of one stand-in target to the entries of its failure domain.
#pragma once

#include "HttpClient.h"
#include "Settings.h"
#include "Time.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// Announces a target once per heartbeat interval. It switches to the owner named in a response,
/// and to the next entry when one does not respond. Runs on one thread.
class TargetAnnouncer
{
public:
    /// Makes the body of an announcement at the time of sending.
    using BodySource = std::function<std::string()>;

    [[nodiscard]] static std::shared_ptr<TargetAnnouncer>
    make(boost::asio::io_context &io, std::shared_ptr<HttpClient> client,
         const std::string &targetId, std::vector<Address> entries, BodySource body);

    virtual ~TargetAnnouncer() = default;

    /// Announces immediately instead of at the next interval, for example after a change of state.
    virtual void announceNow() = 0;
    /// Sends DELETE to the current owner and stops. @param onDone is called after the response or a
    /// failure.
    virtual void leave(std::function<void()> onDone) = 0;
};

} // namespace Camphor
