/** @file class_table_base.h The classes of work that a gate knows, with what is measured of each. */

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
 * Number of tiers. A tier is a rank together with its protection; all protected tiers stand before all others,
 * whatever a policy or an outdated caller says. Within each half a last tier collects ranks beyond maxRanks.
 */
constexpr std::size_t tierCount = 2 * (maxRanks + 1);
constexpr std::size_t firstLesserTier = maxRanks + 1; ///< The first tier that isn't protected.
constexpr std::size_t maxClassesPerTier = 64; ///< Further classes of a tier share one queue.

/** @return The tier of a call; a smaller one is more urgent. */
std::size_t tierOf(const gate_call &call);

/** @return The rank of a tier. */
rank_id rankOfTier(std::size_t tier);

/** Order of the waiting calls of one class: deeper first, then by deadline, then by arrival. */
struct wait_key {
    std::uint8_t shallowness = 0; ///< 255 less the depth.
    clock_ms deadline;
    std::uint64_t sequence = 0; ///< Number of the arrival.

    auto operator<=>(const wait_key &) const = default;
};

/** A call that waits. */
struct waiting_call {
    gate_call call;
    clock_ms since; ///< When it arrived.
};

/**
 * Smoothed slot time of a class and its mean deviation, as TCP estimates round trips (Jacobson, SIGCOMM 1988), but
 * window by window: the more samples a window has, the more it counts.
 */
class service_estimate
{
public:
    /** Adds one measured slot time in milliseconds. */
    void add(double sample);

    /**
     * Takes in the samples of a window.
     * @param isIdle Whether the class had no call at work. Then an estimate without samples loses its trust: its
     * deviation widens, so that an outdated one can't refuse a class for ever.
     */
    void closeWindow(bool isIdle);

    bool isKnown() const;

    double mean() const; ///< Milliseconds.

    /** @return A slot time that most calls need at least, in milliseconds. */
    double low() const;

private:
    double m_mean = 0; ///< Milliseconds.
    double m_deviation = 0; ///< Milliseconds.
    double m_sum = 0; ///< Of the window's samples, in milliseconds.
    double m_deviationSum = 0; ///< Of their distances from the mean, in milliseconds.
    std::uint32_t m_samples = 0; ///< Of the window.
    bool m_known = false;
};

/** One class of work inside a tier. */
struct work_class {
    std::string name;
    std::size_t tier = 0;
    std::map<wait_key, waiting_call> waiting;
    double pass = 0; ///< Virtual time of its next admission (stride scheduling, Waldspurger 1995).
    std::uint32_t inUse = 0; ///< Slots that its calls hold.
    clock_ms lastSeen;
    service_estimate service;
    std::uint32_t offered = 0; ///< Calls offered in the present window.
    double offeredRate = 0; ///< Smoothed, calls per millisecond.
    double admittedPart = 1; ///< Part of its roots that is admitted, 0 to 1.
};

/** One tier: its classes and its place among the other tiers. */
struct tier_state {
    std::vector<std::unique_ptr<work_class>> classes;
    std::size_t waiting = 0; ///< Calls of all its classes.
    double effort = 1; ///< Weight among the tiers that aren't protected.
    double pass = 0; ///< Virtual time of its next admission.
    double virtualTime = 0; ///< Virtual time of its classes.
    double newClassPart = 1; ///< admittedPart of a class that comes up.
};

/** Owns tiers and classes; bounded. Pointers to classes stay valid while a class waits or holds slots. */
class class_table
{
public:
    class_table();

    void setRanks(std::span<const rank_rule> ranks);

    /** Finds or adds the class of a call. */
    work_class &classOf(const gate_call &call, clock_ms now);

    tier_state &tier(std::size_t index);
    const tier_state &tier(std::size_t index) const;

    /** @return The least urgent rank of the policy, or the least urgent seen if there is none. */
    rank_id lastRank() const;

private:
    work_class &addClass(tier_state &owner, std::string_view name, std::size_t tierIndex);

    std::array<tier_state, tierCount> m_tiers;
    rank_id m_lastRank{0};
};

} // namespace cicadamux::detail
