/** @file call_budget.cpp Rate limit of a daemon's calls to the platform. */

#include "store/call_budget_base.h"

#include <algorithm>

namespace cicadamux
{

namespace
{
constexpr double millisecondsPerMinute = 60'000;
}

call_budget::call_budget(std::uint32_t callsPerMinute, clock_ms now)
    : m_refillRate(callsPerMinute / millisecondsPerMinute)
    , m_capacity(callsPerMinute)
    , m_available(callsPerMinute)
    , m_refilledAt(now)
{
}

bool call_budget::take(clock_ms now)
{
    const auto elapsed = static_cast<double>(std::max<std::int64_t>((now - m_refilledAt).count, 0));
    m_available = std::min(m_capacity, m_available + elapsed * m_refillRate);
    m_refilledAt = std::max(m_refilledAt, now);
    if (m_available < 1) {
        return false;
    }
    m_available -= 1;
    return true;
}

} // namespace cicadamux
