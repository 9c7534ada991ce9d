#include "InstanceOrders.h"

namespace Camphor {

const char *orderResultName(OrderResult result)
{
    switch (result) {
    case OrderResult::Accepted:
        return "accepted";
    case OrderResult::NoRoom:
        return "no-room";
    case OrderResult::Outdated:
        return "outdated";
    case OrderResult::TooLate:
        return "too-late";
    case OrderResult::Fenced:
        return "fenced";
    case OrderResult::Unhealthy:
        return "unhealthy";
    case OrderResult::Invalid:
        return "invalid";
    case OrderResult::WrongInstance:
        return "wrong-instance";
    case OrderResult::NoReply:
        return "no-answer";
    case OrderResult::NotSent:
        return "not-sent";
    }
    return "no-answer";
}

} // namespace Camphor
