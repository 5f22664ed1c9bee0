/** @file wait_queue_base.h The calls that wait at a gate, and who goes first and last. */

#pragma once

#include "admission/class_table_base.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <functional>
#include <optional>

namespace cicadamux::detail
{

/** A call taken out of the queue. */
struct taken_call {
    waiting_call waiter;
    work_class *owner = nullptr;
};

/**
 * Order of service: protected tiers strictly by rank. The other tiers divide what these leave by effort, and the
 * classes of a tier divide its part evenly, both in slot time, by stride scheduling (Waldspurger and Weihl, 1995).
 * Order of refusal: tiers that aren't protected first, among them the one that holds most for its effort, then the
 * least urgent protected tier; inside a tier the class that holds most, and of it the call that would go last.
 */
class wait_queue
{
public:
    explicit wait_queue(class_table &classes);

    void push(const gate_call &call, work_class &owner, clock_ms now);

    /** Takes the call that goes next, without charging its class. */
    std::optional<taken_call> takeNext();

    /** Takes the call that is refused first. */
    std::optional<taken_call> takeLast();

    /** Takes a certain call. */
    std::optional<taken_call> take(call_id call);

    /** Takes each call for which `wanted` holds, in no certain order. */
    std::vector<taken_call> takeIf(const std::function<bool(const waiting_call &, const work_class &)> &wanted);

    /** Takes all calls of the tiers less urgent than the one given. */
    std::vector<taken_call> takeBelow(std::size_t tier);

    /** Charges one admission of a class to it and to its tier. */
    void charge(work_class &owner);

    bool contains(call_id call) const;
    std::size_t size() const;

    /** @return How many wait whose deadline is strict. */
    std::size_t strictSize() const;

    /** @return How many of these are protected. */
    std::size_t strictProtectedSize() const;

    /** @return The least urgent tier that waits, nothing if none does. */
    std::optional<std::size_t> lastTier() const;

    /** @return The most urgent tier that waits, nothing if none does. */
    std::optional<std::size_t> firstTier() const;

private:
    struct place {
        work_class *owner = nullptr;
        wait_key key;
    };

    std::optional<std::size_t> nextTier() const;
    std::optional<std::size_t> tierToRefuse() const;
    void countStrict(const gate_call &call, const work_class &owner, int change);
    taken_call remove(work_class &owner, std::map<wait_key, waiting_call>::iterator position);

    class_table &m_classes;
    boost::unordered_flat_map<call_id, place, std::hash<call_id>> m_places;
    std::uint64_t m_nextSequence = 0;
    std::size_t m_strict = 0;
    std::size_t m_strictProtected = 0;
    double m_virtualTime = 0; ///< Of the tiers that aren't protected.
};

} // namespace cicadamux::detail
