/// @file Replica sets kept by the control group.
#pragma once

#include "ReplicaSetStore.h"
#include "RpcServer.h"
#include "Settings.h"

#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// Follows the leader. Reads are linearizable: they see every change that was committed before.
class ControlReplicaSetStore : public ReplicaSetStore
{
public:
    [[nodiscard]] static std::shared_ptr<ControlReplicaSetStore>
    make(boost::asio::io_context &io, std::vector<Address> controlAddresses, RpcSettings settings);

    /// Ends all calls with ErrorCode::Unavailable, or ErrorCode::Timeout for a change that may have
    /// been committed.
    virtual void stop() = 0;
};

} // namespace Camphor
