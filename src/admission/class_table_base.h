/** @file class_table_base.h Tiers and classes of calls that a gate keeps state for, with the measurements of each class. */

#pragma once

#include "admission/gate_type.h"
#include "policy/policy_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::detail
{

/**
 * Number of tiers. A tier is a rank together with its protection. All protected tiers come before all unprotected
 * ones, whatever the policy or a caller with an outdated policy says. The last tier of each half takes ranks beyond maxRanks.
 */
constexpr std::size_t tierCount = 2 * (maxRanks + 1);
constexpr std::size_t firstUnprotectedTier = maxRanks + 1;
constexpr std::size_t maxClassesPerTier = 64; ///< Further classes of a tier share one class.

/** @return The tier of a call; a lower number is more urgent. */
std::size_t tierOf(const gate_call &call);

rank_id rankOfTier(std::size_t tier);

/** Order of the waiting calls of one class: greatest depth first, then earliest deadline, then first arrival. */
struct wait_key {
    std::uint8_t shallowness = 0; ///< 255 minus the depth.
    clock_ms deadline;
    std::uint64_t sequence = 0; ///< Arrival number.

    auto operator<=>(const wait_key &) const = default;
};

struct waiting_call {
    gate_call call;
    clock_ms since; ///< Time of arrival.
};

/**
 * Smoothed slot time and its mean deviation, as TCP estimates round-trip times (Jacobson, SIGCOMM 1988), but updated
 * once per window: the more samples a window has, the greater its weight.
 */
class slot_time_estimate
{
public:
    /** Adds one measured slot time in milliseconds. */
    void add(double sample);

    /**
     * Updates the estimate with the samples of the window and starts a new window.
     * @param isIdle Whether the class holds no slot. If it also has no samples, the deviation is increased, so that an
     * outdated estimate can't refuse the class for ever.
     */
    void closeWindow(bool isIdle);

    bool isKnown() const;

    double mean() const; ///< Milliseconds.

    /** @return The mean less the deviation, in milliseconds: most calls take at least this long. */
    double lowerBound() const;

private:
    double m_mean = 0; ///< Milliseconds.
    double m_deviation = 0; ///< Milliseconds.
    double m_sum = 0; ///< Sum of the samples of the window, in milliseconds.
    double m_deviationSum = 0; ///< Sum of their absolute deviations from the mean, in milliseconds.
    std::uint32_t m_samples = 0; ///< Number of samples in the window.
    bool m_known = false;
};

/** One class of calls in a tier. */
struct work_class {
    std::string name;
    std::size_t tier = 0;
    std::map<wait_key, waiting_call> waiting;
    double pass = 0; ///< Virtual time of the next admission (stride scheduling, Waldspurger 1995).
    std::uint32_t inUse = 0; ///< Slots held by its calls.
    clock_ms lastSeen;
    slot_time_estimate slotTime;
    std::uint32_t offered = 0; ///< Calls offered in the current window.
    double offeredRate = 0; ///< Smoothed, calls per millisecond.
    double admittedFraction = 1; ///< Fraction of its roots that is admitted, 0 to 1.
};

/** One tier: its classes and its scheduling state among the tiers. */
struct tier_state {
    std::vector<std::unique_ptr<work_class>> classes;
    std::size_t waiting = 0; ///< Waiting calls of all its classes.
    double effort = 1; ///< Scheduling weight among the unprotected tiers.
    double pass = 0; ///< Virtual time of the next admission, among the unprotected tiers.
    double virtualTime = 0; ///< Virtual clock that the passes of its classes are measured by.
    double newClassAdmittedFraction = 1; ///< Initial admittedFraction of a class.
};

/** Owns the tiers and classes; their number is bounded. A pointer to a class stays valid while the class has waiting calls or holds slots. */
class class_table
{
public:
    class_table();

    void setRanks(std::span<const rank_rule> ranks);

    /** Returns the class of a call; creates it if needed. */
    work_class &classOf(const gate_call &call, clock_ms now);

    tier_state &tier(std::size_t index);
    const tier_state &tier(std::size_t index) const;

    /** @return The least urgent rank of the policy or of any call seen so far, whichever is less urgent. */
    rank_id lastRank() const;

private:
    work_class &addClass(tier_state &tierState, std::string_view name, std::size_t tierIndex);

    std::array<tier_state, tierCount> m_tiers;
    rank_id m_lastRank{0};
};

} // namespace cicadamux::detail
