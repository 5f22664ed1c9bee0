/** @file wait_queue_base.h Queue of the calls that wait at a gate, with the orders of admission and refusal. */

#pragma once

#include "admission/class_table_base.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <functional>
#include <optional>

namespace cicadamux::detail
{

/** A call removed from the queue. */
struct taken_call {
    waiting_call waiter;
    work_class *workClass = nullptr;
};

/**
 * Order of admission: protected tiers strictly by rank. The unprotected tiers share the remaining slot time in
 * proportion to effort, and the classes of a tier share its slot time evenly, both by stride scheduling (Waldspurger and
 * Weihl, 1995).
 * Order of refusal: first the unprotected tier with the most waiting calls relative to its effort, without any the least
 * urgent protected tier; in the tier the class with the most waiting calls, and in the class its last call.
 */
class wait_queue
{
public:
    explicit wait_queue(class_table &classes);

    void push(const gate_call &call, work_class &workClass, clock_ms now);

    /** Removes the call that is admitted next, without charging its class. */
    std::optional<taken_call> takeNext();

    /** Removes the call that is refused next when the queue is full. */
    std::optional<taken_call> takeNextToRefuse();

    /** Removes the given call. */
    std::optional<taken_call> take(call_id call);

    /** Removes all calls for which `wanted` holds, in unspecified order. */
    std::vector<taken_call> takeIf(const std::function<bool(const waiting_call &, const work_class &)> &wanted);

    /** Removes all calls of tiers less urgent than the given one. */
    std::vector<taken_call> takeBelow(std::size_t tier);

    /** Charges the cost of one admission to the class and its tier. */
    void charge(work_class &workClass);

    bool contains(call_id call) const;
    std::size_t size() const;

    /** @return The number of waiting calls that aren't late-ok. */
    std::size_t strictSize() const;

    /** @return The number of these that are protected. */
    std::size_t strictProtectedSize() const;

    /** @return The least urgent tier with a waiting call, if any. */
    std::optional<std::size_t> lastTier() const;

    /** @return The most urgent tier with a waiting call, if any. */
    std::optional<std::size_t> firstTier() const;

private:
    struct place {
        work_class *workClass = nullptr;
        wait_key key;
    };

    std::optional<std::size_t> nextTier() const;
    std::optional<std::size_t> tierToRefuse() const;
    void countStrict(const gate_call &call, const work_class &workClass, int change);
    taken_call remove(work_class &workClass, std::map<wait_key, waiting_call>::iterator position);

    class_table &m_classes;
    boost::unordered_flat_map<call_id, place, std::hash<call_id>> m_places;
    std::uint64_t m_nextSequence = 0;
    std::size_t m_strict = 0;
    std::size_t m_strictProtected = 0;
    double m_virtualTime = 0; ///< Virtual clock of the unprotected tiers.
};

} // namespace cicadamux::detail
