/** @file gate_base.h The aggregate that decides which calls a backend server gets, and in which order. */

#pragma once

#include "admission/gate_type.h"
#include "policy/policy_type.h"

#include <memory>
#include <span>
#include <vector>

namespace cicadamux
{

/** Tunables of a gate; settings fill them in. */
struct gate_settings {
    bool enabled = true; ///< False admits everything; the `no-admission` baseline.
    std::uint32_t initialLimit = 16; ///< Concurrency limit before anything is learnt.
    std::uint32_t minLimit = 1;
    std::uint32_t maxLimit = 4096;
    std::uint32_t maxWaiting = 1024; ///< Calls in the queue.
    clock_ms maxWait{100}; ///< Longest wait of a call below the protected ranks that isn't late-ok.
};

/**
 * Admits calls to one backend server.
 *
 * Rule of order, asserted as invariant rank_order:
 * - Protected ranks are exact: while a protected call waits, no lesser call is admitted. A protected call is refused as
 *   `overloaded` only when every lesser call that waits was refused before it, and lesser arrivals are refused for
 *   100 ms after it. That holds against unprotected ranks and between two protected ranks.
 * - The ranks below the protected ones divide what is left by their effort, in slot time. Among them a less urgent call
 *   may be admitted while a more urgent one waits; when the queue is full, the rank that holds most of it for its
 *   effort loses first, and of two equal ones the less urgent.
 * - Classes of one rank share its part evenly. Inside a class deeper calls go first, then earlier deadlines, then
 *   earlier arrivals; refusals go the other way round.
 *
 * A late-ok call is never dropped for its deadline, its wait or its sub-level: only by a full queue, or with all lesser
 * work when a protected call is refused.
 * Sub-levels: under overload only a part of each class's roots is admitted at arrival, chosen by subLevelOf().
 *
 * Not thread-safe and without any I/O; the owner serializes the calls and passes the time in.
 * Decisions are appended to the `decisions` argument, possibly for calls other than the one passed in.
 */
class gate
{
public:
    explicit gate(const gate_settings &settings);
    ~gate();
    gate(const gate &) = delete;
    gate &operator=(const gate &) = delete;

    /** Puts a new list of ranks in force; waiting calls keep the rank they came with. */
    void setRanks(std::span<const rank_rule> ranks);

    /** Tells how many slots the backend server says it has: an upper bound for learning, never a reason to admit. */
    void setAnnouncedSlots(std::uint32_t slots);

    /** Decides on a call now, or keeps it waiting; then it is decided by a later call of any method. */
    void submit(const gate_call &call, clock_ms now, std::vector<gate_decision> &decisions);

    /** Gives back the slot of an admitted call. An unknown call is a violation of slot_accounting. */
    void finish(call_id call, work_end end, clock_ms now, std::vector<gate_decision> &decisions);

    /**
     * Takes a waiting call back because its caller went away.
     * @return Whether it was still waiting; then there is no decision on it.
     */
    bool withdraw(call_id call, clock_ms now, std::vector<gate_decision> &decisions);

    /** Drops what can no longer meet its deadline and moves the limit; called every few milliseconds. */
    void tick(clock_ms now, std::vector<gate_decision> &decisions);

    /** Refuses everything that waits, with one reason; for a planned stop or a backend server that is gone. */
    void refuseAll(outcome_reason reason, clock_ms now, std::vector<gate_decision> &decisions);

    gate_snapshot snapshot(clock_ms now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
