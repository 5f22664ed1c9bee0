/** @file settings_parts.cpp Component settings derived from the settings of a daemon or sidecar. */

#include "daemon/settings_parts_func.h"

namespace cicadamux
{

http_limits listenerLimits(const daemon_settings &settings)
{
    http_limits limits;
    limits.maxConnections = settings.maxConnections;
    limits.maxHeaderBytes = settings.maxHeaderBytes;
    limits.maxBodyBytes = settings.maxBodyBytes;
    limits.idleTimeout = settings.idleTimeout;
    limits.requestTimeout = settings.requestTimeout;
    return limits;
}

router_settings routerSettingsOf(const daemon_settings &settings)
{
    router_settings routerSettings;
    routerSettings.dataCenter = settings.dataCenter;
    routerSettings.host = settings.host;
    routerSettings.subsetSize = settings.subsetSize;
    routerSettings.slowStart = settings.slowStart;
    return routerSettings;
}

} // namespace cicadamux
