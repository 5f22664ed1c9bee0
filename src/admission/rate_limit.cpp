/** @file rate_limit.cpp Token bucket for the request rate that a backend server takes. */

#include "admission/rate_limit_base.h"

#include <algorithm>
#include <cmath>

namespace cicadamux
{

namespace
{
constexpr double minRate = 0.5; ///< Requests a second. A server that gets none could never state a higher rate.
constexpr double burstTime = 0.25; ///< Seconds of the rate that may be sent at once, so that pauses of the callers don't lower the mean rate.
constexpr double second = 1'000; ///< Milliseconds.
} // namespace

void rate_limit::set(std::optional<double> perSecond, clock_ms now)
{
    const double tokens = m_rate ? tokensAt(now) : 1;
    m_rate = perSecond ? std::optional(std::max(minRate, *perSecond)) : std::nullopt;
    m_tokens = m_rate ? std::min(tokens, capacity()) : 0;
    m_countedAt = now;
}

std::optional<double> rate_limit::rate() const
{
    return m_rate;
}

bool rate_limit::isFree(clock_ms now) const
{
    return !m_rate || tokensAt(now) >= 1;
}

void rate_limit::take(clock_ms now)
{
    if (m_rate) {
        m_tokens = tokensAt(now) - 1;
        m_countedAt = now;
    }
}

clock_ms rate_limit::wait(std::size_t ahead, clock_ms now) const
{
    if (!m_rate) {
        return clock_ms{0};
    }
    const double missing = static_cast<double>(ahead) + 1 - tokensAt(now);
    return clock_ms{static_cast<std::int64_t>(std::ceil(std::max(0.0, missing) / *m_rate * second))};
}

double rate_limit::tokensAt(clock_ms now) const
{
    const double earned = static_cast<double>(std::max<std::int64_t>(0, (now - m_countedAt).count)) * *m_rate / second;
    return std::min(capacity(), m_tokens + earned);
}

double rate_limit::capacity() const
{
    return std::max(1.0, *m_rate * burstTime);
}

} // namespace cicadamux
