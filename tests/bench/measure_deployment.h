/** @file measure_deployment.h The users' two deployments, scaled down to one machine, and a chain of services. */

#pragma once

#include "support/fleet_type.h"
#include "support/load_type.h"

#include <string>
#include <vector>

namespace cicadamux::test
{

/** One kind of request in a deployment's mix. */
struct deployment_request {
    load_operation operation; ///< Its rate is the one at the capacity of the whole deployment.
    bool isProtected = false;
    bool isLeastUrgent = false; ///< Of the least urgent rank.
    bool callsDownstream = false; ///< Running it makes calls to other services.
};

/** A deployment: its services, its policies, and the mix of requests that just fits its capacity. */
struct deployment {
    std::string name;
    double scale = 1; ///< Slots of this run relative to the full-size deployment.
    fleet_options fleet;
    std::vector<deployment_request> requests;
    std::string downstreamService; ///< The last service in the call paths, whose answers the others wait for.
};

/** @param examples Folder that holds the policies, `stallgrid/` and `guild/`. */
deployment makeStallgrid(double scale, const std::string &examples);
deployment makeGuild(double scale, const std::string &examples);

/** @return A chain of services `layer-1` to `layer-DEPTH` with one backend server each; each layer retries twice. */
deployment makeChain(std::size_t depth, std::uint32_t slots);

/** @return The mix with each rate multiplied by the factor. */
std::vector<load_operation> scaledMix(const deployment &setup, double factor);

/** Removes the requests that make no calls to other services. */
void keepDownstreamCallers(deployment &setup);

} // namespace cicadamux::test
