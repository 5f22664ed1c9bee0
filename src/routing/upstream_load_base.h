/** @file upstream_load_base.h Estimated load of one upstream, from own calls and piggybacked reports. Private to routing. */

#pragma once

#include "routing/router_base.h"

#include <atomic>
#include <cstdint>

namespace cicadamux::detail
{

/** Age at which a piggybacked report stops counting. */
constexpr clock_ms loadReportLifetime{250};

/** Load at a moment. */
struct load_estimate {
    double perSlot = 0.0; ///< Calls in use, waiting and on their way, one more included, for each slot.
    bool isFull = false; ///< The limit is reached and calls wait.
};

/** Atomics only; a reader may see parts of two reports, which makes an estimate no worse than a late one. */
class upstream_load
{
public:
    void addCall();

    /** Uncounts a call; harmless if none is counted. */
    void removeCall();

    void note(const upstream_report &report, clock_ms now);

    /** Drops what was heard, for a new life of the upstream; own calls stay counted until they end. */
    void forgetReport();

    std::uint32_t inFlight() const;

    /** @param slots As announced; stands in for the limit until one is heard. */
    load_estimate estimate(std::uint32_t slots, clock_ms now) const;

private:
    std::atomic<std::uint32_t> m_inFlight{0};
    std::atomic<std::int64_t> m_reportedAt{INT64_MIN / 2};
    std::atomic<std::uint32_t> m_inUse{0};
    std::atomic<std::uint32_t> m_waiting{0};
    std::atomic<std::uint32_t> m_limit{0};
    std::atomic<std::uint32_t> m_inFlightAtReport{0};
};

} // namespace cicadamux::detail
