/** @file run_times_base.h Mean run time per route at one backend server. */

#pragma once

#include "core/clock_type.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cicadamux
{

/** Moving averages by route. An average expires if there are no runs for a while, so that callers try the server again. Not thread-safe. */
class run_times
{
public:
    /** Adds one run to the mean of a route. */
    void record(std::string_view route, clock_ms runTime, clock_ms now);

    /** @return The mean in milliseconds; 0 if there are too few or only old runs. */
    double mean(std::string_view route, clock_ms now) const;

    /** @return All routes whose mean is known. */
    std::vector<std::pair<std::string, double>> means(clock_ms now) const;

    /** Discards all means when the backend server is replaced. */
    void clear();

private:
    struct run_mean {
        double milliseconds = 0;
        double samples = 0;
        clock_ms updatedAt;
    };

    static bool isKnown(const run_mean &mean, clock_ms now);

    std::map<std::string, run_mean, std::less<>> m_routes;
};

} // namespace cicadamux
