/** @file gate_service.cpp Admits calls to this host's backend server. */

#include "daemon/gate_service_base.h"

#include "daemon/gated_call_base.h"
#include "ticket/ticket_func.h"

#include <atomic>

namespace cicadamux
{

namespace
{
constexpr std::size_t maxForwardedLevels = 8; ///< Levels of other gates included in a reply.
} // namespace

struct gate_service::state : std::enable_shared_from_this<gate_service::state> {
    state(daemon_core &daemonCore, backend_link &backendLink, gate_refusal_hook refusalHook)
        : core(daemonCore)
        , backend(backendLink)
        , refused(std::move(refusalHook))
        , admission(daemonCore.settings.gate)
    {
    }

    void makeHooks();
    void submit(const std::shared_ptr<detail::gated_call> &call);
    void apply(const std::vector<gate_decision> &decisions);
    std::shared_ptr<detail::gated_call> find(call_id call);
    std::vector<std::shared_ptr<detail::gated_call>> allCalls();
    void remove(call_id call);
    void addGateState(peer_reply &reply);
    outcome_reason reasonNotToSubmit(const peer_call &call) const;
    bool beginTicket(const std::shared_ptr<detail::gated_call> &call, const gate_reply_handler &handler);

    /** Runs an action on the gate, then applies the resulting decisions. */
    template<typename Action>
    void decide(Action &&action)
    {
        std::vector<gate_decision> decisions;
        {
            const std::lock_guard lock(gateMutex);
            action(decisions);
        }
        apply(decisions);
    }

    daemon_core &core;
    backend_link &backend;
    gate_refusal_hook refused;
    detail::gated_call_hooks hooks;

    mutable std::mutex gateMutex; ///< Serializes decisions: rank order is exact only without concurrent decisions.
    gate admission;

