/** @file route_admission.cpp Refuses requests of a route at the entry while runs of the route lose calls downstream. */

#include "admission/route_admission_base.h"

#include <algorithm>

namespace cicadamux
{

namespace
{
constexpr std::size_t maxRoutes = 2'048; ///< All routes are dropped when a further one arrives.
} // namespace

route_admission::route_admission(const route_admission_settings &settings, random_source random)
    : m_settings(settings)
    , m_random(std::move(random))
{
}

route_decision route_admission::decide(std::string_view route, std::uint32_t rank, bool isLikelyRetry)
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= maxRoutes) {
            m_routes.clear();
        }
        m_routes.emplace(std::string(route), route_state{rank, 1, 0});
        return {};
    }
    route_state &state = found->second;
    state.rank = rank;
    route_decision decision;
    decision.admittedFraction = state.admittedFraction;
    decision.loss = state.loss;
    const double chance = state.admittedFraction + (isLikelyRetry ? m_settings.retryBonus : 0);
    if (chance >= 1 || draw() < chance) {
        return decision;
    }
    decision.admitted = false;
    decision.retryAfter = m_settings.minRetryAfter + clock_ms{static_cast<std::int64_t>(draw() * static_cast<double>(m_settings.retryAfterSpread.count))};
    return decision;
}

void route_admission::runEnded(std::string_view route, bool lostCall)
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        return;
    }
    route_state &state = found->second;
    state.loss += m_settings.lossWeight * ((lostCall ? 1.0 : 0.0) - state.loss);
    if (state.loss <= m_settings.targetLoss) {
        state.admittedFraction = std::min(1.0, state.admittedFraction + m_settings.increase);
        return;
    }
    route_state *leastUrgent = leastUrgentLossyRoute();
    route_state &reduced = leastUrgent != nullptr && leastUrgent->rank > state.rank ? *leastUrgent : state;
    reduced.admittedFraction = std::max(m_settings.minAdmittedFraction, reduced.admittedFraction * (1 - m_settings.decrease * state.loss));
}

/** @return The least urgent route that loses calls and isn't at the minimum yet. */
route_admission::route_state *route_admission::leastUrgentLossyRoute()
{
    route_state *least = nullptr;
    for (auto &[name, state] : m_routes) {
        const bool canReduce = state.loss > m_settings.targetLoss / 2 && state.admittedFraction > m_settings.minAdmittedFraction;
        if (canReduce && (least == nullptr || state.rank > least->rank)) {
            least = &state;
        }
    }
    return least;
}

double route_admission::draw() const
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(m_random()) / range;
}

} // namespace cicadamux
