/** @file gate.cpp Public interface of the gate. */

#include "admission/gate_base.h"

#include "admission/gate_state_base.h"
#include "core/invariant_func.h"

namespace cicadamux
{

gate::gate(const gate_settings &settings)
    : m_state(std::make_unique<state>(settings))
{
}

gate::~gate() = default;

void gate::setRanks(std::span<const rank_rule> ranks)
{
    m_state->classes.setRanks(ranks);
}

void gate::setAnnouncedSlots(std::uint32_t slots)
{
    m_state->limit.setAnnounced(slots, m_state->now);
}

void gate::submit(const gate_call &call, clock_ms now, std::vector<gate_decision> &decisions)
{
    state &self = *m_state;
    const bool isKnown = self.admitted.contains(call.call) || self.queue.contains(call.call);
    checkInvariant(!isKnown, invariant::slot_accounting, "a call was submitted twice");
    if (isKnown) {
        return;
    }
    self.advance(now, decisions);
    detail::work_class &workClass = self.classes.classOf(call, now);
    if (!self.settings.enabled) {
        self.admit(call, workClass, now, now, decisions);
        return;
    }
    self.overload.offered(workClass);
    if (self.isTooLate(call, workClass, now)) {
        self.refuse(call, now, call.deadline <= now ? outcome_reason::deadline_passed : outcome_reason::queue_timeout, now, decisions);
        return;
    }
    if (self.isClosed(workClass.tier, now)) {
        self.refuse(call, now, outcome_reason::overloaded, now, decisions);
        return;
    }
    if (self.isRefusedByLevel(call, workClass)) {
        self.refuseForCapacity(call, workClass.tier, now, now, decisions);
        return;
    }
    self.queue.push(call, workClass, now);
    self.dispatch(now, decisions);
    self.enforceQueueLimit(now, decisions);
    self.observe(now);
}

void gate::finish(call_id call, work_end end, clock_ms now, std::vector<gate_decision> &decisions)
{
    state &self = *m_state;
    const auto found = self.admitted.find(call);
    checkInvariant(found != self.admitted.end(), invariant::slot_accounting, "a slot was released that is not held");
    if (found == self.admitted.end()) {
        return;
    }
    const admitted_call ended = found->second;
    self.admitted.erase(found);
    --ended.workClass->inUse;
    const bool usedSlot = end != work_end::not_sent && end != work_end::shed && end != work_end::server_gone;
    if (usedSlot) {
        self.overload.measured(*ended.workClass, static_cast<double>((now - ended.since).count));
    }
    self.limit.ended(end, ended.since, static_cast<std::uint32_t>(self.admitted.size()), now);
    self.advance(now, decisions);
    self.dispatch(now, decisions);
    self.observe(now);
}

bool gate::withdraw(call_id call, clock_ms now, std::vector<gate_decision> &decisions)
{
    const bool wasWaiting = m_state->queue.take(call).has_value();
    m_state->advance(now, decisions);
    m_state->observe(now);
    return wasWaiting;
}

void gate::tick(clock_ms now, std::vector<gate_decision> &decisions)
{
    m_state->advance(now, decisions);
    m_state->dispatch(now, decisions);
    m_state->observe(now);
}

void gate::refuseAll(outcome_reason reason, clock_ms now, std::vector<gate_decision> &decisions)
{
    const auto taken = m_state->queue.takeIf([](const detail::waiting_call &, const detail::work_class &) {
        return true;
    });
    for (const detail::taken_call &waiter : taken) {
        m_state->refuse(waiter.waiter.call, waiter.waiter.since, reason, now, decisions);
    }
    m_state->observe(now);
}

gate_snapshot gate::snapshot(clock_ms now) const
{
    gate_snapshot result;
    result.limit = m_state->limit.current();
    result.inUse = static_cast<std::uint32_t>(m_state->admitted.size());
    result.waiting = static_cast<std::uint32_t>(m_state->queue.size());
    result.level = m_state->level(now);
    result.limitReason = m_state->limit.reason();
    result.limitMovedAt = m_state->limit.changedAt();
    return result;
}

} // namespace cicadamux
