#include "Time.h"

#include <chrono>
#include <ctime>

namespace Camphor {

Milliseconds SteadyClock::now() const
{
    // CLOCK_BOOTTIME also counts while the machine is suspended, so that leases expire during a
    // suspension.
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    constexpr double MsPerSecond = 1e3;
    constexpr double MsPerNanosecond = 1e-6;
    return Milliseconds{static_cast<double>(time.tv_sec) * MsPerSecond
                        + static_cast<double>(time.tv_nsec) * MsPerNanosecond};
}

double wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration<double, std::milli>(sinceEpoch).count();
}

} // namespace Camphor
