/// @file Orders to instances that run tasks under leases, and the replies to them.
#pragma once

#include "FleetTypes.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Camphor {

/// Destination of an order, and the authority under which it is given.
struct OrderTarget
{
    InstanceKey instance;
    std::string address;
    std::uint64_t token = 0; ///< Of the grant of the cell.
    /// Increases whenever the instance may have restarted, so that it refuses the orders that were
    /// meant for its earlier incarnations and arrive late.
    std::uint64_t session = 0;

    auto operator<=>(const OrderTarget &) const = default;

    /// The token that the instance compares. It increases with each holder, and with each session
    /// of one holder.
    [[nodiscard]] std::uint64_t fencingToken() const
    {
        // Sessions beyond the limit are not told apart.
        constexpr unsigned SessionBits = 20;
        constexpr std::uint64_t MaxSession = (1U << SessionBits) - 1;
        return (token << SessionBits) + std::min(session, MaxSession);
    }
};

/// Starts a run, unless the instance's clock has passed the deadline.
struct StartOrder
{
    OrderTarget target;
    RunKey key;
    std::string payload;
    std::uint64_t leaseUntilMs = 0; ///< On the instance's clock; extends the lease of all its runs.

    auto operator<=>(const StartOrder &) const = default;
};

/// Stops a run, and makes the instance refuse its start order if that arrives later.
struct StopOrder
{
    OrderTarget target;
    RunKey key;

    auto operator<=>(const StopOrder &) const = default;
};

/// Reads which runs are running and which have ended, acknowledges ends and renews the lease.
struct HoldOrder
{
    OrderTarget target;
    std::optional<std::uint64_t> leaseUntilMs;
    std::uint64_t ackedThrough = 0; ///< The instance discards ends up to this number.
    std::uint32_t waitMs = 0; ///< How long the reply waits for an end.
    std::uint64_t serial = 0; ///< Increases within a session; not transmitted.

    auto operator<=>(const HoldOrder &) const = default;
};

/// The effect of an order, or why it had none.
enum class OrderResult : std::uint8_t {
    Accepted,
    NoRoom, ///< The task does not fit now.
    Outdated, ///< This run or a later run of the task was stopped or has ended there.
    TooLate, ///< The order's deadline has passed on the instance's clock.
    Fenced, ///< Another holder has a higher token.
    Unhealthy, ///< The instance reports that it has not carried out the order.
    Invalid, ///< The instance could not read the order.
    WrongInstance, ///< Another instance or incarnation replied at this address.
    NoReply, ///< The order may have been carried out, or may be carried out later.
    NotSent, ///< No connection was made, so the order was certainly not carried out.
};

[[nodiscard]] const char *orderResultName(OrderResult result);

struct OrderReply
{
    OrderResult result = OrderResult::NoReply;
    std::optional<double> clockMs; ///< The instance's clock when it replied.
    std::uint64_t startTimeMs = 0; ///< Start time of the incarnation that replied; 0 if unknown.

    auto operator<=>(const OrderReply &) const = default;
};

struct HoldReply
{
    OrderResult result = OrderResult::NoReply;
    std::optional<double> clockMs;
    std::uint64_t startTimeMs = 0; ///< As in OrderReply.
    std::vector<RunningRun> running;
    std::vector<EndedRun> ended; ///< The ends after the acknowledged ones, oldest first.

    auto operator<=>(const HoldReply &) const = default;
};

/// Sends orders to instances. Implemented by an adapter for each kind of instance.
class InstanceClient
{
public:
    virtual ~InstanceClient() = default;

    using OrderCallback = std::function<void(OrderReply)>;
    using HoldCallback = std::function<void(HoldReply)>;

    /// Each callback is called exactly once, at the latest after the timeout.
    virtual void start(const StartOrder &order, Milliseconds timeout, OrderCallback callback) = 0;
    virtual void stop(const StopOrder &order, Milliseconds timeout, OrderCallback callback) = 0;
    virtual void hold(const HoldOrder &order, Milliseconds timeout, HoldCallback callback) = 0;

    /// Sets a callback for an address whose connections have ended, so that another incarnation may
    /// reply there from now on. A start must reach no incarnation that no list was read of.
    virtual void setOnDisconnect(std::function<void(const std::string &address)> onDisconnect) = 0;
};

} // namespace Camphor
