/** @file gate_state.cpp Steps shared by the public functions of the gate. */

#include "admission/gate_state_base.h"
#include "core/invariant_func.h"

namespace cicadamux
{

namespace
{
constexpr clock_ms sweepInterval{5}; ///< Between two searches of the queue for expired calls.
constexpr clock_ms closeDuration{100}; ///< How long less urgent tiers stay closed after a protected call was refused.
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
    overload.advance(limit.steadyLimit(), settings.maxWait, now);
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
    const auto expired = queue.takeIf([this, now](const detail::waiting_call &waiter, const detail::work_class &workClass) {
        return exceedsMaxWait(waiter, now) || isTooLate(waiter.call, workClass, now);
    });
    for (const detail::taken_call &taken : expired) {
        refuseExpired(taken, now, decisions);
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
        if (exceedsMaxWait(waiter, now) || isTooLate(waiter.call, *next->workClass, now)) {
            refuseExpired(*next, now, decisions);
        } else {
            admit(waiter.call, *next->workClass, waiter.since, now, decisions);
        }
    }
}

void gate::state::enforceQueueLimit(clock_ms now, std::vector<gate_decision> &decisions)
{
    while (queue.size() > settings.maxWaiting) {
        const std::optional<detail::taken_call> last = queue.takeNextToRefuse();
        overload.refusedWaiting(*last->workClass);
        refuseForCapacity(last->waiter.call, last->workClass->tier, last->waiter.since, now, decisions);
    }
}

void gate::state::admit(const gate_call &call, detail::work_class &workClass, clock_ms since, clock_ms now, std::vector<gate_decision> &decisions)
{
    if (settings.enabled) {
        const std::optional<std::size_t> waits = queue.firstTier();
        const bool inOrder = !waits || *waits >= workClass.tier || *waits >= detail::firstUnprotectedTier;
        checkInvariant(inOrder && !isClosed(workClass.tier, now),
                       invariant::rank_order,
                       "a less urgent call was admitted while a protected call waits or was just refused");
        checkInvariant(admitted.size() < limit.current(), invariant::limit_held, "a call was admitted beyond the concurrency limit");
    }
    if (!call.lateOk) {
        overload.admitted(workClass, now - since);
    }
    queue.charge(workClass);
    ++workClass.inUse;
    admitted.emplace(call.call, admitted_call{&workClass, now});
    decisions.push_back({call.call, true, outcome_reason::none, rankAdmitted(now), now - since});
}

void gate::state::refuseExpired(const detail::taken_call &taken, clock_ms now, std::vector<gate_decision> &decisions)
{
    overload.refusedWaiting(*taken.workClass);
    const outcome_reason reason = exceedsMaxWait(taken.waiter, now) ? outcome_reason::overloaded : outcome_reason::queue_timeout;
    refuse(taken.waiter.call, taken.waiter.since, reason, now, decisions);
}

void gate::state::refuse(const gate_call &call, clock_ms since, outcome_reason reason, clock_ms now, std::vector<gate_decision> &decisions)
{
    decisions.push_back({call.call, false, reason, rankAdmitted(now), now - since});
}

void gate::state::refuseForCapacity(const gate_call &call, std::size_t tier, clock_ms since, clock_ms now, std::vector<gate_decision> &decisions)
{
    if (tier < detail::firstUnprotectedTier) {
        closeBelow(tier, now, decisions);
    }
    const std::optional<std::size_t> last = queue.lastTier();
    const bool inOrder = tier >= detail::firstUnprotectedTier || !last || *last <= tier;
    checkInvariant(inOrder, invariant::rank_order, "a protected call was refused while a less urgent one waits");
    refuse(call, since, outcome_reason::overloaded, now, decisions);
}

void gate::state::closeBelow(std::size_t tier, clock_ms now, std::vector<gate_decision> &decisions)
{
    const bool isOver = now >= closed.until;
    closed.tier = isOver ? tier : std::min(closed.tier, tier);
    closed.until = now + closeDuration;
    for (const detail::taken_call &taken : queue.takeBelow(tier)) {
        refuse(taken.waiter.call, taken.waiter.since, outcome_reason::overloaded, now, decisions);
    }
}

bool gate::state::isTooLate(const gate_call &call, const detail::work_class &workClass, clock_ms now) const
{
    return !call.lateOk && call.deadline.count < now.count + static_cast<std::int64_t>(workClass.slotTime.lowerBound()) + 1;
}

bool gate::state::exceedsMaxWait(const detail::waiting_call &waiter, clock_ms now) const
{
    return !waiter.call.isProtected && !waiter.call.lateOk && now - waiter.since >= settings.maxWait;
}

bool gate::state::isClosed(std::size_t tier, clock_ms now) const
{
    return tier > closed.tier && now < closed.until;
}

bool gate::state::isRefusedByLevel(const gate_call &call, const detail::work_class &workClass) const
{
    const bool findsSlot = admitted.size() < limit.current() && queue.size() == 0;
    const bool isExempt = call.lateOk || (call.isProtected && findsSlot);
    return !isExempt && overload.refuses(workClass, call.root);
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
