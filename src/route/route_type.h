/** @file route_type.h Configuration shared by a fleet of sidecars: routes, services and limits of requests. */

#pragma once

#include "core/clock_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cicadamux
{

/** One service of a route, with its share of the requests. */
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1; ///< Share of the route's requests, relative to the sum of its weights.
};

/** Rule for the requests with one host name and path prefix. */
struct route_rule {
    std::string name;
    std::string host; ///< Without a port.
    std::string prefix; ///< Begins and ends with a slash.
    bool idempotent = false; ///< The request may run more than once.
    clock_ms timeout; ///< Time limit for the final answer.
    clock_ms latencyObjective; ///< Target latency; a later answer has less value.
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    std::uint32_t maxServers = 1; ///< Number of backend servers that one request may be sent to.
    std::vector<weighted_service> services; ///< At least one.
};

/** Limits for requests and connections of callers. */
struct entry_limits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 1'048'576;
    clock_ms headerTimeout{3'000}; ///< From the first byte of a header to its end.
    clock_ms idleTimeout{15'000}; ///< After which an idle connection is closed.
};

/** Connection limit of one service. */
struct service_rule {
    std::string name;
    std::uint32_t maxConnections = 0; ///< To one backend server, from all sidecars together.
};

/** Complete configuration of a fleet. */
struct route_configuration {
    std::uint64_t version = 0; ///< Increases with each change.
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    entry_limits limits;
};

} // namespace cicadamux
