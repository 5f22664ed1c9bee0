/** @file routing_view_type.h The immutable table that routing reads; replaced as a whole. Private to routing. */

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

/** What changes with each call; shared by successive tables. */
struct upstream_counters {
    upstream_load load;
    upstream_health health;
};

struct routed_upstream {
    upstream subject;
    std::shared_ptr<upstream_counters> counters;
};

/** Upstreams of one service. The lists hold indices into `all`; draining upstreams are in none of them. */
struct service_view {
    std::vector<routed_upstream> all; ///< By host.
    std::vector<std::uint32_t> near; ///< This daemon's subset of its own data centre.
    std::vector<std::uint32_t> far; ///< This daemon's subset of the other data centres.
    std::vector<std::uint32_t> others; ///< Outside of the subset; for want of anything else.
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

/** Sorts the upstreams into services, keeps the counters of those that stay, and picks the subsets. */
std::shared_ptr<const routing_view> makeView(std::span<const upstream> upstreams, const routing_view &previous, const router_settings &settings);

} // namespace cicadamux::detail
