/** @file upstream_health_base.h Outlier detection for one upstream. Private to routing. */

#pragma once

#include "core/clock_type.h"

#include <atomic>
#include <cstdint>

namespace cicadamux::detail
{

/**
 * Counts failures and holds the ejection state. Once the ejection time has passed, the upstream is probed with
 * single calls; the first success ends the ejection. The owner limits how many upstreams are ejected. Uses atomics only.
 */
class upstream_health
{
public:
    /** Counts the result of a call. @return Whether the upstream is now an outlier; the counters then start again from 0. */
    bool recordResult(bool failed);

    /** Ejects the upstream, for twice as long as the last time if that was recent. */
    void eject(clock_ms now);

    /** Ends an ejection. */
    void readmit(clock_ms now);

    /** Clears all state after a restart of the upstream. */
    void reset();

    bool isEjected() const;

    /** @return Whether the ejection time has passed and the results of calls count as probes. */
    bool isProbing(clock_ms now) const;

    /** @return Whether the caller may send one probe; probes are rate-limited. */
    bool claimProbe(clock_ms now);

    /** @return When the ejection time ends. */
    clock_ms ejectedUntil() const;

private:
    std::atomic<std::uint32_t> m_consecutiveFailures{0};
    std::atomic<std::uint32_t> m_windowCalls{0};
    std::atomic<std::uint32_t> m_windowFailures{0};
    std::atomic<bool> m_isEjected{false};
    std::atomic<std::int64_t> m_ejectedUntil{0};
    std::atomic<std::int64_t> m_readmittedAt{0};
    std::atomic<std::uint32_t> m_ejections{0}; ///< Consecutive ejections, for the exponential backoff.
    std::atomic<std::int64_t> m_probedAt{INT64_MIN / 2};
};

} // namespace cicadamux::detail
