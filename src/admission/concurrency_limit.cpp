/** @file concurrency_limit.cpp Adaptive concurrency limit of one backend server. */

#include "admission/concurrency_limit_base.h"

#include <algorithm>
#include <cmath>

namespace cicadamux::detail
{

namespace
{
constexpr clock_ms windowLength{100};
constexpr clock_ms maxWindowLength{500}; ///< A window ends after this time even with fewer answers than minWindowAnswers.
constexpr std::uint32_t minWindowAnswers = 32; ///< Answers needed to end a window.
constexpr double risenFactor = 1.5; ///< Latency counts as risen above this multiple of the baseline,
constexpr double risenNoise = 2; ///< plus this divided by the square root of the number of answers,
constexpr double minRiseMs = 1; ///< plus this many milliseconds.
constexpr double baselineFall = 0.25; ///< Smoothing weight of a latency below the baseline.
constexpr double baselineRise = 0.02; ///< Smoothing weight of a latency slightly above the baseline.
constexpr double maxBaselineDrift = 1.2; ///< Latencies above this multiple of the baseline don't raise it.
constexpr double minBaselineMs = 0.5;
constexpr double growthFactor = 1.5; ///< Growth of the limit in one window while it is below the ceiling.
constexpr double queueRatio = 0.75; ///< If a probe lowers the latency below this fraction, calls were queueing in the backend server.
constexpr double loweredLatencyRatio = 1.25; ///< Latency that a lowered limit aims at, as a multiple of the baseline.
constexpr clock_ms minProbeTimeout{1'000};
constexpr double probeTimeoutFactor = 4; ///< Timeout of a probe, as a multiple of the latency before it.
constexpr clock_ms shedCeilingDuration{1'000}; ///< How long the ceiling set by a shed holds growth back.
constexpr clock_ms queueCeilingDuration{2'000}; ///< How long the ceiling set by a queue in the backend server holds growth back.
} // namespace

double latency_window::mean() const
{
    return count > 0 ? static_cast<double>(sum) / count : 0;
}

concurrency_limit::concurrency_limit(const gate_settings &settings)
    : m_min(std::max(1U, settings.minLimit))
    , m_max(std::max(m_min, settings.maxLimit))
    , m_initial(std::clamp(settings.initialLimit, m_min, m_max))
    , m_bound(m_max)
    , m_current(m_initial)
    , m_ceiling(m_max)
    , m_windowLimit(m_initial)
{
}

void concurrency_limit::setAnnounced(std::uint32_t slots, clock_ms now)
{
    m_bound = slots == 0 ? m_max : std::clamp(slots, m_min, m_max);
    m_limitBeforeProbe = std::min(m_limitBeforeProbe, m_bound);
    if (m_current > m_bound) {
        setLimit(m_bound, "announced", now);
    }
}

void concurrency_limit::observe(std::uint32_t inUse, clock_ms now)
{
    m_inUse = inUse;
    m_window.wasSaturated = m_window.wasSaturated || inUse >= m_current;
    if (m_phase == phase::probe_draining && inUse <= m_current) {
        m_phase = phase::probe_measuring;
        restartWindow(now);
    }
}

void concurrency_limit::ended(work_end end, clock_ms admittedAt, std::uint32_t inUse, clock_ms now)
{
    switch (end) {
    case work_end::answered:
        answered(admittedAt, now);
        break;
    case work_end::shed:
        shed(inUse, now);
        break;
    case work_end::server_gone:
        reset(now);
        break;
    case work_end::failed:
    case work_end::cancelled:
    case work_end::not_sent:
        break;
    }
}

void concurrency_limit::advance(clock_ms now)
{
    const clock_ms age = now - m_window.startedAt;
    if (m_phase != phase::steady) {
        evaluateProbe(now);
        return;
    }
    const bool isOver = age >= maxWindowLength || (age >= windowLength && m_window.count >= minWindowAnswers);
    if (isOver) {
        evaluateWindow(now);
        restartWindow(now);
    }
}

std::uint32_t concurrency_limit::current() const
{
    return m_current;
}

std::uint32_t concurrency_limit::steadyLimit() const
{
    return m_phase == phase::steady ? m_current : std::max(m_current, m_limitBeforeProbe);
}

std::string_view concurrency_limit::reason() const
{
    return m_reason;
}

clock_ms concurrency_limit::changedAt() const
{
    return m_changedAt;
}

void concurrency_limit::setLimit(std::uint32_t limit, std::string_view reason, clock_ms now)
{
    if (limit == m_current) {
        return;
    }
    m_current = limit;
    m_reason = reason;
    m_changedAt = now;
}

void concurrency_limit::restartWindow(clock_ms now)
{
    m_window = {now, 0, 0, m_inUse >= m_current};
    m_windowLimit = m_current;
}

void concurrency_limit::answered(clock_ms admittedAt, clock_ms now)
{
    const bool countsForProbe = admittedAt >= m_window.startedAt;
    if (m_phase == phase::steady || countsForProbe) {
        m_window.sum += (now - admittedAt).count;
        ++m_window.count;
    }
}

void concurrency_limit::shed(std::uint32_t inUse, clock_ms now)
{
    if (m_phase != phase::steady) {
        endProbe(m_current, m_reason, now);
    }
    const std::uint32_t least = std::max(m_min, m_windowLimit / 2);
    const std::uint32_t lowered = std::min(m_current, std::max(least, inUse));
    m_ceiling = lowered;
    m_ceilingUntil = now + shedCeilingDuration;
    setLimit(lowered, "shed", now);
}

void concurrency_limit::reset(clock_ms now)
{
    m_phase = phase::steady;
    m_baseline = 0;
    m_ceiling = m_max;
    setLimit(std::min(m_initial, m_bound), "server_gone", now);
    restartWindow(now);
}

bool concurrency_limit::hasRisen(double latency, std::uint32_t samples) const
{
    const double factor = risenFactor + risenNoise / std::sqrt(static_cast<double>(samples));
    return latency > m_baseline * factor + minRiseMs;
}

void concurrency_limit::evaluateWindow(clock_ms now)
{
    if (m_window.count == 0) {
        return;
    }
    const double latency = std::max(minBaselineMs, m_window.mean());
    if (m_baseline == 0) {
        m_baseline = latency;
    } else if (latency < m_baseline) {
        m_baseline += baselineFall * (latency - m_baseline);
    } else if (latency < m_baseline * maxBaselineDrift) {
        m_baseline += baselineRise * (latency - m_baseline);
    }
    if (!m_window.wasSaturated) {
        return;
    }
    if (!hasRisen(latency, m_window.count)) {
        grow(now);
    } else if (m_current > m_min) {
        startProbe(now);
    }
}

void concurrency_limit::grow(clock_ms now)
{
    if (now >= m_ceilingUntil) {
        m_ceiling = m_max;
    }
    std::uint32_t target = m_current + 1;
    if (m_current < m_ceiling) {
        const auto grown = static_cast<std::uint32_t>(m_current * growthFactor);
        target = std::max(target, std::min(grown, m_ceiling));
    }
    setLimit(std::min(target, m_bound), "saturated", now);
}

void concurrency_limit::startProbe(clock_ms now)
{
    m_phase = phase::probe_draining;
    m_probeStart = now;
    m_limitBeforeProbe = m_current;
    m_latencyBeforeProbe = m_window.mean();
    setLimit(std::max(m_min, m_current / 2), "latency_rose", now);
}

void concurrency_limit::evaluateProbe(clock_ms now)
{
    const auto longest = clock_ms{static_cast<std::int64_t>(m_latencyBeforeProbe * probeTimeoutFactor)};
    if (m_phase == phase::probe_measuring && m_window.count >= minWindowAnswers) {
        const double latency = m_window.mean();
        if (latency < queueRatio * m_latencyBeforeProbe) {
            const double wanted = m_limitBeforeProbe * loweredLatencyRatio * m_baseline / m_latencyBeforeProbe;
            m_ceiling = std::clamp(static_cast<std::uint32_t>(wanted), m_current, m_limitBeforeProbe);
            m_ceilingUntil = now + queueCeilingDuration;
            endProbe(m_ceiling, "server_queues", now);
        } else {
            m_baseline = latency;
            endProbe(m_limitBeforeProbe, "server_slow", now);
        }
    } else if (now - m_probeStart > std::max(minProbeTimeout, longest)) {
        m_baseline = m_latencyBeforeProbe;
        endProbe(m_limitBeforeProbe, "probe_inconclusive", now);
    }
}

void concurrency_limit::endProbe(std::uint32_t limit, std::string_view reason, clock_ms now)
{
    m_phase = phase::steady;
    setLimit(limit, reason, now);
    restartWindow(now);
}

} // namespace cicadamux::detail
