/** @file repeat_budget_base.h Bounds the ratio of repeated requests in a fleet without coordination between hosts. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace cicadamux
{

/** The fleet's bound on repeats and this host's share of it. */
struct repeat_budget_settings {
    double ratio = 0.2; ///< Maximum repeats per request in the whole fleet; each host uses less of it (see repeat_budget.cpp).
    double slack = 0.0; ///< Repeats per window allowed in addition to the ratio; this host's share of the fleet's slack.
    clock_ms window{10'000}; ///< Length of the sliding window.
};

/** Origin of a request. */
struct request_origin {
    bool isCall = false; ///< Whether a run on a backend server made it, rather than a client.
    double repeatWeight = 0; ///< Probability that this run was a repeat.
};

/**
 * Counts requests and repeats of each service in a sliding window. The calls of a repeated run are repeats at the called
 * service too, though take() didn't grant them: they are counted by their probability and reduce the budget.
 * Not thread-safe.
 */
class repeat_budget
{
public:
    explicit repeat_budget(const repeat_budget_settings &settings);

    /** Changes this host's share of the slack after the size of the fleet changed. */
    void setSlack(double slack);

    /** Changes the fleet's bound; what was counted in the window stays counted. */
    void setBound(double ratio, clock_ms window);

    /** Counts a request to a service, whether or not it is forwarded. */
    void countRequest(std::string_view service, const request_origin &origin, clock_ms now);

    /** Uses up one repeat. @return False if none is left. */
    bool take(std::string_view service, clock_ms now);

private:
    struct slice {
        std::int64_t number = 0; ///< Of the slice, counted from time 0 of the clock.
        double requests = 0;
        double calls = 0; ///< Requests made by backend servers.
        double inherited = 0; ///< Calls of repeated runs, by probability.
        double granted = 0; ///< Repeats granted by take().
    };

    slice &currentSlice(std::string_view service, clock_ms now);

    repeat_budget_settings m_settings;
    std::map<std::string, std::deque<slice>, std::less<>> m_services;
};

} // namespace cicadamux
