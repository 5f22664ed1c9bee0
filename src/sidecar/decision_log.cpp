/** @file decision_log.cpp Rate limit for the log lines on individual requests. */

#include "sidecar/decision_log_base.h"

#include <algorithm>

namespace cicadamux
{

decision_log::decision_log(const decision_log_settings &settings)
    : m_settings(settings)
{
    m_failures = {settings.failuresPerSecond, settings.failuresPerSecond * settings.burst, steadyNow(), 0};
    m_successes = {settings.successesPerSecond, settings.successesPerSecond * settings.burst, steadyNow(), 0};
}

bool decision_log::mayLogFailure()
{
    return takeToken(m_failures);
}

bool decision_log::mayLogSuccess()
{
    return takeToken(m_successes);
}

void decision_log::reportDropped()
{
    if (m_failures.dropped == 0) {
        return;
    }
    logEvent(log_level::warning, "log_lines_dropped", {{"failures", m_failures.dropped}, {"successes", m_successes.dropped}});
    m_failures.dropped = 0;
    m_successes.dropped = 0;
}

bool decision_log::takeToken(token_bucket &bucket) const
{
    constexpr double second = 1'000; // Milliseconds.
    const clock_ms now = steadyNow();
    bucket.tokens
        = std::min(bucket.perSecond * m_settings.burst, bucket.tokens + bucket.perSecond * static_cast<double>((now - bucket.refilledAt).count) / second);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
        ++bucket.dropped;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

} // namespace cicadamux
