/** @file gate_state.cpp The steps that the commands of a gate share. */

#include "admission/gate_state_base.h"
#include "core/invariant_func.h"

namespace cicadamux
{

namespace
{
constexpr clock_ms sweepInterval{5}; ///< Between two searches of the queue for calls that are too old.
constexpr clock_ms closedFor{100}; ///< How long lesser ranks stay refused after a protected call was.
} // namespace

gate::state::state(const gate_settings &initial)
    : settings(initial)
    , queue(classes)
    , limit(initial)
    , overload(classes)
{
}

void gate::state::advance(clock_ms instant, std::vector<gate_decision> &decisions)
{
    now = std::max(now, instant);
    if (!settings.enabled) {
        return;
    }
    limit.advance(now);
    overload.advance(limit.settled(), settings.maxWait, now);
    const bool isFull = queue.size() >= settings.maxWaiting && now > sweptAt;
    if (isFull || now - sweptAt >= sweepInterval) {
        sweep(now, decisions);
    }
}

void gate::state::sweep(clock_ms now, std::vector<gate_decision> &decisions)
{
    sweptAt = now;
    if (queue.size() == 0) {
        return;
    }
    const auto late = queue.takeIf([this, now](const detail::waiting_call &waiter, const detail::work_class &owner) {
        return hasWaitedOut(waiter, now) || isTooLate(waiter.call, owner, now);
    });
    for (const detail::taken_call &taken : late) {
        drop(taken, now, decisions);
    }
}

void gate::state::observe(clock_ms now)
{
    const auto inUse = static_cast<std::uint32_t>(admitted.size());
    limit.observe(inUse, now);
    overload.observe(queue.strictSize(), queue.strictProtectedSize(), inUse, now);
}

void gate::state::dispatch(clock_ms now, std::vector<gate_decision> &decisions)
{
    while (admitted.size() < limit.current()) {
        std::optional<detail::taken_call> next = queue.takeNext();
        if (!next) {
            return;
        }
        const detail::waiting_call &waiter = next->waiter;
        if (hasWaitedOut(waiter, now) || isTooLate(waiter.call, *next->owner, now)) {
            drop(*next, now, decisions);
        } else {
            admit(waiter.call, *next->owner, waiter.since, now, decisions);
        }
    }
}

void gate::state::trimQueue(clock_ms now, std::vector<gate_decision> &decisions)
{
    while (queue.size() > settings.maxWaiting) {
        const std::optional<detail::taken_call> last = queue.takeLast();
        overload.refusedWaiting(*last->owner);
        refuseByRank(last->waiter.call, last->owner->tier, last->waiter.since, now, decisions);
    }
}

void gate::state::admit(const gate_call &call, detail::work_class &owner, clock_ms since, clock_ms now, std::vector<gate_decision> &decisions)
{
    if (settings.enabled) {
        const std::optional<std::size_t> waits = queue.firstTier();
        const bool inOrder = !waits || *waits >= owner.tier || *waits >= detail::firstLesserTier;
        checkInvariant(inOrder && !isClosed(owner.tier, now), invariant::rank_order, "a lesser call was admitted while a protected one waits or is refused");
        checkInvariant(admitted.size() < limit.current(), invariant::limit_held, "a call was admitted beyond the concurrency limit");
    }
    if (!call.lateOk) {
        overload.admitted(owner, now - since);
    }
    queue.charge(owner);
    ++owner.inUse;
    admitted.emplace(call.call, admitted_call{&owner, now});
    decisions.push_back({call.call, true, outcome_reason::none, rankAdmitted(now), now - since});
}

void gate::state::drop(const detail::taken_call &taken, clock_ms now, std::vector<gate_decision> &decisions)
{
    overload.refusedWaiting(*taken.owner);
    const outcome_reason reason = hasWaitedOut(taken.waiter, now) ? outcome_reason::overloaded : outcome_reason::queue_timeout;
    refuse(taken.waiter.call, taken.waiter.since, reason, now, decisions);
}

void gate::state::refuse(const gate_call &call, clock_ms since, outcome_reason reason, clock_ms now, std::vector<gate_decision> &decisions)
{
    decisions.push_back({call.call, false, reason, rankAdmitted(now), now - since});
}

void gate::state::refuseByRank(const gate_call &call, std::size_t tier, clock_ms since, clock_ms now, std::vector<gate_decision> &decisions)
{
    if (tier < detail::firstLesserTier) {
        closeBelow(tier, now, decisions);
    }
    const std::optional<std::size_t> last = queue.lastTier();
    const bool inOrder = tier >= detail::firstLesserTier || !last || *last <= tier;
    checkInvariant(inOrder, invariant::rank_order, "a protected call was refused while a lesser one waits");
    refuse(call, since, outcome_reason::overloaded, now, decisions);
}

void gate::state::closeBelow(std::size_t tier, clock_ms now, std::vector<gate_decision> &decisions)
{
    const bool isOver = now >= closed.until;
    closed.tier = isOver ? tier : std::min(closed.tier, tier);
    closed.until = now + closedFor;
    for (const detail::taken_call &lesser : queue.takeBelow(tier)) {
        refuse(lesser.waiter.call, lesser.waiter.since, outcome_reason::overloaded, now, decisions);
    }
}

bool gate::state::isTooLate(const gate_call &call, const detail::work_class &owner, clock_ms now) const
{
    return !call.lateOk && call.deadline.count < now.count + static_cast<std::int64_t>(owner.service.low()) + 1;
}

bool gate::state::hasWaitedOut(const detail::waiting_call &waiter, clock_ms now) const
{
    return !waiter.call.isProtected && !waiter.call.lateOk && now - waiter.since >= settings.maxWait;
}

bool gate::state::isClosed(std::size_t tier, clock_ms now) const
{
    return tier > closed.tier && now < closed.until;
}

bool gate::state::isBelowLevel(const gate_call &call, const detail::work_class &owner) const
{
    const bool findsSlot = admitted.size() < limit.current() && queue.size() == 0;
    const bool isExempt = call.lateOk || (call.isProtected && findsSlot);
    return !isExempt && overload.refuses(owner, call.root);
}

gate_level gate::state::level(clock_ms now) const
{
    const gate_level measured = overload.level();
    const rank_id closedRank = detail::rankOfTier(closed.tier);
    if (now < closed.until && measured.rank > closedRank) {
        return {closedRank, subLevelCount};
    }
    return measured;
}

int gate::state::rankAdmitted(clock_ms now) const
{
    return level(now).rank.value;
}

} // namespace cicadamux
