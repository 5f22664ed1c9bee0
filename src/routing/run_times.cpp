/** @file run_times.cpp Mean run time per route at one backend server. */

#include "routing/run_times_base.h"

#include <algorithm>

namespace cicadamux
{

namespace
{
constexpr double meanWindow = 30; ///< Runs that a mean covers; a route's run times scatter by about their mean.
constexpr double minSamples = 5; ///< Runs before a mean is reported.
constexpr clock_ms maxAge{6'000}; ///< A mean expires after this time without a run, so that callers that avoided the server try it again.
constexpr std::size_t maxRoutes = 256; ///< Runs of further routes are ignored.
} // namespace

void run_times::record(std::string_view route, clock_ms runTime, clock_ms now)
{
    auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= maxRoutes) {
            std::erase_if(m_routes, [now](const auto &entry) {
                return !isKnown(entry.second, now);
            });
        }
        if (m_routes.size() >= maxRoutes) {
            return;
        }
        found = m_routes.emplace(std::string(route), run_mean()).first;
    }
    run_mean &mean = found->second;
    if (now - mean.updatedAt > maxAge) {
        mean = {};
    }
    mean.samples = std::min(meanWindow, mean.samples + 1);
    mean.milliseconds += (static_cast<double>(runTime.count) - mean.milliseconds) / mean.samples;
    mean.updatedAt = now;
}

double run_times::mean(std::string_view route, clock_ms now) const
{
    const auto found = m_routes.find(route);
    return found != m_routes.end() && isKnown(found->second, now) ? std::max(1.0, found->second.milliseconds) : 0.0;
}

std::vector<std::pair<std::string, double>> run_times::means(clock_ms now) const
{
    std::vector<std::pair<std::string, double>> result;
    for (const auto &[route, mean] : m_routes) {
        if (isKnown(mean, now)) {
            result.emplace_back(route, std::max(1.0, mean.milliseconds));
        }
    }
    return result;
}

void run_times::clear()
{
    m_routes.clear();
}

bool run_times::isKnown(const run_mean &mean, clock_ms now)
{
    return mean.samples >= minSamples && now - mean.updatedAt <= maxAge;
}

} // namespace cicadamux
