#include "Result.h"

namespace Camphor {

const char *errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidSettings:
        return "invalid-settings";
    case ErrorCode::InvalidDeclaration:
        return "invalid-declaration";
    case ErrorCode::InvalidRequest:
        return "invalid-request";
    case ErrorCode::InvalidMessage:
        return "invalid-message";
    case ErrorCode::TooLarge:
        return "too-large";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::ConnectionRefused:
        return "connection-refused";
    case ErrorCode::ConnectionLost:
        return "connection-lost";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Expired:
        return "expired";
    case ErrorCode::Storage:
        return "storage";
    }
    return "unknown";
}

void failAssertion(const char *condition, const char *file, int line)
{
    throw InternalError(std::string(file) + ":" + std::to_string(line)
                        + ": assertion failed: " + condition);
}

} // namespace Camphor
