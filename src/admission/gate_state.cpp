/** @file gate_state.cpp The steps that the commands of a gate share. */

#include "admission/gate_state_base.h"
#include "core/invariant_func.h"

namespace cicadamux {

namespace {
constexpr clock_ms closedFor{ 100 }; ///< How long lesser ranks stay refused after a protected call was.
} // namespace

gate::state::state(const gate_settings &initial)
    : settings(initial)
    , queue(classes)
    , limit(initial)
{
}

void gate::state::advance(clock_ms now, std::vector<gate_decision> &decisions)
{
    if (now <= sweptAt) {
        return;
    }
    sweptAt = now;
    limit.advance(static_cast<std::uint32_t>(admitted.size()), now);
    const auto late = queue.takeIf([this, now](const detail::waiting_call &waiter, const detail::work_class &owner) {
        return isTooLate(waiter.call, owner, now) || hasWaitedOut(waiter, now);
    });
    for (const detail::taken_call &taken : late) {
        const bool waitedOut = hasWaitedOut(taken.waiter, now);
        refuse(taken.waiter.call, taken.waiter.since, waitedOut ? outcome_reason::overloaded : outcome_reason::queue_timeout, now, decisions);
    }
}

void gate::state::dispatch(clock_ms now, std::vector<gate_decision> &decisions)
{
    while (admitted.size() < limit.current()) {
        std::optional<detail::taken_call> next = queue.takeNext();
        if (!next) {
            return;
        }
        const detail::waiting_call &waiter = next->waiter;
        if (isTooLate(waiter.call, *next->owner, now)) {
            refuse(waiter.call, waiter.since, outcome_reason::queue_timeout, now, decisions);
        } else {
            admit(waiter.call, *next->owner, waiter.since, now, decisions);
        }
    }
}

void gate::state::trimQueue(clock_ms now, std::vector<gate_decision> &decisions)
{
    while (queue.size() > settings.maxWaiting) {
        const std::optional<detail::taken_call> last = queue.takeLast();
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
    queue.charge(owner);
    ++owner.inUse;
    admitted.emplace(call.call, admitted_call{ &owner, now });
    limit.started(static_cast<std::uint32_t>(admitted.size()), now);
    decisions.push_back({ call.call, true, outcome_reason::none, rankAdmitted(now), now - since });
}

void gate::state::refuse(const gate_call &call, clock_ms since, outcome_reason reason, clock_ms now, std::vector<gate_decision> &decisions)
{
    decisions.push_back({ call.call, false, reason, rankAdmitted(now), now - since });
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

gate_level gate::state::level(clock_ms now) const
{
    if (now < closed.until) {
        return { detail::rankOfTier(closed.tier), subLevelCount };
    }
    return { classes.lastRank(), subLevelCount };
}

int gate::state::rankAdmitted(clock_ms now) const
{
    return level(now).rank.value;
}

} // namespace cicadamux
