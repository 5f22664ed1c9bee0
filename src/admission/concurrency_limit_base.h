/** @file concurrency_limit_base.h Adaptive concurrency limit of one backend server. */

#pragma once

#include "admission/gate_base.h"
#include "admission/time_mean_type.h"

#include <string_view>

namespace cicadamux::detail
{

/** Latency of the answers in one measurement window. */
struct latency_window {
    clock_ms startedAt;
    std::int64_t sum = 0; ///< Sum of the latencies, in milliseconds.
    std::uint32_t count = 0; ///< Number of answers.
    bool wasSaturated = false; ///< Whether all slots were in use at some time in the window.

    double mean() const; ///< In milliseconds; 0 without answers.
};

/**
 * Adapts the concurrency limit of one backend server to its answers, never to its health or load endpoints.
 * - While all slots are in use and the latency stays near its baseline, the limit grows by half per window up to the
 *   announced slots (like slow start in TCP), but only by one per window above a ceiling set by a shed or a queue.
 * - Each shed lowers the limit at once to the number of calls that the backend server still works on.
 * - When the latency rises, a probe halves the limit for some answers. If the latency falls too, calls were queueing in
 *   the backend server, and the limit is lowered in proportion (gradient, as in TCP Vegas, Brakmo 1994). Otherwise the
 *   backend server itself is slow and a lower limit would only cost throughput: the limit is restored, and the measured
 *   latency becomes the new baseline (as BBR measures its base again, Cardwell et al., ACM Queue 2016).
 */
class concurrency_limit
{
public:
    explicit concurrency_limit(const gate_settings &settings);

    /** Sets the upper bound of the limit; 0 if the backend server announced none. */
    void setAnnounced(std::uint32_t slots, clock_ms now);

    /** Records the number of slots in use after a command. */
    void observe(std::uint32_t inUse, clock_ms now);

    /** Records how an admitted call ended. `inUse` no longer includes it. */
    void ended(work_end end, clock_ms admittedAt, std::uint32_t inUse, clock_ms now);

    /** Evaluates the current measurement window if it is over, and starts the next. */
    void advance(clock_ms now);

    std::uint32_t current() const;

    /** @return The limit before the running probe; without a probe, the current limit. */
    std::uint32_t steadyLimit() const;

    std::string_view reason() const; ///< Why the limit last changed.
    clock_ms changedAt() const;

private:
    enum class phase : std::uint8_t { steady, probe_draining, probe_measuring };

    void setLimit(std::uint32_t limit, std::string_view reason, clock_ms now);
    void restartWindow(clock_ms now);
    void answered(clock_ms admittedAt, clock_ms now);
    void shed(std::uint32_t inUse, clock_ms now);
    void reset(clock_ms now);
    void evaluateWindow(clock_ms now);
    void grow(clock_ms now);
    void startProbe(clock_ms now);
    void evaluateProbe(clock_ms now);
    void endProbe(std::uint32_t limit, std::string_view reason, clock_ms now);
    bool hasRisen(double latency, std::uint32_t samples) const;

    std::uint32_t m_min;
    std::uint32_t m_max;
    std::uint32_t m_initial;
    std::uint32_t m_bound; ///< Announced slots, clamped to minimum and maximum.
    std::uint32_t m_current;
    std::uint32_t m_ceiling; ///< Above it the limit grows by one per window.
    clock_ms m_ceilingUntil; ///< When the ceiling ends.
    latency_window m_window;
    std::uint32_t m_windowLimit; ///< Limit at the start of the window.
    double m_baseline = 0; ///< Latency of the backend server without queueing, in milliseconds; 0 if unknown.
    phase m_phase = phase::steady;
    clock_ms m_probeStart;
    std::uint32_t m_limitBeforeProbe = 0;
    double m_latencyBeforeProbe = 0; ///< In milliseconds.
    std::uint32_t m_inUse = 0;
    std::string_view m_reason = "initial";
    clock_ms m_changedAt;
};

} // namespace cicadamux::detail
