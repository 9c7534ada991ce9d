#include "DispatchTypes.h"

namespace Camphor {

std::string attemptId(std::string_view requestId, std::uint32_t taskIndex, std::uint32_t attempt)
{
    std::string id;
    id.reserve(requestId.size() + 16);
    id.append(requestId).append(1, '.').append(std::to_string(taskIndex));
    return id.append(1, '.').append(std::to_string(attempt));
}

} // namespace Camphor
