/** @file running_calls_base.h Calls in execution at the backend server, matched with the calls that they make by deadline. */

#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"
#include "link/link_type.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace cicadamux
{

/** Runs that may have made a call. */
struct parent_match {
    std::vector<call_id> candidates; ///< Runs whose deadline matches; empty if there is none.
    double repeatWeight = 0; ///< Mean of the candidates: likelihood that the call counts as a repeat.

    /** @return Whether a run matches, possibly by chance. */
    bool isFound() const
    {
        return !candidates.empty();
    }
};

/**
 * A run is the execution of one call at the backend server. Calls that the backend server makes are matched with the runs
 * that made them: they inherit the deadline, so both expire at the same instant, within the delay of a message.
 * Not thread-safe.
 */
class running_calls
{
public:
    /** Adds a run. @param deadline Instant at which the call expires. */
    void add(call_id call, clock_ms deadline, double repeatWeight);

    void remove(call_id call);

    /** Finds the runs that may have made a call. @param deadline Instant at which the call expires. */
    parent_match find(clock_ms deadline) const;

    /** @return The mean weight of all runs, for a call that matches none. */
    double meanRepeatWeight() const;

    /** Records a lost call at each run that may have made it; it only matters for a run that fails itself. */
    void recordLostCall(const parent_match &parents, call_loss loss);

    /** @return Why a call of this run was lost, as far as is known; lack of capacity takes precedence over a failure. */
    call_loss lostCall(call_id call) const;

private:
    struct run {
        clock_ms deadline;
        double repeatWeight = 0;
        call_loss loss = call_loss::none;
    };

    std::unordered_map<call_id, run> m_runs;
    std::multimap<clock_ms, call_id> m_byDeadline;
};

} // namespace cicadamux
