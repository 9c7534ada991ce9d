/// @file The sequence of steps in which an entry shuts down after SIGTERM.
#pragma once

#include "EntrySettings.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// The steps of a drain, in the order of use.
struct DrainSteps
{
    std::function<void()> failReadiness; ///< Fails the readiness check, so that the load balancer
                                         ///< sends callers to other entries.
    std::function<void()> stopAccepting; ///< Stops accepting connections, targets and tasks.
    std::function<bool()> isIdle; ///< Whether responses to all accepted work have been sent.
    std::function<void()> abandon; ///< Responds to all remaining work with its actual outcome.
    std::function<void()> closeConnections; ///< Closes connections on which no response is pending.
    std::function<bool()> isClosed; ///< Whether all connections of callers are closed.
    std::function<void()> exit;
};

/// Runs the steps of a drain with timers of the io_context.
class DrainController : public std::enable_shared_from_this<DrainController>
{
public:
    [[nodiscard]] static std::shared_ptr<DrainController>
    make(boost::asio::io_context &io, const DrainSettings &settings, DrainSteps steps);

    virtual ~DrainController() = default;

    /// Starts the drain; a second call does nothing.
    virtual void begin() = 0;
};

} // namespace Camphor