    mutable std::mutex callsMutex;
    std::unordered_map<call_id, std::shared_ptr<detail::gated_call>> calls;
};

void gate_service::state::makeHooks()
{
    hooks.releaseSlot = [this](call_id call, work_end end) {
        decide([&](auto &decisions) {
            admission.finish(call, end, steadyNow(), decisions);
        });
    };
    hooks.withdraw = [this](call_id call) {
        bool wasWaiting = false;
        decide([&](auto &decisions) {
            wasWaiting = admission.withdraw(call, steadyNow(), decisions);
        });
        return wasWaiting;
    };
    hooks.remove = [this](call_id call) {
        remove(call);
    };
    hooks.addGateState = [this](peer_reply &reply) {
        addGateState(reply);
    };
}

void gate_service::state::submit(const std::shared_ptr<detail::gated_call> &call)
{
    {
        const std::lock_guard lock(callsMutex);
        calls[call->call().attempt] = call;
    }
    decide([&](auto &decisions) {
        admission.submit(call->toGateCall(), steadyNow(), decisions);
    });
}

void gate_service::state::apply(const std::vector<gate_decision> &decisions)
{
    for (const gate_decision &decision : decisions) {
        const auto call = find(decision.call);
        if (!call) {
            continue;
        }
        const call_request &request = call->call().request;
        constexpr double millisecondsPerSecond = 1'000.0;
        core.metrics.recordGateDecision(
            request.service, request.context.callClass, decision.reason, static_cast<double>(decision.waited.count) / millisecondsPerSecond);
        if (decision.admitted) {
            call->admitted();
        } else {
            refused(request, decision, admission.snapshot(steadyNow()));
            call->refuse(decision.reason, decision.rankAdmitted);
        }
    }
}

std::shared_ptr<detail::gated_call> gate_service::state::find(call_id call)
{
    const std::lock_guard lock(callsMutex);
    const auto found = calls.find(call);
    return found == calls.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<detail::gated_call>> gate_service::state::allCalls()
{
    const std::lock_guard lock(callsMutex);
    std::vector<std::shared_ptr<detail::gated_call>> found;
    found.reserve(calls.size());
    for (const auto &[id, call] : calls) {
        found.push_back(call);
    }
    return found;
}

void gate_service::state::remove(call_id call)
{
    const std::lock_guard lock(callsMutex);
    calls.erase(call);
}

void gate_service::state::addGateState(peer_reply &reply)
{
    const clock_ms now = steadyNow();
    gate_snapshot snapshot;
    {
        const std::lock_guard lock(gateMutex);
        snapshot = admission.snapshot(now);
    }
    reply.inUse = snapshot.inUse;
    reply.waiting = snapshot.waiting;
    reply.limit = snapshot.limit;
    reply.levels = core.levels.currentLevels(now, maxForwardedLevels);
    const auto server = backend.current();
    if (!server->service.empty()) {
        reply.levels.push_back({server->service, core.settings.host, snapshot.level, clock_ms{0}});
    }
}

outcome_reason gate_service::state::reasonNotToSubmit(const peer_call &call) const
{
    if (core.stopping) {
        return outcome_reason::draining;
    }
    const auto server = backend.current();
    if (call.homeIncarnation != core.incarnation || server->state == server_state::absent || server->service != call.request.service) {
        return outcome_reason::no_upstream;
    }
    if (server->state == server_state::draining) {
        return outcome_reason::draining;
    }
    if (steadyNow() >= call.request.context.deadline) {
        return outcome_reason::deadline_passed;
    }
    return outcome_reason::none;
}

bool gate_service::state::beginTicket(const std::shared_ptr<detail::gated_call> &call, const gate_reply_handler &handler)
{
    const call_request &request = call->call().request;
    ticket subject;
    try {
        subject = decodeTicket(request.ticket, core.settings.fleetKey);
    } catch (const ticket_error &failure) {
        call->refuse(failure.reason(), noRankAdmitted);
        return false;
    }
    if (subject.service != request.service || subject.operation != request.operation) {
        call->refuse(outcome_reason::ticket_invalid, noRankAdmitted);
        return false;
    }
    const call_id attempt = call->call().attempt;
    const auto replyWith = [self = shared_from_this(), attempt, handler](const std::shared_ptr<const call_result> &result) {
        peer_reply reply;
        reply.attempt = attempt;
        reply.result = *result;
        self->addGateState(reply);
        handler(std::move(reply));
    };
    const ticket_begin decision = core.tickets.begin(subject, wallNow(), replyWith);
    switch (decision.verdict) {
    case ticket_verdict::run:
        call->setTicket(subject);
        return true;
    case ticket_verdict::repeat:
        replyWith(decision.result);
        return false;
    case ticket_verdict::wait:
        return false;
    case ticket_verdict::refuse:
        call->refuse(decision.reason, noRankAdmitted);
        return false;
    }
    return false;
}

gate_service::gate_service(daemon_core &core, backend_link &backend, gate_refusal_hook refused)
    : m_state(std::make_shared<state>(core, backend, std::move(refused)))
{
    m_state->makeHooks();
}

gate_service::~gate_service() = default;

std::function<void()> gate_service::handle(peer_call call, const gate_reply_handler &handler)
{
    const outcome_reason reason = m_state->reasonNotToSubmit(call);
    const bool atMostOnce = call.request.atMostOnce;
    const auto gated = std::make_shared<detail::gated_call>(m_state->core, m_state->backend, std::move(call), handler, m_state->hooks);
    if (reason != outcome_reason::none) {
        gated->refuse(reason, noRankAdmitted);
        return nullptr;
    }
    if (atMostOnce && !m_state->beginTicket(gated, handler)) {
        return nullptr;
    }
    m_state->submit(gated);
    return [weak = std::weak_ptr(gated)] {
        if (const auto locked = weak.lock()) {
            locked->cancel();
        }
    };
}

void gate_service::setRanks(std::span<const rank_rule> ranks)
{
    const std::lock_guard lock(m_state->gateMutex);
    m_state->admission.setRanks(ranks);
}

void gate_service::backendChanged(const backend_server &before, const backend_server &after)
{
    m_state->decide([&](auto &decisions) {
        m_state->admission.setAnnouncedSlots(after.slots);
        if (after.state != server_state::serving) {
            const auto reason = after.state == server_state::draining ? outcome_reason::draining : outcome_reason::no_upstream;
            m_state->admission.refuseAll(reason, steadyNow(), decisions);
        }
    });
    if (before.client && before.instanceId != after.instanceId) {
        for (const auto &call : m_state->allCalls()) {
            call->handleServerLoss(before.instanceId);
        }
    }
}

void gate_service::tick(clock_ms now)
{
    m_state->decide([&](auto &decisions) {
        m_state->admission.tick(now, decisions);
    });
}

void gate_service::drain()
{
    m_state->decide([&](auto &decisions) {
        m_state->admission.refuseAll(outcome_reason::draining, steadyNow(), decisions);
    });
}

gate_snapshot gate_service::snapshot(clock_ms now) const
{
    const std::lock_guard lock(m_state->gateMutex);
    return m_state->admission.snapshot(now);
}

std::size_t gate_service::calls() const
{
    const std::lock_guard lock(m_state->callsMutex);
    return m_state->calls.size();
}

} // namespace cicadamux
