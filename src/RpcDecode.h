/// @file Decoding of requests between processes of the cluster.
#pragma once

#include "Log.h"
#include "RpcServer.h"
#include "Wire.h"

#include <optional>
#include <string>

namespace Camphor {

/// Decodes the message in a payload, and checks its content if the type has a check().
template <typename T>
Result<T> decodeAndCheck(const std::string &payload)
{
    auto decoded = decodeMessage<T>(payload);
    if constexpr (requires(const T &message) { message.check(); }) {
        if (decoded) {
            if (const auto status = decoded.value().check(); !status)
                return status.error();
        }
    }
    return decoded;
}

/// Decodes the message in a payload. A malformed one is logged and rejected.
template <typename T>
std::optional<T> decodeOrReject(const std::string &payload, const RpcReply &reply)
{
    auto decoded = decodeAndCheck<T>(payload);
    if (!decoded) {
        Log::warning(LogEvent::MessageUnreadable).kv("reason", decoded.error().message);
        reply(decoded.error());
        return std::nullopt;
    }
    return std::move(decoded).value();
}

} // namespace Camphor
