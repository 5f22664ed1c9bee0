/** @file concurrency_limit.cpp How many calls a backend server is given at a time. */

#include "admission/concurrency_limit_base.h"

#include <algorithm>
#include <cmath>

namespace cicadamux::detail
{

namespace
{
constexpr clock_ms windowLength{100};
constexpr clock_ms longestWindow{500}; ///< A window ends by then even with few answers.
constexpr std::uint32_t windowAnswers = 32; ///< Answers that a window waits for.
constexpr double raisedFactor = 1.5; ///< A latency is raised beyond this multiple of the baseline,
constexpr double raisedNoise = 2; ///< and this over the root of the number of answers,
constexpr double raisedLeast = 1; ///< and by this many milliseconds.
constexpr double baselineFall = 0.25; ///< Weight of a lower latency in the baseline.
constexpr double baselineRise = 0.02; ///< Weight of a slightly higher latency in the baseline.
constexpr double baselineDrift = 1.2; ///< Highest multiple of the baseline that may raise it.
constexpr double leastBaseline = 0.5; ///< Milliseconds.
constexpr double growth = 1.5; ///< Of the limit in one window, below the ceiling.
constexpr double queueRatio = 0.75; ///< Latency in a probe, relative to before, below which calls queued inside.
constexpr double queueAllowed = 1.25; ///< Latency relative to the baseline that a lowered limit aims at.
constexpr clock_ms shortestProbeTimeout{1'000};
constexpr double probeTimeoutFactor = 4; ///< Longest probe in multiples of the latency.
constexpr clock_ms shedCeiling{1'000}; ///< How long a shed holds growth back.
constexpr clock_ms queueCeiling{2'000}; ///< How long a queue inside the backend server holds growth back.
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
    m_probeRestore = std::min(m_probeRestore, m_bound);
    if (m_current > m_bound) {
        move(m_bound, "announced", now);
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
        forget(now);
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
        judgeProbe(now);
        return;
    }
    const bool isOver = age >= longestWindow || (age >= windowLength && m_window.count >= windowAnswers);
    if (isOver) {
        judge(now);
        restartWindow(now);
    }
}

std::uint32_t concurrency_limit::current() const
{
    return m_current;
}

std::uint32_t concurrency_limit::settled() const
{
    return m_phase == phase::steady ? m_current : std::max(m_current, m_probeRestore);
}

std::string_view concurrency_limit::reason() const
{
    return m_reason;
}

clock_ms concurrency_limit::movedAt() const
{
    return m_movedAt;
}

void concurrency_limit::move(std::uint32_t limit, std::string_view reason, clock_ms now)
{
    if (limit == m_current) {
        return;
    }
    m_current = limit;
    m_reason = reason;
    m_movedAt = now;
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
    m_ceilingUntil = now + shedCeiling;
    move(lowered, "shed", now);
}

void concurrency_limit::forget(clock_ms now)
{
    m_phase = phase::steady;
    m_baseline = 0;
    m_ceiling = m_max;
    move(std::min(m_initial, m_bound), "server_gone", now);
    restartWindow(now);
}

bool concurrency_limit::isRaised(double latency, std::uint32_t samples) const
{
    const double factor = raisedFactor + raisedNoise / std::sqrt(static_cast<double>(samples));
    return latency > m_baseline * factor + raisedLeast;
}

void concurrency_limit::judge(clock_ms now)
{
    if (m_window.count == 0) {
        return;
    }
    const double latency = std::max(leastBaseline, m_window.mean());
    if (m_baseline == 0) {
        m_baseline = latency;
    } else if (latency < m_baseline) {
        m_baseline += baselineFall * (latency - m_baseline);
    } else if (latency < m_baseline * baselineDrift) {
        m_baseline += baselineRise * (latency - m_baseline);
    }
    if (!m_window.wasSaturated) {
        return;
    }
    if (!isRaised(latency, m_window.count)) {
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
        const auto grown = static_cast<std::uint32_t>(m_current * growth);
        target = std::max(target, std::min(grown, m_ceiling));
    }
    move(std::min(target, m_bound), "saturated", now);
}

void concurrency_limit::startProbe(clock_ms now)
{
    m_phase = phase::probe_draining;
    m_probeStart = now;
    m_probeRestore = m_current;
    m_probeReference = m_window.mean();
    move(std::max(m_min, m_current / 2), "latency_rose", now);
}

void concurrency_limit::judgeProbe(clock_ms now)
{
    const auto longest = clock_ms{static_cast<std::int64_t>(m_probeReference * probeTimeoutFactor)};
    if (m_phase == phase::probe_measuring && m_window.count >= windowAnswers) {
        const double latency = m_window.mean();
        if (latency < queueRatio * m_probeReference) {
            const double wanted = m_probeRestore * queueAllowed * m_baseline / m_probeReference;
            m_ceiling = std::clamp(static_cast<std::uint32_t>(wanted), m_current, m_probeRestore);
            m_ceilingUntil = now + queueCeiling;
            endProbe(m_ceiling, "server_queues", now);
        } else {
            m_baseline = latency;
            endProbe(m_probeRestore, "server_slow", now);
        }
    } else if (now - m_probeStart > std::max(shortestProbeTimeout, longest)) {
        m_baseline = m_probeReference;
        endProbe(m_probeRestore, "probe_inconclusive", now);
    }
}

void concurrency_limit::endProbe(std::uint32_t limit, std::string_view reason, clock_ms now)
{
    m_phase = phase::steady;
    move(limit, reason, now);
    restartWindow(now);
}

} // namespace cicadamux::detail
