/** @file upstream_health.cpp Detection and ejection of outliers. */

#include "routing/upstream_health_base.h"

#include <algorithm>

namespace cicadamux::detail
{

namespace
{
constexpr std::uint32_t failuresInARow = 5; ///< Make an outlier.
constexpr std::uint32_t windowSize = 20; ///< Calls over which the failure rate is taken.
constexpr std::uint32_t windowFailureLimit = 10; ///< Failures in a window that make an outlier.
constexpr clock_ms firstEjection{1'000};
constexpr clock_ms longestEjection{32'000};
constexpr std::uint32_t mostDoublings = 5; ///< From firstEjection to longestEjection.
constexpr clock_ms probeInterval{500}; ///< Between two probes of one upstream.
constexpr clock_ms forgivenAfter{60'000}; ///< Time without ejection after which the next one is short again.
} // namespace

bool upstream_health::recordEnd(bool failed)
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
    const bool manyInARow = m_consecutiveFailures.fetch_add(1) + 1 >= failuresInARow;
    if (!manyInARow && failures < windowFailureLimit) {
        return false;
    }
    m_consecutiveFailures.store(0);
    m_windowFailures.store(0);
    m_windowCalls.store(0);
    return true;
}

void upstream_health::eject(clock_ms now)
{
    const bool isForgiven = !isEjected() && now - clock_ms{m_readmittedAt.load()} >= forgivenAfter;
    const std::uint32_t earlier = isForgiven ? 0 : m_ejections.load();
    const std::int64_t time = firstEjection.count << std::min(earlier, mostDoublings);
    m_ejections.store(earlier + 1);
    m_ejectedUntil.store(now.count + std::min(time, longestEjection.count));
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
