/** @file overload_level_base.h Which roots a gate admits of each class under overload. */

#pragma once

#include "admission/class_table_base.h"
#include "admission/queue_pressure_base.h"
#include "admission/time_mean_type.h"

namespace cicadamux::detail
{

/**
 * Decides at arrival, before a call waits, as DAGOR does (Zhou et al., SoCC 2018): each class has a part of its roots
 * that is admitted, chosen by a hash of the root, so that all gates refuse the same roots.
 * Once in a window the slots are divided by the measured demand: protected tiers in order, then the others by effort,
 * classes alike. The queue's behaviour corrects the result (queue_pressure).
 * While a protected class is refused in part, all lesser tiers are refused whole.
 */
class overload_level
{
public:
    explicit overload_level(class_table &classes);

    /** Counts a call that arrives. */
    void offered(work_class &owner);

    /** Takes in a slot time in milliseconds. */
    void measured(work_class &owner, double slotTime);

    /** Takes in that a call was admitted. */
    void admitted(const work_class &owner, clock_ms waited);

    /** Takes in that a waiting call was refused. */
    void refusedWaiting(const work_class &owner);

    /** Takes in the state after a command. */
    void observe(std::size_t strictWaiting, std::size_t protectedWaiting, std::size_t inUse, clock_ms now);

    /** Ends the window if it is over, and divides the slots anew. */
    void advance(std::uint32_t limit, clock_ms maxWait, clock_ms now);

    /** @return Whether the root isn't among those of its class that are admitted. */
    bool refuses(const work_class &owner, root_id root) const;

    /** @return The level as it is passed on; see gate_level. */
    gate_level level() const;

    /** @return The first sub-level of a class that is refused. */
    static std::uint16_t subLevelFor(double admittedPart);

private:
    double costOf(const work_class &owner) const;
    double demandOf(const tier_state &tier) const;
    void updateRates(double elapsed);
    void divideSlots(double slots);
    void divideAmongClasses(tier_state &tier, double capacity, double left);
    double divideProtected(double slots);
    void divideLesser(double capacity);
    gate_level findLevel() const;

    class_table &m_classes;
    queue_pressure m_all; ///< Of all calls with a strict deadline.
    queue_pressure m_protected; ///< Of the protected ones among them.
    service_estimate m_anyService; ///< Of all classes, for those not yet measured.
    time_mean m_inUse;
    clock_ms m_windowStart;
    gate_level m_level; ///< Meaningful while something is refused.
    bool m_isRefusing = false;
};

} // namespace cicadamux::detail
