/** @file level_cache_base.h Cache of the admission levels of other gates, for refusing unprotected calls early. */

#pragma once

#include "admission/gate_type.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/** Admission level of one gate, as received from another host. */
struct received_level {
    std::string service;
    std::string host; ///< Host of the gate.
    gate_level level;
    clock_ms age; ///< Time since the measurement, on arrival.
};

/** Result of the check for early refusal. */
struct early_refusal {
    bool refused = false;
    std::string service; ///< Service whose gates all refuse such calls.
    int rankAdmitted = noRankAdmitted; ///< Least urgent rank admitted by that service.
};

/** Keeps the latest known level of each gate. Thread-safe; entries expire and their number is bounded. */
class level_cache
{
public:
    level_cache();
    ~level_cache();
    level_cache(const level_cache &) = delete;
    level_cache &operator=(const level_cache &) = delete;

    /** Records a level that an answer carried. An entry is never replaced by an older measurement. */
    void record(const received_level &received, clock_ms now);

    /**
     * Tells whether a call would be refused at one of the services that it passes through.
     * Never refuses protected calls, and lets a small fraction of the refused roots through as probes.
     * Must not be used for late-ok calls: gates exempt them from their levels.
     */
    early_refusal check(std::span<const std::string> services, rank_id rank, root_id root, bool isProtected, clock_ms now) const;

    /** @return Up to `maxCount` levels that haven't expired, latest first, for passing on to callers. */
    std::vector<received_level> currentLevels(clock_ms now, std::size_t maxCount) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
