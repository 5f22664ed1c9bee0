/** @file class_table.cpp Tiers and classes of calls that a gate keeps state for. */

#include "admission/class_table_base.h"

#include <algorithm>
#include <cmath>

namespace cicadamux::detail
{

namespace
{
constexpr double historySamples = 8; ///< Weight of the earlier estimate, in samples, against the samples of one window.
constexpr double idleDeviationGain = 0.2; ///< Fraction of the mean added to the deviation in a window without samples.
constexpr double minEffort = 1e-6; ///< Lower bound of an effort, so that an effort of 0 causes no division by zero.
constexpr clock_ms classLifetime{10'000}; ///< A class unused for longer may be evicted.
constexpr std::string_view sharedClassName; ///< Name of the class that takes the calls of all classes beyond maxClassesPerTier.

bool isUnused(const work_class &candidate, clock_ms now)
{
    return candidate.waiting.empty() && candidate.inUse == 0 && now - candidate.lastSeen > classLifetime;
}
} // namespace

std::size_t tierOf(const gate_call &call)
{
    const std::size_t rank = std::min<std::size_t>(call.rank.value, maxRanks);
    return call.isProtected ? rank : firstUnprotectedTier + rank;
}

rank_id rankOfTier(std::size_t tier)
{
    return rank_id{static_cast<std::uint8_t>(tier % firstUnprotectedTier)};
}

void slot_time_estimate::add(double sample)
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

void slot_time_estimate::closeWindow(bool isIdle)
{
    if (m_samples > 0) {
        const double weight = m_samples / (m_samples + historySamples);
        m_mean += weight * (m_sum / m_samples - m_mean);
        m_deviation += weight * (m_deviationSum / m_samples - m_deviation);
    } else if (isIdle) {
        m_deviation = std::min(m_mean, m_deviation + idleDeviationGain * m_mean);
    }
    m_sum = 0;
    m_deviationSum = 0;
    m_samples = 0;
}

bool slot_time_estimate::isKnown() const
{
    return m_known;
}

double slot_time_estimate::mean() const
{
    return m_mean;
}

double slot_time_estimate::lowerBound() const
{
    return std::max(0.0, m_mean - m_deviation);
}

class_table::class_table() = default;

void class_table::setRanks(std::span<const rank_rule> ranks)
{
    const std::size_t count = std::min(ranks.size(), maxRanks);
    for (std::size_t rank = 0; rank < count; ++rank) {
        const double effort = std::max(ranks[rank].effort, minEffort);
        m_tiers[rank].effort = effort;
        m_tiers[firstUnprotectedTier + rank].effort = effort;
    }
    if (count > 0) {
        m_lastRank = rank_id{static_cast<std::uint8_t>(count - 1)};
    }
}

work_class &class_table::classOf(const gate_call &call, clock_ms now)
{
    const std::size_t index = tierOf(call);
    tier_state &tierState = m_tiers.at(index);
    m_lastRank = std::max(m_lastRank, rankOfTier(index));
    auto found = std::ranges::find_if(tierState.classes, [&](const auto &known) {
        return known->name == call.callClass;
    });
    if (found == tierState.classes.end() && tierState.classes.size() >= maxClassesPerTier) {
        std::erase_if(tierState.classes, [&](const auto &known) {
            return isUnused(*known, now);
        });
        found = tierState.classes.end();
    }
    const bool isFull = tierState.classes.size() >= maxClassesPerTier;
    if (found == tierState.classes.end() && isFull) {
        found = std::ranges::find_if(tierState.classes, [](const auto &known) {
            return known->name == sharedClassName;
        });
    }
    work_class &result = found != tierState.classes.end() ? **found : addClass(tierState, isFull ? sharedClassName : call.callClass, index);
    result.lastSeen = now;
    return result;
}

work_class &class_table::addClass(tier_state &tierState, std::string_view name, std::size_t tierIndex)
{
    auto added = std::make_unique<work_class>();
    added->name = name;
    added->tier = tierIndex;
    added->pass = tierState.virtualTime;
    added->admittedFraction = tierState.newClassAdmittedFraction;
    tierState.classes.push_back(std::move(added));
    return *tierState.classes.back();
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
