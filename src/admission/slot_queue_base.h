/** @file slot_queue_base.h Admission to a backend server that announces its number of slots. */

#pragma once

#include "admission/rate_limit_base.h"
#include "core/clock_type.h"
#include "core/id_type.h"
#include "request/outcome_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cicadamux
{

/** Parameters of a slot queue. */
struct slot_queue_settings {
    std::uint32_t reservedSlots = 1; ///< Slots kept free for health checks by other hosts.
    std::uint32_t maxWaiting = 512; ///< Maximum number of calls in the queue.
    double meanWeight = 0.05; ///< Smoothing weight of one call in the mean run time.
    clock_ms initialMeanRun{50}; ///< Mean run time before the first measurement.
    clock_ms minTimeLeft{5}; ///< A call with less time until its deadline isn't sent.
};

/** A call submitted to the queue. */
struct slot_request {
    call_id call; ///< Unique among the calls of this gate.
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    clock_ms deadline; ///< Point in time after which the answer is useless.
    clock_ms waitLimit; ///< Point in time until which the call may wait; then it is refused.
    std::uint32_t group = 0; ///< Calls of one kind; the groups of a rank share the slots.
};

/** Decision on a call. */
struct slot_decision {
    call_id call;
    bool admitted = false;
    outcome_reason reason = outcome_reason::none; ///< `none` if admitted.
    clock_ms waited; ///< Time spent in the queue.
    clock_ms retryAfter; ///< For a refusal: time until a slot is expected to be free.
};

struct slot_snapshot {
    std::uint32_t limit = 0; ///< Slots that may be in use; 0 while closed.
    std::uint32_t usableLimit = 0; ///< Slots that the server's rate can keep in use; the limit if it states none.
    std::uint32_t inUse = 0;
    std::uint32_t waiting = 0;
    clock_ms meanRun; ///< Mean time for which a call holds a slot.
    clock_ms noRoomFor; ///< Time until the server's rate has room for a new call; 0 if it has, or states none.
};

/**
 * Priority queue for the slots of one backend server. Ranks are served in strict order. Within a rank the next slot goes
 * to the group with the fewest slots in use (max-min fairness), so that a flood of one kind of call doesn't shut out the
 * others; within a group the earliest deadline goes first. A call that can't expect a slot before its wait limit is
 * refused on arrival. When the queue is full, the last call of the least urgent rank's longest group is refused. The
 * number of slots is known, so only the mean run time is estimated. A server may also bound the rate of its calls: then a
 * call needs both a free slot and its turn in the rate. Not thread-safe; does no I/O.
 */
class slot_queue
{
public:
    explicit slot_queue(const slot_queue_settings &settings);

    /** Opens the queue for a new backend server, or changes its number of slots. */
    void setSlots(std::uint32_t slots, clock_ms now, std::vector<slot_decision> &decisions);

    /** Bounds the calls admitted in a second, or lifts the bound. */
    void setRate(std::optional<double> perSecond, clock_ms now, std::vector<slot_decision> &decisions);

    /** Stops admission and refuses all waiting calls; slots in use are still counted. */
    void close(outcome_reason reason, clock_ms now, std::vector<slot_decision> &decisions);

    /** Decides on a call or queues it; the decision on a queued call comes from a later call of any method. */
    void submit(const slot_request &request, clock_ms now, std::vector<slot_decision> &decisions);

    /**
     * Releases the slot of a call.
     * @param wasRun Whether its time counts in the mean run time.
     */
    void finish(call_id call, bool wasRun, clock_ms now, std::vector<slot_decision> &decisions);

    /** Removes a waiting call. @return Whether it was still waiting. */
    bool withdraw(call_id call);

    /** Refuses calls past their wait limit or too close to their deadline. */
    void tick(clock_ms now, std::vector<slot_decision> &decisions);

    slot_snapshot snapshot(clock_ms now) const;

private:
    struct waiting_key {
        clock_ms deadline;
        std::uint64_t arrival = 0;

        auto operator<=>(const waiting_key &) const = default;
    };

    struct waiter {
        slot_request request;
        clock_ms since;
    };

    /** Where a waiting call is found. */
    struct waiting_place {
        std::uint32_t rank = 0;
        std::uint32_t group = 0;
        waiting_key key;
    };

    struct running_call {
        clock_ms admittedAt;
        std::uint32_t group = 0;
    };

    using group_queue = std::map<waiting_key, waiter>; ///< Never empty.
    using rank_queue = std::map<std::uint32_t, group_queue>; ///< By group; never empty.

    void admit(const slot_request &request, clock_ms since, clock_ms now, std::vector<slot_decision> &decisions);
    void refuse(const slot_request &request, clock_ms since, outcome_reason reason, clock_ms now, std::vector<slot_decision> &decisions);
    void dispatch(clock_ms now, std::vector<slot_decision> &decisions);
    void add(const waiting_place &place, const waiter &entry);
    waiter take(const waiting_place &place);
    waiting_place firstPlace() const;
    waiting_place lastPlace() const;
    std::uint32_t slotsInUse(std::uint32_t group) const;
    bool mayAdmit(clock_ms now) const;
    std::uint32_t usableLimit() const;
    clock_ms expectedWait(std::size_t ahead, clock_ms now) const;
    std::size_t countAhead(const waiting_place &place) const;

    slot_queue_settings m_settings;
    bool m_isOpen = false;
    outcome_reason m_closeReason = outcome_reason::no_upstream;
    std::uint32_t m_limit = 0;
    rate_limit m_rate;
    double m_meanRun; ///< Milliseconds.
    std::uint64_t m_arrivals = 0;
    std::map<std::uint32_t, rank_queue> m_waiting; ///< By rank.
    std::unordered_map<call_id, waiting_place> m_places; ///< Of the waiting calls.
    std::unordered_map<call_id, running_call> m_running; ///< Admitted calls.
    std::unordered_map<std::uint32_t, std::uint32_t> m_inUse; ///< Slots in use by group.
};

} // namespace cicadamux
