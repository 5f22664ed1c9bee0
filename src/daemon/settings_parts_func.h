/** @file settings_parts_func.h Component settings derived from the settings of a daemon or sidecar. */

#pragma once

#include "http/http_type.h"
#include "routing/router_base.h"
#include "settings/settings_type.h"

namespace cicadamux
{

/** @return Limits of the HTTP listeners. */
http_limits listenerLimits(const daemon_settings &settings);

/** @return Settings of the router, which chooses upstreams. */
router_settings routerSettingsOf(const daemon_settings &settings);

} // namespace cicadamux
