/// @file Declarations from the control group.
#pragma once

#include "ControlState.h"
#include "DeclarationSource.h"
#include "RpcServer.h"
#include "Settings.h"

#include <functional>
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// Keeps one Subscribe call open at one member and moves to the next one when that member fails or
/// does not hear from a leader. One watch that carries its last known version replaces polling; the
/// idea is from "The Telemetry Paradox: how Pixie's metadata service avoids overwhelming the
/// Kubernetes control plane" (New Relic, 2025, CC BY 4.0).
class ControlSubscription : public DeclarationSource
{
public:
    /// Called with the home of each bucket of keys, when the map has changed.
    using BucketCallback = std::function<void(const std::vector<BucketHome> &)>;

    [[nodiscard]] static std::shared_ptr<ControlSubscription>
    make(boost::asio::io_context &io, std::vector<Address> controlAddresses, RpcSettings settings);

    /// Also delivers the bucket map. Call before subscribe(); the callbacks share one thread.
    virtual void onBuckets(BucketCallback callback) = 0;
    /// Subscribe calls made so far.
    [[nodiscard]] virtual std::uint64_t calls() const = 0;
};

} // namespace Camphor
