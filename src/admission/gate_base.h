/** @file gate_base.h Admission control of one backend server: decides which calls it gets, and in which order. */

#pragma once

#include "admission/gate_type.h"
#include "policy/policy_type.h"

#include <memory>
#include <span>
#include <vector>

namespace cicadamux
{

/** Parameters of a gate, taken from the settings. */
struct gate_settings {
    bool enabled = true; ///< False admits every call at once; the `no-admission` baseline.
    std::uint32_t initialLimit = 16; ///< Concurrency limit before the first measurement.
    std::uint32_t minLimit = 1;
    std::uint32_t maxLimit = 4096;
    std::uint32_t maxWaiting = 1024; ///< Maximum number of calls in the queue.
    clock_ms maxWait{100}; ///< Maximum time in the queue for an unprotected call that isn't late-ok.
};

/**
 * Admits calls to one backend server.
 *
 * Priority order, asserted as invariant rank_order:
 * - Protected ranks have strict priority: while a protected call waits, no less urgent call is admitted. A protected
 *   call is refused as `overloaded` only after all waiting calls less urgent than it were refused, and less urgent
 *   arrivals are refused for 100 ms after it. This holds against unprotected ranks and between two protected ranks.
 * - The unprotected ranks share the remaining slot time in proportion to their effort. Among them a less urgent call
 *   may be admitted while a more urgent one waits. When the queue is full, calls are refused first from the rank with
 *   the most waiting calls relative to its effort, and of two equal ranks from the less urgent.
 * - The classes of one rank share its slot time evenly. Inside a class calls are admitted by greatest depth, then
 *   earliest deadline, then first arrival, and refused in the opposite order.
 *
 * A late-ok call is never refused for its deadline, its waiting time or its sub-level, but only when the queue is full,
 * or together with all less urgent calls when a protected call is refused.
 * Sub-levels: under overload only a fraction of each class's roots is admitted at arrival, chosen by subLevelOf().
 *
 * Not thread-safe and does no I/O; the owner serializes the calls and passes in the time.
 * Decisions are appended to the `decisions` argument, possibly for calls other than the one passed in.
 */
class gate
{
public:
    explicit gate(const gate_settings &settings);
    ~gate();
    gate(const gate &) = delete;
    gate &operator=(const gate &) = delete;

    /** Replaces the list of ranks; waiting calls keep the rank they were submitted with. */
    void setRanks(std::span<const rank_rule> ranks);

    /** Sets the number of slots that the backend server announces: an upper bound of the concurrency limit, never a reason to admit. */
    void setAnnouncedSlots(std::uint32_t slots);

    /** Decides on a call or queues it; the decision on a queued call comes from a later call of any method. */
    void submit(const gate_call &call, clock_ms now, std::vector<gate_decision> &decisions);

    /** Releases the slot of an admitted call. An unknown call violates invariant slot_accounting. */
    void finish(call_id call, work_end end, clock_ms now, std::vector<gate_decision> &decisions);

    /**
     * Removes a waiting call whose caller is gone.
     * @return Whether it was still waiting; then there is no decision on it.
     */
    bool withdraw(call_id call, clock_ms now, std::vector<gate_decision> &decisions);

    /** Refuses waiting calls that can no longer meet their deadline and updates the limit; called every few milliseconds. */
    void tick(clock_ms now, std::vector<gate_decision> &decisions);

    /** Refuses all waiting calls with one reason, for a planned stop or when the backend server is gone. */
    void refuseAll(outcome_reason reason, clock_ms now, std::vector<gate_decision> &decisions);

    gate_snapshot snapshot(clock_ms now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
