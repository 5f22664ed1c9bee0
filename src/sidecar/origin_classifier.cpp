/** @file origin_classifier.cpp Learns which routes this host's backend server calls, as opposed to clients. */

#include "sidecar/origin_classifier_base.h"

namespace cicadamux
{

namespace
{
constexpr double decayFactor = 0.98; ///< Applied to the history with each request; about the last 50 requests count.
constexpr double minHistory = 3; ///< Requests needed to classify a route; before that, any request that matches a run is taken for a call.
constexpr double callShareThreshold = 0.5; ///< Share of shorter-deadline requests that match a run; about a tenth match by chance.
constexpr clock_ms roundingTolerance{2}; ///< Deadlines are rounded to milliseconds.
constexpr std::size_t maxTrackedRoutes = 2'048;
} // namespace

bool origin_classifier::observe(std::string_view route, clock_ms deadline, bool matchesRun)
{
    auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= maxTrackedRoutes) {
            m_routes.clear();
        }
        found = m_routes.emplace(std::string(route), route_history()).first;
    }
    route_history &history = found->second;
    if (deadline > history.longestDeadline) {
        history.longestDeadline = deadline;
    }
    if (deadline + roundingTolerance < history.longestDeadline) { // The longest deadline does not discriminate: clients and runs may both use it.
        history.shorterCount = history.shorterCount * decayFactor + 1;
        history.matchingCount = history.matchingCount * decayFactor + (matchesRun ? 1 : 0);
    }
    return history.shorterCount < minHistory ? matchesRun : history.matchingCount > callShareThreshold * history.shorterCount;
}

bool origin_classifier::isLikelyRetry(std::string_view route, clock_ms deadline) const
{
    const auto found = m_routes.find(route);
    return found != m_routes.end() && deadline + roundingTolerance < found->second.longestDeadline;
}

} // namespace cicadamux
