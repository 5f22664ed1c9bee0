/** @file overload_level.cpp Fraction of the roots of each class that a gate admits under overload. */

#include "admission/overload_level_base.h"

#include "admission/share_func.h"

#include <algorithm>
#include <cmath>

namespace cicadamux::detail
{

namespace
{
constexpr clock_ms windowLength{100};
constexpr double historyWeight = 0.5; ///< Weight of the earlier value in a smoothed rate, per window.
constexpr double minRate = 1e-5; ///< Calls per millisecond; a lower rate counts as 0.
constexpr double minCostMs = 0.1; ///< Lower bound of the slot time of a call.
constexpr double correctionHeadroom
    = 1.1; ///< Maximum ratio of the corrected capacity to the slots or the demand, whichever is greater, while nothing is refused.
constexpr double minTargetWaitMs = 5; ///< Lower bound of the accepted queueing time.
constexpr double targetWaitFraction = 0.2; ///< Accepted queueing time as a fraction of the mean slot time.
} // namespace

overload_level::overload_level(class_table &classes)
    : m_classes(classes)
{
}

void overload_level::offered(work_class &workClass)
{
    ++workClass.offered;
}

void overload_level::measured(work_class &workClass, double slotTime)
{
    workClass.slotTime.add(slotTime);
    m_overallSlotTime.add(slotTime);
}

void overload_level::admitted(const work_class &workClass, clock_ms waited)
{
    const bool isProtected = workClass.tier < firstUnprotectedTier;
    queue_pressure &pressure = isProtected ? m_protected : m_all;
    pressure.admitted(waited);
}

void overload_level::refusedWaiting(const work_class &workClass)
{
    m_all.refused();
    if (workClass.tier < firstUnprotectedTier) {
        m_protected.refused();
    }
}

void overload_level::observe(std::size_t strictWaiting, std::size_t protectedWaiting, std::size_t inUse, clock_ms now)
{
    m_all.observe(strictWaiting);
    m_protected.observe(protectedWaiting);
    m_inUse.set(static_cast<double>(inUse), now);
}

void overload_level::advance(std::uint32_t limit, clock_ms maxWait, clock_ms now)
{
    if (now - m_windowStart < windowLength) {
        return;
    }
    const auto elapsed = static_cast<double>((now - m_windowStart).count);
    m_windowStart = now;
    const double busyFraction = std::min(1.0, m_inUse.restart(now) / limit);
    const double maxTargetWait = std::max(minTargetWaitMs, static_cast<double>(maxWait.count) / 2);
    const double target = std::clamp(m_overallSlotTime.mean() * targetWaitFraction, minTargetWaitMs, maxTargetWait);
    m_all.closeWindow(target, 1 - busyFraction);
    m_protected.closeWindow(target, 1 - busyFraction);
    m_overallSlotTime.closeWindow(false);
    updateRates(elapsed);
    divideSlots(limit);
    m_level = findLevel();
    m_isRefusing = m_level.rank != m_classes.lastRank() || m_level.subLevel < subLevelCount;
}

bool overload_level::refuses(const work_class &workClass, root_id root) const
{
    return workClass.admittedFraction < 1 && subLevelOf(root) >= subLevelFor(workClass.admittedFraction);
}

gate_level overload_level::level() const
{
    if (m_isRefusing) {
        return m_level;
    }
    return {m_classes.lastRank(), subLevelCount};
}

std::uint16_t overload_level::subLevelFor(double admittedFraction)
{
    return static_cast<std::uint16_t>(std::ceil(admittedFraction * subLevelCount));
}

double overload_level::costOf(const work_class &workClass) const
{
    const slot_time_estimate &known = workClass.slotTime.isKnown() ? workClass.slotTime : m_overallSlotTime;
    return std::max(minCostMs, known.mean());
}

double overload_level::demandOf(const tier_state &tier) const
{
    double demand = 0;
    for (const auto &workClass : tier.classes) {
        demand += workClass->offeredRate * costOf(*workClass);
    }
    return demand;
}

void overload_level::updateRates(double elapsed)
{
    const double historyShare = std::pow(historyWeight, elapsed / static_cast<double>(windowLength.count));
    for (std::size_t index = 0; index < tierCount; ++index) {
        for (const auto &workClass : m_classes.tier(index).classes) {
            const double rate = workClass->offered / elapsed;
            workClass->offeredRate = historyShare * workClass->offeredRate + (1 - historyShare) * rate;
            if (workClass->offeredRate < minRate) {
                workClass->offeredRate = 0;
            }
            workClass->offered = 0;
            workClass->slotTime.closeWindow(workClass->inUse == 0);
        }
    }
}

void overload_level::divideSlots(double slots)
{
    const double protectedDemand = divideAmongProtected(slots * m_protected.correction());
    const bool isProtectedCut = protectedDemand > slots * m_protected.correction();
    double unprotectedDemand = 0;
    for (std::size_t index = firstUnprotectedTier; index < tierCount; ++index) {
        unprotectedDemand += demandOf(m_classes.tier(index));
    }
    const double left = isProtectedCut ? 0 : std::max(0.0, slots * m_all.correction() - protectedDemand);
    divideAmongUnprotected(left);
    if (!isProtectedCut) {
        m_protected.capCorrection(correctionHeadroom * std::max(1.0, protectedDemand / slots));
    }
    if (unprotectedDemand <= left) {
        m_all.capCorrection(correctionHeadroom * std::max(1.0, (protectedDemand + unprotectedDemand) / slots));
    }
}

double overload_level::divideAmongProtected(double slots)
{
    double total = 0;
    for (std::size_t index = 0; index < firstUnprotectedTier; ++index) {
        tier_state &tier = m_classes.tier(index);
        const double demand = demandOf(tier);
        const double allocated = std::min(demand, std::max(0.0, slots - total));
        total += demand;
        divideAmongClasses(tier, allocated, slots - total);
    }
    return total;
}

void overload_level::divideAmongUnprotected(double capacity)
{
    std::vector<share_claim> claims;
    for (std::size_t index = firstUnprotectedTier; index < tierCount; ++index) {
        const tier_state &tier = m_classes.tier(index);
        claims.push_back({demandOf(tier), tier.effort});
    }
    const std::vector<double> allocated = divideCapacity(capacity, claims);
    for (std::size_t index = firstUnprotectedTier; index < tierCount; ++index) {
        divideAmongClasses(m_classes.tier(index), allocated[index - firstUnprotectedTier], capacity);
    }
}

void overload_level::divideAmongClasses(tier_state &tier, double capacity, double left)
{
    tier.newClassAdmittedFraction = left > 0 ? 1 : 0;
    std::vector<share_claim> claims;
    for (const auto &workClass : tier.classes) {
        claims.push_back({workClass->offeredRate * costOf(*workClass), 1});
    }
    const std::vector<double> allocated = divideCapacity(capacity, claims);
    for (std::size_t index = 0; index < claims.size(); ++index) {
        const double demand = claims[index].demand;
        tier.classes[index]->admittedFraction = demand > 0 ? std::min(1.0, allocated[index] / demand) : tier.newClassAdmittedFraction;
    }
}

gate_level overload_level::findLevel() const
{
    const std::size_t lastRank = m_classes.lastRank().value;
    for (std::size_t index = firstUnprotectedTier + lastRank + 1; index-- > 0;) {
        if (rankOfTier(index).value > lastRank) {
            continue;
        }
        const tier_state &tier = m_classes.tier(index);
        double part = 0;
        bool isOffered = false;
        for (const auto &workClass : tier.classes) {
            if (workClass->offeredRate > 0) {
                part = std::max(part, workClass->admittedFraction);
                isOffered = true;
            }
        }
        part = isOffered ? part : tier.newClassAdmittedFraction;
        if (part > 0) {
            return {rankOfTier(index), subLevelFor(part)};
        }
    }
    return {rank_id{0}, 0};
}

} // namespace cicadamux::detail
