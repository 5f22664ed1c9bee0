/** @file concurrency_limit_base.h How many calls a backend server is given at a time. */

#pragma once

#include "admission/gate_base.h"
#include "admission/time_mean_type.h"

#include <string_view>

namespace cicadamux::detail
{

/** What was measured of answers in a window. */
struct latency_window {
    clock_ms startedAt;
    std::int64_t sum = 0; ///< Of the latencies, in milliseconds.
    std::uint32_t count = 0; ///< Answers.
    bool wasSaturated = false; ///< Whether all slots were in use at some moment.

    double mean() const; ///< Milliseconds; 0 without answers.
};

/**
 * Learns the concurrency limit of one backend server from its answers, never from its health or load endpoints.
 * - While all slots get used and the latency stays near its baseline, the limit grows by half in each window, up to
 *   the announced slots (as slow start in TCP); beyond the ceiling that a shed or a queue set, by one.
 * - Each shed lowers it at once to what the backend server still works on.
 * - Where the latency rises, a probe halves the limit for some answers. If the latency falls with it, calls queue
 *   inside the backend server, and the limit is lowered in proportion (gradient, as in TCP Vegas, Brakmo 1994). If it
 *   stays, the backend server itself is slow and fewer calls would only lose throughput: the limit is restored, and
 *   the measured latency is the new baseline (as BBR measures its base again, Cardwell et al., ACM Queue 2016).
 */
class concurrency_limit
{
public:
    explicit concurrency_limit(const gate_settings &settings);

    /** Sets the upper bound of learning; 0 if the backend server announced none. */
    void setAnnounced(std::uint32_t slots, clock_ms now);

    /** Takes in the slots in use after a command. */
    void observe(std::uint32_t inUse, clock_ms now);

    /** Takes in how an admitted call ended. `inUse` doesn't count it any more. */
    void ended(work_end end, clock_ms admittedAt, std::uint32_t inUse, clock_ms now);

    /** Closes the present window of measurement if it is over. */
    void advance(clock_ms now);

    std::uint32_t current() const;

    /** @return The limit that a probe will restore, or the current one. */
    std::uint32_t settled() const;

    std::string_view reason() const; ///< Why it last moved.
    clock_ms movedAt() const;

private:
    enum class phase : std::uint8_t { steady, probe_draining, probe_measuring };

    void move(std::uint32_t limit, std::string_view reason, clock_ms now);
    void restartWindow(clock_ms now);
    void answered(clock_ms admittedAt, clock_ms now);
    void shed(std::uint32_t inUse, clock_ms now);
    void forget(clock_ms now);
    void judge(clock_ms now);
    void grow(clock_ms now);
    void startProbe(clock_ms now);
    void judgeProbe(clock_ms now);
    void endProbe(std::uint32_t limit, std::string_view reason, clock_ms now);
    bool isRaised(double latency, std::uint32_t samples) const;

    std::uint32_t m_min;
    std::uint32_t m_max;
    std::uint32_t m_initial;
    std::uint32_t m_bound; ///< Announced slots, within minimum and maximum.
    std::uint32_t m_current;
    std::uint32_t m_ceiling; ///< Beyond it the limit grows by one only.
    clock_ms m_ceilingUntil; ///< When the ceiling is forgotten.
    latency_window m_window;
    std::uint32_t m_windowLimit; ///< Limit at the start of the window.
    double m_baseline = 0; ///< Latency of the backend server without a queue, in milliseconds; 0: unknown.
    phase m_phase = phase::steady;
    clock_ms m_probeStart;
    std::uint32_t m_probeRestore = 0; ///< Limit before the probe.
    double m_probeReference = 0; ///< Latency before the probe, in milliseconds.
    std::uint32_t m_inUse = 0;
    std::string_view m_reason = "initial";
    clock_ms m_movedAt;
};

} // namespace cicadamux::detail
