/** @file queue_pressure_base.h Tells a standing queue from a burst. */

#pragma once

#include "core/clock_type.h"

#include <cstddef>
#include <cstdint>

namespace cicadamux::detail
{

/**
 * Watches one part of a queue and corrects the estimate of what can be admitted by it.
 * As in CoDel (Nichols and Jacobson, ACM Queue 2012), a queue that empties within a window is a burst that it may
 * absorb, and one that doesn't while calls wait longer than a target is a standing queue.
 */
class queue_pressure
{
public:
    /** Takes in how many calls wait. */
    void observe(std::size_t waiting);

    /** Takes in how long an admitted call waited. */
    void admitted(clock_ms waited);

    /** Takes in that the queue refused a call, for its length or its age. */
    void refused();

    /**
     * Ends a window.
     * @param target Wait that is accepted, in milliseconds.
     * @param idlePart Part of the slots that was idle in the window, 0 to 1.
     */
    void closeWindow(double target, double idlePart);

    /** Lowers the correction to `most`; keeps it from growing while it doesn't bind. */
    void capCorrection(double most);

    /** @return What can be admitted as a multiple of the capacity worked out from slots and slot times. */
    double correction() const;

private:
    bool m_wasEmpty = true; ///< Whether the queue was empty at some moment of the window.
    std::size_t m_waiting = 0;
    std::uint32_t m_admitted = 0; ///< In the window.
    std::uint32_t m_refused = 0; ///< In the window.
    std::int64_t m_waited = 0; ///< Sum over the calls admitted in the window, in milliseconds.
    double m_correction = 1;
};

} // namespace cicadamux::detail
