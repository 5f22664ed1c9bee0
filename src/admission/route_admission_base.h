/** @file route_admission_base.h Refuses requests of a route at the entry while runs of the route lose calls downstream. */

#pragma once

#include "core/clock_type.h"
#include "core/random_func.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cicadamux
{

/** Parameters of the admission by route. */
struct route_admission_settings {
    double targetLoss = 0.1; ///< Fraction of runs that may lose a call; with four calls per run, about one call in forty.
    double lossWeight = 0.1; ///< Smoothing weight of one run in the loss fraction.
    double decrease = 0.1; ///< Relative decrease of the admitted fraction per run when all runs lose calls; proportional to the loss.
    double increase = 0.01; ///< Added to the admitted fraction per run while the loss is within the target.
    double minAdmittedFraction = 0.4; ///< No route is refused entirely: the platform requires a quarter of the usual service for each.
    double retryBonus = 0.2; ///< Added to the admitted fraction for requests that are retried after a refusal.
    clock_ms minRetryAfter{300}; ///< Minimum of the retry delay that a refused caller is told.
    clock_ms retryAfterSpread{700}; ///< Maximum of the uniform random addition to the delay, so that callers don't retry together.
};

/** Decision on a request. */
struct route_decision {
    bool admitted = true;
    double admittedFraction = 1; ///< Fraction of the route's requests admitted at the time of the decision.
    double loss = 0; ///< Smoothed fraction of the route's runs that lost a call.
    clock_ms retryAfter; ///< For a refusal.
};

/**
 * A request that makes several calls fails if any one of them fails. When a downstream service refuses a tenth of its
 * calls, four tenths of the requests with five calls fail, and their other calls are wasted. So the admitted fraction of a
 * route's requests is adapted to the fraction of its runs that lose a call (additive increase, multiplicative decrease).
 * If several routes lose calls, the least urgent is reduced first. Uses this host's own requests only; not thread-safe.
 */
class route_admission
{
public:
    route_admission(const route_admission_settings &settings, random_source random);

    /**
     * Decides on a request.
     * @param isLikelyRetry Whether the request is probably a retry after a refusal.
     */
    route_decision decide(std::string_view route, std::uint32_t rank, bool isLikelyRetry);

    /** Records the end of a run. @param lostCall Whether it failed because one of its calls was refused or lost. */
    void runEnded(std::string_view route, bool lostCall);

private:
    struct route_state {
        std::uint32_t rank = 0;
        double admittedFraction = 1;
        double loss = 0;
    };

    route_state *leastUrgentLossyRoute();
    double draw() const;

    route_admission_settings m_settings;
    random_source m_random;
    std::map<std::string, route_state, std::less<>> m_routes;
};

} // namespace cicadamux
