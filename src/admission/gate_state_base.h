/** @file gate_state_base.h The parts of a gate and the steps that they share. */

#pragma once

#include "admission/class_table_base.h"
#include "admission/concurrency_limit_base.h"
#include "admission/gate_base.h"
#include "admission/overload_level_base.h"
#include "admission/wait_queue_base.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace cicadamux
{

/** A call that holds a slot. */
struct admitted_call {
    detail::work_class *owner = nullptr;
    clock_ms since; ///< When it was admitted.
};

/** The most urgent rank that was refused for want of capacity, and for how long lesser ones stay refused. */
struct closed_tier {
    std::size_t tier = detail::tierCount; ///< Tiers beyond this one are refused.
    clock_ms until;
};

struct gate::state {
    explicit state(const gate_settings &initial);

    /** Takes the time in: closes windows of measurement and drops what waited too long. */
    void advance(clock_ms now, std::vector<gate_decision> &decisions);

    /** Drops what waited too long. */
    void sweep(clock_ms now, std::vector<gate_decision> &decisions);

    /** Shows the state after a command to what is learnt from it. */
    void observe(clock_ms now);

    /** Admits what may go, in order. */
    void dispatch(clock_ms now, std::vector<gate_decision> &decisions);

    /** Refuses from the end of the queue until it fits. */
    void trimQueue(clock_ms now, std::vector<gate_decision> &decisions);

    void admit(const gate_call &call, detail::work_class &owner, clock_ms since, clock_ms now, std::vector<gate_decision> &decisions);

    /** Refuses a waiting call that is too old. */
    void drop(const detail::taken_call &taken, clock_ms now, std::vector<gate_decision> &decisions);
    void refuse(const gate_call &call, clock_ms since, outcome_reason reason, clock_ms now, std::vector<gate_decision> &decisions);

    /** Refuses a call for want of capacity, all lesser ones that wait before it if it is protected. */
    void refuseByRank(const gate_call &call, std::size_t tier, clock_ms since, clock_ms now, std::vector<gate_decision> &decisions);

    /** Refuses all that waits in tiers less urgent than the one given, and keeps them closed for a while. */
    void closeBelow(std::size_t tier, clock_ms now, std::vector<gate_decision> &decisions);

    /** @return Whether the deadline is out of reach. */
    bool isTooLate(const gate_call &call, const detail::work_class &owner, clock_ms now) const;

    /** @return Whether the call waited longer than calls of its rank may. */
    bool hasWaitedOut(const detail::waiting_call &waiter, clock_ms now) const;

    /** @return Whether the level refuses the call at its arrival. */
    bool isBelowLevel(const gate_call &call, const detail::work_class &owner) const;

    bool isClosed(std::size_t tier, clock_ms now) const;
    gate_level level(clock_ms now) const;
    int rankAdmitted(clock_ms now) const;

    gate_settings settings;
    detail::class_table classes;
    detail::wait_queue queue;
    detail::concurrency_limit limit;
    detail::overload_level overload;
    boost::unordered_flat_map<call_id, admitted_call, std::hash<call_id>> admitted;
    closed_tier closed;
    clock_ms now; ///< Latest instant seen.
    clock_ms sweptAt;
};

} // namespace cicadamux
