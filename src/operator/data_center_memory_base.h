/** @file data_center_memory_base.h Which data centres there are, also while they can't be reached. */

#pragma once

#include "core/clock_type.h"
#include "membership/member_type.h"

#include <map>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace cicadamux
{

constexpr std::size_t maxDataCenters = 256; ///< Remembered; further ones are left out.
constexpr clock_ms dataCenterMemory{86'400'000}; ///< How long one is remembered after its last daemon left the view.

/** Remembers the data centres of all views that it was told. Thread-safe. */
class data_center_memory
{
public:
    /** Takes in a view; called with each new one. */
    void note(std::span<const member_record> view, clock_ms now);

    /** @return The names of the data centres in the latest view, and of those that left it within dataCenterMemory. */
    std::vector<std::string> names(clock_ms now) const;

private:
    struct sighting {
        clock_ms last; ///< When it was last known to be in the view.
        bool isPresent = false; ///< In the latest view.
    };

    mutable std::mutex m_mutex;
    std::map<std::string, sighting> m_seen;
};

} // namespace cicadamux
