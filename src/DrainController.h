/// @file The order in which an entry stops its work after SIGTERM.
#pragma once

#include "EntrySettings.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// What the controller asks of the entry, in the order of use.
struct DrainSteps
{
    std::function<void()> failReadiness; ///< The load balancer is to send callers elsewhere.
    std::function<void()> stopIntake; ///< No new connections, targets and tasks.
    std::function<bool()> isIdle; ///< Whether all accepted work has been answered.
    std::function<void()> abandon; ///< Answers the rest with its true outcome.
    std::function<void()> closeConnections; ///< Closes what no answer uses.
    std::function<bool()> isClosed; ///< Whether the callers' connections have ended.
    std::function<void()> exit; ///< Ends the process.
};

/// Runs a drain on timers of the io_context.
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
