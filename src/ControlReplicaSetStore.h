/// @file Replica sets stored by the control group.
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

/// Sends its calls to the leader of the control group. Reads are linearizable: they return every
/// change that was committed before the call.
class ControlReplicaSetStore : public ReplicaSetStore
{
public:
    [[nodiscard]] static std::shared_ptr<ControlReplicaSetStore>
    make(boost::asio::io_context &io, std::vector<Address> controlAddresses, RpcSettings settings);

    /// Ends all calls with ErrorCode::Unavailable, or with ErrorCode::Timeout for a change that may
    /// have been committed.
    virtual void stop() = 0;
};

} // namespace Camphor
