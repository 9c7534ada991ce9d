#include "ConnectRetry.h"

namespace Camphor {

ConnectAttempt connectAttempt(const ConnectRetrySettings &settings, int failures, bool isStarting)
{
    if (!isStarting)
        return {settings.timeout, settings.retryDelay};
    if (failures < settings.startAttempts)
        return {settings.startTimeout, settings.startRetryDelay};
    return {settings.timeout, settings.startRetryDelay};
}

} // namespace Camphor
