/** @file upstream_choice_func.h Chooses among the upstreams of one service. Private to routing. */

#pragma once

#include "routing/routing_view_type.h"

#include <span>
#include <string>

namespace cicadamux::detail
{

struct choice_request {
    std::span<const std::string> excluded; ///< Hosts already tried.
    clock_ms now;
    clock_ms slowStart; ///< Time over which a newly started upstream reaches its full share.
    const random_source &random;
    const route_preference &preference;
};

/** @return The fraction of its full share that an upstream gets, rising from slowStartFloor to 1. */
double slowStartWeight(const upstream &info, clock_ms slowStart, clock_ms now);

/** @return Null if every upstream is draining or excluded. */
const routed_upstream *chooseUpstream(const service_view &service, const choice_request &request);

} // namespace cicadamux::detail
