/** @file repeat_budget.cpp Bounds the ratio of repeated requests in a fleet without coordination between hosts. */

#include "retry/repeat_budget_base.h"

namespace cicadamux
{

namespace
{
constexpr std::int64_t slicesPerWindow = 10; ///< The bound holds for any window that ends at the end of a slice.
constexpr double totalFraction = 0.75; ///< Of the fleet's ratio, for all repeats; below 1 because the windows of the hosts aren't aligned.
constexpr double grantedFraction = 0.5; ///< Of the fleet's ratio, for repeats granted by take().
/**
 * A call by a backend server adds less to the budget by this fraction than a client's request. That leaves room for
 * repeats inherited later in the same window: in a chain of four services that all use their full budget, the last one
 * stays under the fleet's ratio.
 */
constexpr double callDiscount = 0.8;
} // namespace

repeat_budget::repeat_budget(const repeat_budget_settings &settings)
    : m_settings(settings)
{
}

void repeat_budget::setSlack(double slack)
{
    m_settings.slack = slack;
}

void repeat_budget::setBound(double ratio, clock_ms window)
{
    m_settings.ratio = ratio;
    if (window == m_settings.window) {
        return;
    }
    for (auto &[service, slices] : m_services) { // A slice's number states its time in units of the window's length.
        for (slice &counted : slices) {
            counted.number = counted.number * m_settings.window.count / window.count;
        }
    }
    m_settings.window = window;
}

repeat_budget::slice &repeat_budget::currentSlice(std::string_view service, clock_ms now)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        found = m_services.emplace(std::string(service), std::deque<slice>()).first;
    }
    std::deque<slice> &window = found->second;
    const std::int64_t number = now.count * slicesPerWindow / m_settings.window.count;
    while (!window.empty() && window.front().number <= number - slicesPerWindow - 1) {
        window.pop_front();
    }
    if (window.empty() || window.back().number != number) {
        window.push_back({number, 0, 0});
    }
    return window.back();
}

void repeat_budget::countRequest(std::string_view service, const request_origin &origin, clock_ms now)
{
    slice &current = currentSlice(service, now);
    current.requests += 1;
    current.calls += origin.isCall ? 1 : 0;
    current.inherited += origin.repeatWeight;
}

bool repeat_budget::take(std::string_view service, clock_ms now)
{
    slice &current = currentSlice(service, now);
    slice sum;
    for (const slice &one : m_services.find(service)->second) {
        sum.requests += one.requests;
        sum.calls += one.calls;
        sum.inherited += one.inherited;
        sum.granted += one.granted;
    }
    const double maxGranted = (sum.requests - callDiscount * sum.calls) * grantedFraction * m_settings.ratio + m_settings.slack;
    const double maxTotal = sum.requests * totalFraction * m_settings.ratio + m_settings.slack;
    if (sum.granted + 1 > maxGranted || sum.granted + sum.inherited + 1 > maxTotal) {
        return false;
    }
    current.granted += 1;
    return true;
}

} // namespace cicadamux
