/** @file data_center_history_base.h History of the known data centres, including those that can't be reached at present. */

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

constexpr std::size_t maxDataCenters = 256; ///< Data centres that are stored; further ones are ignored.
constexpr clock_ms dataCenterRetention{86'400'000}; ///< Time for which one is kept after its last daemon left the view.

/** Stores the data centres of the latest view and of recent ones, so that one that is cut off is still reported. Thread-safe. */
class data_center_history
{
public:
    /** Stores the data centres of a view; to be called with each new view. */
    void recordView(std::span<const member_record> view, clock_ms now);

    /** @return The names of the data centres in the latest view and of those that left it at most dataCenterRetention ago. */
    std::vector<std::string> names(clock_ms now) const;

private:
    struct presence {
        clock_ms lastSeen; ///< When it was last in the view.
        bool isPresent = false; ///< Whether it is in the latest view.
    };

    mutable std::mutex m_mutex;
    std::map<std::string, presence> m_dataCenters; ///< By name.
};

} // namespace cicadamux
