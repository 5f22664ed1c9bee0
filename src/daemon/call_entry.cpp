/** @file call_entry.cpp Where calls enter a daemon: from callers outside and from the backend server. */

#include "daemon/call_entry_base.h"

#include "core/hash_func.h"
#include "core/log_func.h"
#include "daemon/call_headers_func.h"

#include <algorithm>
#include <chrono>

namespace cicadamux
{

/** A call that has entered, until it is answered. */
struct call_entry::entered_call {
    std::shared_ptr<http_exchange> exchange;
    call_request request;
    call_id id; ///< As this daemon knows it.
    call_id parent; ///< Invalid for a root.
    std::vector<std::string> passesThrough; ///< From the policy.
    std::string caller; ///< IP number.
    std::uint64_t requestHash = 0; ///< Recognises the same request of the same caller.
    std::chrono::steady_clock::time_point enteredAt = std::chrono::steady_clock::now();
};

namespace
{
outcome_reason reasonOf(http_read_failure failure)
{
    switch (failure) {
    case http_read_failure::header_too_large:
    case http_read_failure::body_too_large:
        return outcome_reason::too_large;
    case http_read_failure::too_many_connections:
    case http_read_failure::too_much_held:
        return outcome_reason::daemon_busy;
    case http_read_failure::malformed:
    case http_read_failure::too_slow:
    case http_read_failure::truncated:
        break;
    }
    return outcome_reason::bad_request;
}
} // namespace

call_entry::call_entry(daemon_core &core, dispatcher &calls, backend_link &backend, entry_refusal_hook refused)
    : m_core(core)
    , m_calls(calls)
    , m_backend(backend)
    , m_refused(std::move(refused))
{
}

void call_entry::handleEdge(http_request request, std::shared_ptr<http_exchange> exchange)
{
    if (!handleControl(request, exchange)) {
        enterFromOutside(std::move(request), std::move(exchange));
    }
}

void call_entry::handleLocal(http_request request, std::shared_ptr<http_exchange> exchange)
{
    if (request.target == "/cicadamux/announce") {
        handleAnnouncement(request, *exchange);
        return;
    }
    if (handleControl(request, exchange)) {
        return;
    }
    if (findHeader(request.headers, "cicadamux-context")) {
        enterFromBackend(std::move(request), std::move(exchange));
    } else {
        enterFromOutside(std::move(request), std::move(exchange));
    }
}

http_response call_entry::malformed(http_read_failure failure) const
{
    const outcome_reason reason = reasonOf(failure);
    return makeCallResponse(makeRefused(refusalHere(m_core, reason, "", ""), 0), root_id{threadRandom() | 1U}, rank_id::invalid());
}

void call_entry::enterFromOutside(http_request request, std::shared_ptr<http_exchange> exchange)
{
    const auto entered = std::make_shared<entered_call>();
    entered->exchange = std::move(exchange);
    entered->id = call_id{secureRandom() | 1U};
    entered->request.context.root = root_id{secureRandom() | 1U};
    const outcome_reason reason = resolve(*entered, std::move(request));
    if (reason != outcome_reason::none) {
        refuse(entered, reason);
        return;
    }
    const refusal_detail early = refuseEarly(*entered);
    if (early.reason != outcome_reason::none) {
        refuse(entered, early);
        return;
    }
    run(entered, [this, entered](call_result result) {
        if (result.outcome != call_outcome::answered) {
            m_core.callers.noteUnanswered(entered->caller, entered->requestHash, steadyNow());
            recordUnanswered(entered->request, result.detail);
        }
        answer(entered, std::move(result));
    });
}

outcome_reason call_entry::resolve(entered_call &entered, http_request request) const
{
    call_headers headers;
    try {
        headers = readCallHeaders(request.headers);
    } catch (const call_header_error &) {
        return outcome_reason::bad_request;
    }
    call_request &call = entered.request;
    call.service = headers.service;
    call.operation = headers.operation;
    call.ticket = headers.ticket;
    call.method = std::move(request.method);
    call.target = std::move(request.target);
    call.headers = forwardableHeaders(request.headers);
    call.body = std::move(request.body);
    entered.caller = std::move(request.remoteAddress);
    entered.requestHash = makeChildKey(call.service, call.operation, call.method, call.target, call.body).hash;

    const auto policies = m_core.policies.load();
    const auto found = policies->find(headers.service, headers.operation);
    if (!found) {
        return outcome_reason::no_policy;
    }
    const operation_rule &rule = *found->rule;
    call.atMostOnce = rule.atMostOnce;
    call_context &context = call.context;
    context.rank = found->rank;
    context.isProtected = found->isProtected;
    context.callClass = rule.callClass;
    context.lateOk = rule.lateOk;
    context.deadline = steadyNow() + (rule.lateOk ? rule.lateLimit : headers.deadline.value_or(rule.deadline));
    context.retryAllowance = rule.retries;
    entered.passesThrough = rule.passesThrough;
    call.callsOthers = !rule.passesThrough.empty();
    if (call.atMostOnce && call.ticket.empty()) {
        return outcome_reason::ticket_required;
    }
    return outcome_reason::none;
}

refusal_detail call_entry::refuseEarly(const entered_call &entered) const
{
    const call_request &request = entered.request;
    const auto refused = [&](outcome_reason reason) {
        return refusalHere(m_core, reason, request.service, request.operation);
    };
    if (m_core.stopping) {
        return refused(outcome_reason::draining);
    }
    if (m_core.dispatched >= m_core.settings.maxCalls) {
        return refused(outcome_reason::daemon_busy);
    }
    if (!m_core.settings.gate.enabled) {
        return {};
    }
    if (!m_core.callers.admit(entered.caller, entered.requestHash, steadyNow())) {
        return refused(outcome_reason::retries_exhausted);
    }
    return refuseByLevels(entered);
}

refusal_detail call_entry::refuseByLevels(const entered_call &entered) const
{
    std::vector<std::string> services = entered.passesThrough;
    services.push_back(entered.request.service);
    const call_context &context = entered.request.context;
    if (context.lateOk) {
        return {}; // It may wait at the gate, which doesn't refuse it by its level.
    }
    const early_refusal early = m_core.levels.check(services, context.rank, context.root, context.isProtected, steadyNow());
    if (!early.refused) {
        return {};
    }
    refusal_detail detail = refusalHere(m_core, outcome_reason::overloaded, early.service, entered.request.operation);
    detail.rankAdmitted = early.rankAdmitted;
    return detail;
}

void call_entry::enterFromBackend(http_request request, std::shared_ptr<http_exchange> exchange)
{
    const auto entered = std::make_shared<entered_call>();
    entered->exchange = std::move(exchange);
    entered->id = call_id{secureRandom() | 1U};
    const std::string contextText(findHeader(request.headers, "cicadamux-context").value_or(""));
    outcome_reason reason = resolve(*entered, std::move(request));
    if (reason == outcome_reason::none) {
        reason = inherit(*entered, contextText);
    }
    if (reason != outcome_reason::none) {
        refuse(entered, reason);
        return;
    }
    runChild(entered);
}

outcome_reason call_entry::inherit(entered_call &entered, std::string_view contextText) const
{
    const auto token = fromHex(contextText);
    if (!token) {
        return outcome_reason::bad_request;
    }
    entered.parent = call_id{*token};
    const auto parent = m_core.held.find(entered.parent);
    if (!parent) {
        return outcome_reason::parent_gone;
    }
    if (parent->depth >= maxCallDepth) {
        return outcome_reason::bad_request;
    }
    const clock_ms ownDeadline = entered.request.context.deadline;
    entered.request.context = *parent;
    entered.request.context.depth = static_cast<std::uint8_t>(parent->depth + 1);
    entered.request.context.deadline = std::min(ownDeadline, parent->deadline);
    return outcome_reason::none;
}

void call_entry::runChild(const std::shared_ptr<entered_call> &entered)
{
    const call_request &request = entered->request;
    const child_key key = makeChildKey(request.service, request.operation, request.method, request.target, request.body);
    const child_grant grant = m_core.ledger.openChild(entered->parent, key);
    if (!grant.allowed) {
        refuse(entered, outcome_reason::retries_exhausted);
        return;
    }
    entered->request.context.retryAllowance = grant.part;
    run(entered, [this, entered, part = grant.part](call_result result) {
        m_core.ledger.closeChild(entered->parent, part, result.retriesUnspent);
        m_core.held.removeChild(entered->parent, entered->id);
        if (result.outcome != call_outcome::answered) {
            recordUnanswered(entered->request, result.detail);
        }
        answer(entered, std::move(result));
    });
}

void call_entry::run(const std::shared_ptr<entered_call> &entered, std::function<void(call_result)> ended)
{
    const auto cancel = m_calls.dispatch(entered->id, entered->request, std::move(ended));
    entered->exchange->onGone(cancel);
    if (entered->parent.isValid() && !m_core.held.addChild(entered->parent, entered->id, cancel)) {
        cancel();
    }
}

void call_entry::answer(const std::shared_ptr<entered_call> &entered, call_result result)
{
    const call_request &request = entered->request;
    const bool isSure = !request.atMostOnce || result.outcome != call_outcome::not_run || isSettled(request, result.detail);
    if (isSure) {
        respond(*entered, std::move(result));
        return;
    }
    // An earlier attempt under the same ticket may have run: only the ticket's home can tell.
    settleTicket(request.ticket, [this, entered, result = std::move(result)](bool voided) mutable {
        if (!voided) {
            result = makeRefused(refusalHere(m_core, outcome_reason::ticket_home_gone, entered->request.service, entered->request.operation), 0);
        }
        respond(*entered, std::move(result));
    });
}

bool call_entry::isSettled(const call_request &request, const refusal_detail &detail) const
{
    switch (detail.reason) {
    case outcome_reason::ticket_required:
    case outcome_reason::ticket_invalid:
        return true; // There is no ticket that could have run.
    case outcome_reason::overloaded:
    case outcome_reason::queue_timeout:
    case outcome_reason::shed:
    case outcome_reason::ticket_expired:
        return isHomeOf(request.ticket, detail.host);
    default:
        return false;
    }
}

void call_entry::respond(const entered_call &entered, call_result result)
{
    const call_request &request = entered.request;
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - entered.enteredAt;
    m_core.metrics.callEnded(request.service, request.context.callClass, result.outcome, result.detail.reason, took.count());
    if (result.outcome != call_outcome::answered) {
        logEvent(log_level::debug,
                 "call_not_answered",
                 {{"root", toHex(request.context.root.value)},
                  {"service", request.service},
                  {"operation", request.operation},
                  {"reason", toString(result.detail.reason)}});
    }
    entered.exchange->respond(makeCallResponse(std::move(result), request.context.root, request.context.rank));
}

void call_entry::refuse(const std::shared_ptr<entered_call> &entered, outcome_reason reason)
{
    refuse(entered, refusalHere(m_core, reason, entered->request.service, entered->request.operation));
}

void call_entry::refuse(const std::shared_ptr<entered_call> &entered, const refusal_detail &detail)
{
    m_refused(entered->request, detail);
    answer(entered, makeRefused(detail, entered->request.context.retryAllowance));
}

void call_entry::recordUnanswered(const call_request &request, const refusal_detail &detail)
{
    const bool gateHasRecord = detail.reason == outcome_reason::overloaded || detail.reason == outcome_reason::queue_timeout;
    if (!gateHasRecord) {
        m_refused(request, detail);
    }
}

} // namespace cicadamux
