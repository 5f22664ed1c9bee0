/** @file route_table_base.h Matches requests to routes and selects the service of a split route. */

#pragma once

#include "route/route_type.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/** The routes in force. Not thread-safe. */
class route_table
{
public:
    /**
     * Puts a configuration in force if its version is higher than that in force.
     * @return Whether the configuration was accepted.
     */
    bool replace(std::shared_ptr<const route_configuration> configuration);

    /** @return The configuration in force; null if there is none yet. */
    std::shared_ptr<const route_configuration> current() const;

    /** @return Version in force; 0 if there is none yet. */
    std::uint64_t version() const;

    /**
     * Finds the route with the longest matching prefix.
     * @param host Value of the `Host` header, with or without a port.
     * @param target Request path, with or without a query.
     * @return Null if none matches; valid until the next replace().
     */
    const route_rule *find(std::string_view host, std::string_view target) const;

    /** Selects the service of a request by smooth weighted round robin, so that any run of requests is split close to the weights. */
    const std::string &selectService(const route_rule &route);

private:
    using round_robin_counters = std::vector<std::int64_t>; ///< Current weight of each service of a route.

    std::shared_ptr<const route_configuration> m_configuration;
    std::map<std::string, std::vector<const route_rule *>, std::less<>> m_byHost; ///< By host in lower case; longest prefix first.
    std::map<const route_rule *, round_robin_counters> m_roundRobin;
};

} // namespace cicadamux
