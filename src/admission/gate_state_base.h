/** @file gate_state_base.h Internal state of a gate and the steps on it. */

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
    detail::work_class *workClass = nullptr;
    clock_ms since; ///< When it was admitted.
};

/** The most urgent tier that was lately refused for lack of capacity, and until when less urgent ones stay closed. */
struct closed_tier {
    std::size_t tier = detail::tierCount; ///< Less urgent tiers are refused.
    clock_ms until;
};

struct gate::state {
    explicit state(const gate_settings &initial);

    /** Advances the time: ends measurement windows and refuses expired calls. */
    void advance(clock_ms now, std::vector<gate_decision> &decisions);

    /** Refuses the expired calls in the queue. */
    void sweep(clock_ms now, std::vector<gate_decision> &decisions);

    /** Passes the state after a command to the limit and the overload level. */
    void observe(clock_ms now);

    /** Admits waiting calls in order while slots are free. */
    void dispatch(clock_ms now, std::vector<gate_decision> &decisions);

    /** Refuses waiting calls until the queue is within its maximum. */
    void enforceQueueLimit(clock_ms now, std::vector<gate_decision> &decisions);

    void admit(const gate_call &call, detail::work_class &workClass, clock_ms since, clock_ms now, std::vector<gate_decision> &decisions);

    /** Refuses a waiting call that exceeded its maximum wait or can't meet its deadline. */
    void refuseExpired(const detail::taken_call &taken, clock_ms now, std::vector<gate_decision> &decisions);
    void refuse(const gate_call &call, clock_ms since, outcome_reason reason, clock_ms now, std::vector<gate_decision> &decisions);

    /** Refuses a call for lack of capacity; if it is protected, refuses all less urgent waiting calls first. */
    void refuseForCapacity(const gate_call &call, std::size_t tier, clock_ms since, clock_ms now, std::vector<gate_decision> &decisions);

    /** Refuses all waiting calls of less urgent tiers and closes these tiers for closeDuration. */
    void closeBelow(std::size_t tier, clock_ms now, std::vector<gate_decision> &decisions);

    /** @return Whether the call can't meet its deadline even if admitted now. */
    bool isTooLate(const gate_call &call, const detail::work_class &workClass, clock_ms now) const;

    /** @return Whether the call waited longer than its rank allows. */
    bool exceedsMaxWait(const detail::waiting_call &waiter, clock_ms now) const;

    /** @return Whether the level refuses the call at its arrival. */
    bool isRefusedByLevel(const gate_call &call, const detail::work_class &workClass) const;

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
    clock_ms now; ///< Latest time passed in.
    clock_ms sweptAt;
};

} // namespace cicadamux
