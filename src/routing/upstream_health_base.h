/** @file upstream_health_base.h Whether one upstream is ejected as an outlier. Private to routing. */

#pragma once

#include "core/clock_type.h"

#include <atomic>
#include <cstdint>

namespace cicadamux::detail
{

/**
 * Counts failures, and keeps the state of an ejection: after its time it is probed by single calls,
 * and the first good one ends it. The owner bounds how many upstreams are ejected. Atomics only.
 */
class upstream_health
{
public:
    /** Counts the end of a call. @return Whether the upstream now looks like an outlier; asked again only after further failures. */
    bool recordEnd(bool failed);

    /** Ejects, for twice as long as the last time if that was lately. */
    void eject(clock_ms now);

    /** Ends an ejection. */
    void readmit(clock_ms now);

    /** Starts anew, for a new life of the upstream. */
    void reset();

    bool isEjected() const;

    /** @return Whether an ejection's time is over, so that calls are evidence again. */
    bool isProbing(clock_ms now) const;

    /** @return Whether the caller may send one probe; at most one in a while. */
    bool claimProbe(clock_ms now);

    /** @return When the ejection's time is over. */
    clock_ms ejectedUntil() const;

private:
    std::atomic<std::uint32_t> m_consecutiveFailures{0};
    std::atomic<std::uint32_t> m_windowCalls{0};
    std::atomic<std::uint32_t> m_windowFailures{0};
    std::atomic<bool> m_isEjected{false};
    std::atomic<std::int64_t> m_ejectedUntil{0};
    std::atomic<std::int64_t> m_readmittedAt{0};
    std::atomic<std::uint32_t> m_ejections{0}; ///< In a row, each soon after the last.
    std::atomic<std::int64_t> m_probedAt{INT64_MIN / 2};
};

} // namespace cicadamux::detail
