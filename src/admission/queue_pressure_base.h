/** @file queue_pressure_base.h Detects a standing queue and corrects the estimated capacity. */

#pragma once

#include "core/clock_type.h"

#include <cstddef>
#include <cstdint>

namespace cicadamux::detail
{

/**
 * Monitors a queue (or some of its calls) and derives a correction factor for the estimated capacity.
 * As in CoDel (Nichols and Jacobson, ACM Queue 2012), a queue that becomes empty within a window has absorbed a burst;
 * one that doesn't, while calls wait longer than a target, is a standing queue.
 */
class queue_pressure
{
public:
    /** Records the number of waiting calls. */
    void observe(std::size_t waiting);

    /** Records the queueing time of an admitted call. */
    void admitted(clock_ms waited);

    /** Records that a waiting call was refused because the queue was full or the call expired. */
    void refused();

    /**
     * Updates the correction at the end of a window.
     * @param target Accepted mean queueing time, in milliseconds.
     * @param idleFraction Fraction of the slots that was idle in the window, 0 to 1.
     */
    void closeWindow(double target, double idleFraction);

    /** Limits the correction to `maximum`, so that it doesn't grow while the capacity isn't used up. */
    void capCorrection(double maximum);

    /** @return Factor to apply to the capacity calculated from slots and slot times. */
    double correction() const;

private:
    bool m_wasEmpty = true; ///< Whether the queue was empty at some time in the window.
    std::size_t m_waiting = 0;
    std::uint32_t m_admitted = 0; ///< In the window.
    std::uint32_t m_refused = 0; ///< In the window.
    std::int64_t m_waited = 0; ///< Total queueing time of the calls admitted in the window, in milliseconds.
    double m_correction = 1;
};

} // namespace cicadamux::detail
