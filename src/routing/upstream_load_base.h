/** @file upstream_load_base.h Estimates the load of one upstream from own calls and piggybacked reports. Private to routing. */

#pragma once

#include "routing/router_base.h"

#include <atomic>
#include <cstdint>

namespace cicadamux::detail
{

/** Age beyond which a piggybacked report is ignored. */
constexpr clock_ms loadReportLifetime{250};

/** Estimated load at one point in time. */
struct load_estimate {
    double perSlot = 0.0; ///< Running, queued and in-flight calls per slot, including the call to be placed.
    bool isFull = false; ///< The concurrency limit is reached and calls are queued, or the backend server's rate has no room.
};

/** Uses atomics only. A reader may see a mix of two reports; such an estimate is no worse than an outdated one. */
class upstream_load
{
public:
    void addCall();

    /** Ends a call counted by addCall(); no effect if none is counted. */
    void removeCall();

    void recordReport(const upstream_report &report, clock_ms now);

    /** Discards the last report after a restart of the upstream; own calls stay counted until they end. */
    void clearReport();

    std::uint32_t inFlight() const;

    /** @param slots Announced concurrency, used in place of the limit until a report with one arrives. */
    load_estimate estimate(std::uint32_t slots, clock_ms now) const;

private:
    std::atomic<std::uint32_t> m_inFlight{0};
    std::atomic<std::int64_t> m_reportedAt{INT64_MIN / 2};
    std::atomic<std::uint32_t> m_inUse{0};
    std::atomic<std::uint32_t> m_waiting{0};
    std::atomic<std::uint32_t> m_limit{0};
    std::atomic<std::uint32_t> m_inFlightAtReport{0};
    std::atomic<std::int64_t> m_noRoomUntil{INT64_MIN / 2}; ///< Instant, milliseconds.
};

} // namespace cicadamux::detail
