/** @file routing_view_type.h The immutable routing table, replaced as a whole on each update. Private to routing. */

#pragma once

#include "routing/router_base.h"
#include "routing/upstream_health_base.h"
#include "routing/upstream_load_base.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadamux::detail
{

/** Mutable state of an upstream; shared by successive routing tables. */
struct upstream_counters {
    upstream_load load;
    upstream_health health;
};

struct routed_upstream {
    upstream info;
    std::shared_ptr<upstream_counters> counters;
};

/** Upstreams of one service. The lists hold indices into `all`; draining upstreams are only in `all`. */
struct service_view {
    std::vector<routed_upstream> all; ///< Sorted by host, which is unique.
    std::vector<std::uint32_t> local; ///< This daemon's subset of the upstreams in its own data centre.
    std::vector<std::uint32_t> remote; ///< This daemon's subset of the upstreams in other data centres.
    std::vector<std::uint32_t> outside; ///< Upstreams outside of the subset; used only if no other is eligible.
};

struct string_hash {
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

struct routing_view {
    std::unordered_map<std::string, service_view, string_hash, std::equal_to<>> services;

    const service_view *findService(std::string_view service) const;
    const routed_upstream *findUpstream(std::string_view service, std::string_view host) const;
};

/** Groups the upstreams by service, keeps the counters of those already known, and selects the subsets. */
std::shared_ptr<const routing_view> makeRoutingView(std::span<const upstream> upstreams, const routing_view &previous, const router_settings &settings);

} // namespace cicadamux::detail
