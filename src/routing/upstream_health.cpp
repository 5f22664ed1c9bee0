/** @file upstream_health.cpp Outlier detection and ejection. */

#include "routing/upstream_health_base.h"

#include <algorithm>

namespace cicadamux::detail
{

namespace
{
constexpr std::uint32_t consecutiveFailureLimit = 5; ///< Consecutive failures that make an outlier.
constexpr std::uint32_t windowSize = 20; ///< Calls over which failures are counted.
constexpr std::uint32_t windowFailureLimit = 10; ///< Failures in a window that make an outlier.
constexpr clock_ms firstEjection{1'000};
constexpr clock_ms longestEjection{32'000};
constexpr std::uint32_t maxDoublings = 5; ///< Takes firstEjection to longestEjection.
constexpr clock_ms probeInterval{500}; ///< Least time between two probes of one upstream.
constexpr clock_ms backoffReset{60'000}; ///< Time without an ejection after which the next one starts at firstEjection again.
} // namespace

bool upstream_health::recordResult(bool failed)
{
    const std::uint32_t failures = m_windowFailures.fetch_add(failed ? 1 : 0) + (failed ? 1 : 0);
    if (m_windowCalls.fetch_add(1) + 1 >= windowSize) {
        m_windowCalls.store(0);
        m_windowFailures.store(0);
    }
    if (!failed) {
        m_consecutiveFailures.store(0);
        return false;
    }
    const bool reachesLimit = m_consecutiveFailures.fetch_add(1) + 1 >= consecutiveFailureLimit;
    if (!reachesLimit && failures < windowFailureLimit) {
        return false;
    }
    m_consecutiveFailures.store(0);
    m_windowFailures.store(0);
    m_windowCalls.store(0);
    return true;
}

void upstream_health::eject(clock_ms now)
{
    const bool resetsBackoff = !isEjected() && now - clock_ms{m_readmittedAt.load()} >= backoffReset;
    const std::uint32_t earlier = resetsBackoff ? 0 : m_ejections.load();
    const std::int64_t duration = firstEjection.count << std::min(earlier, maxDoublings);
    m_ejections.store(earlier + 1);
    m_ejectedUntil.store(now.count + std::min(duration, longestEjection.count));
    m_isEjected.store(true);
}

void upstream_health::readmit(clock_ms now)
{
    m_readmittedAt.store(now.count);
    m_consecutiveFailures.store(0);
    m_windowFailures.store(0);
    m_windowCalls.store(0);
    m_isEjected.store(false);
}

void upstream_health::reset()
{
    readmit({});
    m_ejections.store(0);
    m_probedAt.store(INT64_MIN / 2);
}

bool upstream_health::isEjected() const
{
    return m_isEjected.load();
}

bool upstream_health::isProbing(clock_ms now) const
{
    return isEjected() && now >= ejectedUntil();
}

bool upstream_health::claimProbe(clock_ms now)
{
    if (!isProbing(now)) {
        return false;
    }
    std::int64_t last = m_probedAt.load();
    return now.count - last >= probeInterval.count && m_probedAt.compare_exchange_strong(last, now.count);
}

clock_ms upstream_health::ejectedUntil() const
{
    return {m_ejectedUntil.load()};
}

} // namespace cicadamux::detail
