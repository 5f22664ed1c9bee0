/** @file store_era_base.h Detects that the store has come back from an older copy. */

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cicadamux
{

/** What an answer's era says about the store. */
enum class era_change : std::uint8_t {
    none, ///< The era of earlier answers, or no readable one.
    restored, ///< The store has come back from a copy since: contents and revisions are older, and will be given out again.
    outdated ///< The answer was made before the store came back.
};

/** Follows the era in the store's answers, which rises by one each time it comes back from a copy. Not thread-safe. */
class store_era
{
public:
    /** @param text The era as in the answer; empty if it has none. */
    era_change observe(std::string_view text);

    /** @return The newest era; nothing before the first. */
    std::optional<std::uint64_t> current() const;

private:
    std::optional<std::uint64_t> m_current;
};

} // namespace cicadamux
