#include "Time.h"

#include <chrono>

namespace Camphor {

Milliseconds SteadyClock::now() const
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return Milliseconds{std::chrono::duration<double, std::milli>(sinceStart).count()};
}

double wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration<double, std::milli>(sinceEpoch).count();
}

} // namespace Camphor
