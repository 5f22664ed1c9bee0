/** @file overload_level_base.h Fraction of the roots of each class that a gate admits under overload. */

#pragma once

#include "admission/class_table_base.h"
#include "admission/queue_pressure_base.h"
#include "admission/time_mean_type.h"

namespace cicadamux::detail
{

/**
 * Decides on arrival, before a call is queued, as DAGOR does (Zhou et al., SoCC 2018): of each class a fraction of the
 * roots is admitted, chosen by a hash of the root, so that all gates refuse the same roots.
 * Once per window the slots are divided by measured demand: first among the protected tiers in order, then among the
 * others in proportion to effort; the classes of a tier share evenly. The state of the queue corrects the capacity
 * (queue_pressure). While a protected class is partly refused, all unprotected tiers are refused entirely.
 */
class overload_level
{
public:
    explicit overload_level(class_table &classes);

    /** Counts an arriving call. */
    void offered(work_class &workClass);

    /** Adds a measured slot time in milliseconds. */
    void measured(work_class &workClass, double slotTime);

    /** Records that a call was admitted after `waited` in the queue. */
    void admitted(const work_class &workClass, clock_ms waited);

    /** Records that a waiting call was refused. */
    void refusedWaiting(const work_class &workClass);

    /** Records the queue lengths and slots in use after a command. Only calls with a strict deadline count as waiting. */
    void observe(std::size_t strictWaiting, std::size_t protectedWaiting, std::size_t inUse, clock_ms now);

    /** If the window is over, starts the next one and divides the slots again. */
    void advance(std::uint32_t limit, clock_ms maxWait, clock_ms now);

    /** @return Whether the root is outside the admitted fraction of its class. */
    bool refuses(const work_class &workClass, root_id root) const;

    /** @return The level as published to other hosts. */
    gate_level level() const;

    /** @return The lowest sub-level that is refused at this fraction. */
    static std::uint16_t subLevelFor(double admittedFraction);

private:
    double costOf(const work_class &workClass) const;
    double demandOf(const tier_state &tier) const;
    void updateRates(double elapsed);
    void divideSlots(double slots);
    void divideAmongClasses(tier_state &tier, double capacity, double left);
    double divideAmongProtected(double slots);
    void divideAmongUnprotected(double capacity);
    gate_level findLevel() const;

    class_table &m_classes;
    queue_pressure m_all; ///< Of all calls with a strict deadline.
    queue_pressure m_protected; ///< Of the protected ones among them.
    slot_time_estimate m_overallSlotTime; ///< Over all classes; used for classes without a measurement.
    time_mean m_inUse;
    clock_ms m_windowStart;
    gate_level m_level; ///< Valid only if m_isRefusing.
    bool m_isRefusing = false;
};

} // namespace cicadamux::detail
