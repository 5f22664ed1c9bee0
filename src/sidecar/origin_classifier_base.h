/** @file origin_classifier_base.h Learns which routes this host's backend server calls, as opposed to clients. */

#pragma once

#include "core/clock_type.h"

#include <map>
#include <string>
#include <string_view>

namespace cicadamux
{

/**
 * Clients send every request of a route with the same deadline. A call made by a backend server has the remaining time of
 * the run that made it, capped by the call's own time-out. The requests whose deadline is shorter than the route's longest
 * therefore tell the two apart: if backend servers call the route, nearly all of these requests match a run.
 * Not thread-safe.
 */
class origin_classifier
{
public:
    /**
     * Records one request.
     * @param deadline Time that the request has left.
     * @param matchesRun Whether a run of the backend server expires at the same instant.
     * @return Whether requests of this route are classified as calls of the backend server.
     */
    bool observe(std::string_view route, clock_ms deadline, bool matchesRun);

    /** @return Whether a client's request has less time left than first attempts on its route have, which indicates a retry. */
    bool isLikelyRetry(std::string_view route, clock_ms deadline) const;

private:
    struct route_history {
        clock_ms longestDeadline;
        double shorterCount = 0; ///< Requests with a shorter deadline, exponentially decayed.
        double matchingCount = 0; ///< Those of them that match a run, decayed likewise.
    };

    std::map<std::string, route_history, std::less<>> m_routes;
};

} // namespace cicadamux
