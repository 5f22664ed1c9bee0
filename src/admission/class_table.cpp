/** @file class_table.cpp The classes of work that a gate knows. */

#include "admission/class_table_base.h"

#include <algorithm>
#include <cmath>

namespace cicadamux::detail
{

namespace
{
constexpr double pastSamples = 8; ///< Samples that the past counts for beside those of a window.
constexpr double trustLost = 0.2; ///< Part of the mean that the deviation gains in a window without samples.
constexpr double leastEffort = 1e-6; ///< Stands in for an effort of 0.
constexpr clock_ms classLifetime{10'000}; ///< A class unused for longer makes room for others.
constexpr std::string_view sharedClassName; ///< Name of the class that takes what finds no room.

bool isUnused(const work_class &candidate, clock_ms now)
{
    return candidate.waiting.empty() && candidate.inUse == 0 && now - candidate.lastSeen > classLifetime;
}
} // namespace

std::size_t tierOf(const gate_call &call)
{
    const std::size_t rank = std::min<std::size_t>(call.rank.value, maxRanks);
    return call.isProtected ? rank : firstLesserTier + rank;
}

rank_id rankOfTier(std::size_t tier)
{
    return rank_id{static_cast<std::uint8_t>(tier % firstLesserTier)};
}

void service_estimate::add(double sample)
{
    if (!m_known) {
        m_mean = sample;
        m_deviation = sample / 2;
        m_known = true;
    }
    m_sum += sample;
    m_deviationSum += std::abs(sample - m_mean);
    ++m_samples;
}

void service_estimate::closeWindow(bool isIdle)
{
    if (m_samples > 0) {
        const double weight = m_samples / (m_samples + pastSamples);
        m_mean += weight * (m_sum / m_samples - m_mean);
        m_deviation += weight * (m_deviationSum / m_samples - m_deviation);
    } else if (isIdle) {
        m_deviation = std::min(m_mean, m_deviation + trustLost * m_mean);
    }
    m_sum = 0;
    m_deviationSum = 0;
    m_samples = 0;
}

bool service_estimate::isKnown() const
{
    return m_known;
}

double service_estimate::mean() const
{
    return m_mean;
}

double service_estimate::low() const
{
    return std::max(0.0, m_mean - m_deviation);
}

class_table::class_table() = default;

void class_table::setRanks(std::span<const rank_rule> ranks)
{
    const std::size_t count = std::min(ranks.size(), maxRanks);
    for (std::size_t rank = 0; rank < count; ++rank) {
        const double effort = std::max(ranks[rank].effort, leastEffort);
        m_tiers[rank].effort = effort;
        m_tiers[firstLesserTier + rank].effort = effort;
    }
    if (count > 0) {
        m_lastRank = rank_id{static_cast<std::uint8_t>(count - 1)};
    }
}

work_class &class_table::classOf(const gate_call &call, clock_ms now)
{
    const std::size_t index = tierOf(call);
    tier_state &owner = m_tiers.at(index);
    m_lastRank = std::max(m_lastRank, rankOfTier(index));
    auto found = std::ranges::find_if(owner.classes, [&](const auto &known) {
        return known->name == call.callClass;
    });
    if (found == owner.classes.end() && owner.classes.size() >= maxClassesPerTier) {
        std::erase_if(owner.classes, [&](const auto &known) {
            return isUnused(*known, now);
        });
        found = owner.classes.end();
    }
    const bool isFull = owner.classes.size() >= maxClassesPerTier;
    if (found == owner.classes.end() && isFull) {
        found = std::ranges::find_if(owner.classes, [](const auto &known) {
            return known->name == sharedClassName;
        });
    }
    work_class &result = found != owner.classes.end() ? **found : addClass(owner, isFull ? sharedClassName : call.callClass, index);
    result.lastSeen = now;
    return result;
}

work_class &class_table::addClass(tier_state &owner, std::string_view name, std::size_t tierIndex)
{
    auto added = std::make_unique<work_class>();
    added->name = name;
    added->tier = tierIndex;
    added->pass = owner.virtualTime;
    added->admittedPart = owner.newClassPart;
    owner.classes.push_back(std::move(added));
    return *owner.classes.back();
}

tier_state &class_table::tier(std::size_t index)
{
    return m_tiers.at(index);
}

const tier_state &class_table::tier(std::size_t index) const
{
    return m_tiers.at(index);
}

rank_id class_table::lastRank() const
{
    return m_lastRank;
}

} // namespace cicadamux::detail
