/** @file store_era.cpp Detects that the store has come back from an older copy. */

#include "store/store_era_base.h"

#include <charconv>

namespace cicadamux
{

namespace
{
constexpr std::uint64_t maxStep = 1'000; ///< Of two eras further apart, the higher one is a malformed value, which mustn't make all others outdated.
} // namespace

era_change store_era::observe(std::string_view text)
{
    std::uint64_t era = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), era);
    if (failure != std::errc() || end != text.data() + text.size() || m_current == era) {
        return era_change::none;
    }
    if (!m_current) {
        m_current = era;
        return era_change::none;
    }
    const bool isHigher = era > *m_current;
    const bool isFar = (isHigher ? era - *m_current : *m_current - era) > maxStep;
    if (isHigher == isFar) {
        return isFar ? era_change::none : era_change::outdated;
    }
    m_current = era;
    return era_change::restored;
}

std::optional<std::uint64_t> store_era::current() const
{
    return m_current;
}

} // namespace cicadamux
