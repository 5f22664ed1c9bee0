/** @file level_board_base.h What a daemon has heard of other gates' levels, for refusing lesser work early. */

#pragma once

#include "admission/gate_type.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/** One gate's level, as heard. */
struct heard_level {
    std::string service;
    std::string host; ///< Host of the gate.
    gate_level level;
    clock_ms age; ///< How old it was when it arrived.
};

/** Result of asking whether a request is bound to fail. */
struct early_refusal {
    bool refused = false;
    std::string service; ///< Service whose gates all refuse such work.
    int rankAdmitted = noRankAdmitted; ///< Least urgent rank admitted there.
};

/** Thread-safe; entries expire and their number is bounded. */
class level_board
{
public:
    level_board();
    ~level_board();
    level_board(const level_board &) = delete;
    level_board &operator=(const level_board &) = delete;

    /** Keeps what an answer carried. A younger entry is never replaced by an older one. */
    void note(const heard_level &heard, clock_ms now);

    /**
     * Tells whether lesser work is bound to be refused at one of the services that it passes through.
     * Never refuses protected work, and lets a small part of refused roots through as probes.
     * Not to be asked for late-ok calls: gates exempt them from their levels.
     */
    early_refusal check(std::span<const std::string> services, rank_id rank, root_id root, bool isProtected, clock_ms now) const;

    /** @return The levels that are still believed, the youngest for each gate, for passing on to callers. */
    std::vector<heard_level> known(clock_ms now, std::size_t most) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
