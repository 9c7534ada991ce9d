/// @file RPC settings for tests.
#pragma once

#include "RpcServer.h"

#include <string>

namespace Camphor::Testing {

/// Makes settings for one end. All tests share one cluster name, because ends of different clusters
/// refuse each other.
inline RpcSettings makeRpc(const std::string &instance)
{
    RpcSettings rpc;
    rpc.cluster = "test";
    rpc.instance = instance;
    return rpc;
}

} // namespace Camphor::Testing
