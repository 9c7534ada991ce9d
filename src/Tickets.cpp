#include "Tickets.h"

#include "Ids.h"
#include "Time.h"

#include <cstdint>

namespace Camphor {

std::string makeTicket(const std::string &domain)
{
    return "t-" + domain + "-" + std::to_string(static_cast<std::uint64_t>(wallClockMs())) + "-"
        + makeRandomId();
}

} // namespace Camphor
