/** @file measure_deployment.h The two deployments of the project's users, scaled down to one machine. */

#pragma once

#include "support/fleet_type.h"
#include "support/load_type.h"

#include <string>
#include <vector>

namespace cicadamux::test
{

/** One part of the usual mix of requests. */
struct deployment_request {
    load_operation operation; ///< Its rate at the capacity of the whole deployment.
    bool isProtected = false;
    bool isLeast = false; ///< Of the least urgent rank.
    bool isDeep = false; ///< Passes through other services.
};

/** A deployment: its services, its policies, and the mix that just uses its capacity. */
struct deployment {
    std::string name;
    double scale = 1; ///< Slots of this run over the deployment's own.
    fleet_options fleet;
    std::vector<deployment_request> requests;
    std::string deepService; ///< Service that others wait for.
};

/** @param examples Folder that holds the policies, `stallgrid/` and `guild/`. */
deployment makeStallgrid(double scale, const std::string &examples);
deployment makeGuild(double scale, const std::string &examples);

/** @return A chain of services `layer-1` to `layer-DEPTH` with one backend server each; each layer retries twice. */
deployment makeChain(std::size_t depth, std::uint32_t slots);

/** @return The mix, each rate multiplied. */
std::vector<load_operation> mixOf(const deployment &subject, double factor);

/** Leaves only the requests that pass through other services. */
void keepDeepRequests(deployment &subject);

} // namespace cicadamux::test
