/** @file overload_level.cpp Which roots a gate admits of each class under overload. */

#include "admission/overload_level_base.h"

#include "admission/share_func.h"

#include <algorithm>
#include <cmath>

namespace cicadamux::detail
{

namespace
{
constexpr clock_ms windowLength{100};
constexpr double rateKept = 0.5; ///< Weight of the past in a rate after one window.
constexpr double leastRate = 1e-5; ///< Calls per millisecond; a lower rate counts as none.
constexpr double leastCost = 0.1; ///< Slot time of a call in milliseconds at least.
constexpr double headroom = 1.1; ///< Correction allowed beyond the present demand while nothing is refused.
constexpr double leastTarget = 5; ///< Accepted wait in milliseconds.
constexpr double targetPart = 0.2; ///< Accepted wait as a part of the mean slot time.
} // namespace

overload_level::overload_level(class_table &classes)
    : m_classes(classes)
{
}

void overload_level::offered(work_class &owner)
{
    ++owner.offered;
}

void overload_level::measured(work_class &owner, double slotTime)
{
    owner.service.add(slotTime);
    m_anyService.add(slotTime);
}

void overload_level::admitted(const work_class &owner, clock_ms waited)
{
    const bool isProtected = owner.tier < firstLesserTier;
    queue_pressure &pressure = isProtected ? m_protected : m_all;
    pressure.admitted(waited);
}

void overload_level::refusedWaiting(const work_class &owner)
{
    m_all.refused();
    if (owner.tier < firstLesserTier) {
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
    const double busyPart = std::min(1.0, m_inUse.restart(now) / limit);
    const double mostTarget = std::max(leastTarget, static_cast<double>(maxWait.count) / 2);
    const double target = std::clamp(m_anyService.mean() * targetPart, leastTarget, mostTarget);
    m_all.closeWindow(target, 1 - busyPart);
    m_protected.closeWindow(target, 1 - busyPart);
    m_anyService.closeWindow(false);
    updateRates(elapsed);
    divideSlots(limit);
    m_level = findLevel();
    m_isRefusing = m_level.rank != m_classes.lastRank() || m_level.subLevel < subLevelCount;
}

bool overload_level::refuses(const work_class &owner, root_id root) const
{
    return owner.admittedPart < 1 && subLevelOf(root) >= subLevelFor(owner.admittedPart);
}

gate_level overload_level::level() const
{
    if (m_isRefusing) {
        return m_level;
    }
    return {m_classes.lastRank(), subLevelCount};
}

std::uint16_t overload_level::subLevelFor(double admittedPart)
{
    return static_cast<std::uint16_t>(std::ceil(admittedPart * subLevelCount));
}

double overload_level::costOf(const work_class &owner) const
{
    const service_estimate &known = owner.service.isKnown() ? owner.service : m_anyService;
    return std::max(leastCost, known.mean());
}

double overload_level::demandOf(const tier_state &tier) const
{
    double demand = 0;
    for (const auto &owner : tier.classes) {
        demand += owner->offeredRate * costOf(*owner);
    }
    return demand;
}

void overload_level::updateRates(double elapsed)
{
    const double kept = std::pow(rateKept, elapsed / static_cast<double>(windowLength.count));
    for (std::size_t index = 0; index < tierCount; ++index) {
        for (const auto &owner : m_classes.tier(index).classes) {
            const double rate = owner->offered / elapsed;
            owner->offeredRate = kept * owner->offeredRate + (1 - kept) * rate;
            if (owner->offeredRate < leastRate) {
                owner->offeredRate = 0;
            }
            owner->offered = 0;
            owner->service.closeWindow(owner->inUse == 0);
        }
    }
}

void overload_level::divideSlots(double slots)
{
    const double protectedDemand = divideProtected(slots * m_protected.correction());
    const bool isProtectedCut = protectedDemand > slots * m_protected.correction();
    double lesserDemand = 0;
    for (std::size_t index = firstLesserTier; index < tierCount; ++index) {
        lesserDemand += demandOf(m_classes.tier(index));
    }
    const double left = isProtectedCut ? 0 : std::max(0.0, slots * m_all.correction() - protectedDemand);
    divideLesser(left);
    if (!isProtectedCut) {
        m_protected.capCorrection(headroom * std::max(1.0, protectedDemand / slots));
    }
    if (lesserDemand <= left) {
        m_all.capCorrection(headroom * std::max(1.0, (protectedDemand + lesserDemand) / slots));
    }
}

double overload_level::divideProtected(double slots)
{
    double total = 0;
    for (std::size_t index = 0; index < firstLesserTier; ++index) {
        tier_state &tier = m_classes.tier(index);
        const double demand = demandOf(tier);
        const double given = std::min(demand, std::max(0.0, slots - total));
        total += demand;
        divideAmongClasses(tier, given, slots - total);
    }
    return total;
}

void overload_level::divideLesser(double capacity)
{
    std::vector<share_claim> claims;
    for (std::size_t index = firstLesserTier; index < tierCount; ++index) {
        const tier_state &tier = m_classes.tier(index);
        claims.push_back({demandOf(tier), tier.effort});
    }
    const std::vector<double> given = divideCapacity(capacity, claims);
    for (std::size_t index = firstLesserTier; index < tierCount; ++index) {
        divideAmongClasses(m_classes.tier(index), given[index - firstLesserTier], capacity);
    }
}

void overload_level::divideAmongClasses(tier_state &tier, double capacity, double left)
{
    tier.newClassPart = left > 0 ? 1 : 0;
    std::vector<share_claim> claims;
    for (const auto &owner : tier.classes) {
        claims.push_back({owner->offeredRate * costOf(*owner), 1});
    }
    const std::vector<double> given = divideCapacity(capacity, claims);
    for (std::size_t index = 0; index < claims.size(); ++index) {
        const double demand = claims[index].demand;
        tier.classes[index]->admittedPart = demand > 0 ? std::min(1.0, given[index] / demand) : tier.newClassPart;
    }
}

gate_level overload_level::findLevel() const
{
    const std::size_t lastRank = m_classes.lastRank().value;
    for (std::size_t index = firstLesserTier + lastRank + 1; index-- > 0;) {
        if (rankOfTier(index).value > lastRank) {
            continue;
        }
        const tier_state &tier = m_classes.tier(index);
        double part = 0;
        bool isOffered = false;
        for (const auto &owner : tier.classes) {
            if (owner->offeredRate > 0) {
                part = std::max(part, owner->admittedPart);
                isOffered = true;
            }
        }
        part = isOffered ? part : tier.newClassPart;
        if (part > 0) {
            return {rankOfTier(index), subLevelFor(part)};
        }
    }
    return {rank_id{0}, 0};
}

} // namespace cicadamux::detail
