/** @file call_entry.cpp Accepts calls from external callers and from the backend server. */

#include "daemon/call_entry_base.h"

#include "core/hash_func.h"
#include "core/log_func.h"
#include "daemon/call_headers_func.h"

#include <algorithm>
#include <chrono>

namespace cicadamux
{

/** A call accepted from an HTTP client, until its response is sent. */
struct call_entry::incoming_call {
    std::shared_ptr<http_exchange> exchange;
    call_request request;
    call_id id; ///< Assigned by this daemon.
    call_id parent; ///< Invalid for a root call.
    std::vector<std::string> passesThrough; ///< From the policy.
    std::string caller; ///< IP address.
    std::uint64_t requestHash = 0; ///< Identifies repeats of a request by the same caller.
    std::chrono::steady_clock::time_point receivedAt = std::chrono::steady_clock::now();
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
    case http_read_failure::memory_exhausted:
        return outcome_reason::daemon_busy;
    case http_read_failure::handler_failed:
        return outcome_reason::answer_broken;
    case http_read_failure::malformed:
    case http_read_failure::too_slow:
    case http_read_failure::truncated:
        break;
    }
    return outcome_reason::bad_request;
}
} // namespace

call_entry::call_entry(daemon_core &core, dispatcher &callDispatcher, backend_link &backend, entry_refusal_hook refused)
    : m_core(core)
    , m_dispatcher(callDispatcher)
    , m_backend(backend)
    , m_refused(std::move(refused))
{
}

void call_entry::handleEdge(http_request request, std::shared_ptr<http_exchange> exchange)
{
    if (!handleControl(request, exchange)) {
        handleExternalCall(std::move(request), std::move(exchange));
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
        handleBackendCall(std::move(request), std::move(exchange));
    } else {
        handleExternalCall(std::move(request), std::move(exchange));
    }
}

http_response call_entry::makeReadFailureResponse(http_read_failure failure) const
{
    const outcome_reason reason = reasonOf(failure);
    return makeCallResponse(makeRefused(makeRefusalDetail(m_core, reason, "", ""), 0), root_id{threadRandom() | 1U}, rank_id::invalid());
}

void call_entry::handleExternalCall(http_request request, std::shared_ptr<http_exchange> exchange)
{
    const auto incoming = std::make_shared<incoming_call>();
    incoming->exchange = std::move(exchange);
    incoming->id = call_id{secureRandom() | 1U};
    incoming->request.context.root = root_id{secureRandom() | 1U};
    const outcome_reason reason = resolve(*incoming, std::move(request));
    if (reason != outcome_reason::none) {
        refuse(incoming, reason);
        return;
    }
    const refusal_detail early = refuseEarly(*incoming);
    if (early.reason != outcome_reason::none) {
        refuse(incoming, early);
        return;
    }
    run(incoming, [this, incoming](call_result result) {
        if (result.outcome != call_outcome::answered) {
            m_core.callers.recordUnanswered(incoming->caller, incoming->requestHash, steadyNow());
            recordUnanswered(incoming->request, result.detail);
        }
        answer(incoming, std::move(result));
    });
}

outcome_reason call_entry::resolve(incoming_call &incoming, http_request request) const
{
    call_headers headers;
    try {
        headers = readCallHeaders(request.headers);
    } catch (const call_header_error &) {
        return outcome_reason::bad_request;
    }
    call_request &call = incoming.request;
    call.service = headers.service;
    call.operation = headers.operation;
    call.ticket = headers.ticket;
    call.method = std::move(request.method);
    call.target = std::move(request.target);
    call.headers = forwardableHeaders(request.headers);
    call.body = std::move(request.body);
    incoming.caller = std::move(request.remoteAddress);
    incoming.requestHash = makeChildKey(call.service, call.operation, call.method, call.target, call.body).hash;

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
    incoming.passesThrough = rule.passesThrough;
    call.callsOthers = !rule.passesThrough.empty();
    if (call.atMostOnce && call.ticket.empty()) {
        return outcome_reason::ticket_required;
    }
    return outcome_reason::none;
}

refusal_detail call_entry::refuseEarly(const incoming_call &incoming) const
{
    const call_request &request = incoming.request;
    const auto refused = [&](outcome_reason reason) {
        return makeRefusalDetail(m_core, reason, request.service, request.operation);
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
    if (!m_core.callers.admit(incoming.caller, incoming.requestHash, steadyNow())) {
        return refused(outcome_reason::retries_exhausted);
    }
    return refuseByLevels(incoming);
}

refusal_detail call_entry::refuseByLevels(const incoming_call &incoming) const
{
    std::vector<std::string> services = incoming.passesThrough;
    services.push_back(incoming.request.service);
    const call_context &context = incoming.request.context;
    if (context.lateOk) {
        return {}; // Gates queue late-ok calls and do not refuse them by level.
    }
    const early_refusal early = m_core.levels.check(services, context.rank, context.root, context.isProtected, steadyNow());
    if (!early.refused) {
        return {};
    }
    refusal_detail detail = makeRefusalDetail(m_core, outcome_reason::overloaded, early.service, incoming.request.operation);
    detail.rankAdmitted = early.rankAdmitted;
    return detail;
}

void call_entry::handleBackendCall(http_request request, std::shared_ptr<http_exchange> exchange)
{
    const auto incoming = std::make_shared<incoming_call>();
    incoming->exchange = std::move(exchange);
    incoming->id = call_id{secureRandom() | 1U};
    const std::string contextText(findHeader(request.headers, "cicadamux-context").value_or(""));
    outcome_reason reason = resolve(*incoming, std::move(request));
    if (reason == outcome_reason::none) {
        reason = inheritContext(*incoming, contextText);
    }
    if (reason != outcome_reason::none) {
        refuse(incoming, reason);
        return;
    }
    runChild(incoming);
}

outcome_reason call_entry::inheritContext(incoming_call &incoming, std::string_view contextText) const
{
    const auto token = fromHex(contextText);
    if (!token) {
        return outcome_reason::bad_request;
    }
    incoming.parent = call_id{*token};
    const auto parent = m_core.activeCalls.find(incoming.parent);
    if (!parent) {
        return outcome_reason::parent_gone;
    }
    if (parent->depth >= maxCallDepth) {
        return outcome_reason::bad_request;
    }
    const clock_ms ownDeadline = incoming.request.context.deadline;
    incoming.request.context = *parent;
    incoming.request.context.depth = static_cast<std::uint8_t>(parent->depth + 1);
    incoming.request.context.deadline = std::min(ownDeadline, parent->deadline);
    return outcome_reason::none;
}

void call_entry::runChild(const std::shared_ptr<incoming_call> &incoming)
{
    const call_request &request = incoming->request;
    const child_key key = makeChildKey(request.service, request.operation, request.method, request.target, request.body);
    const child_grant grant = m_core.ledger.openChild(incoming->parent, key);
    if (!grant.allowed) {
        refuse(incoming, outcome_reason::retries_exhausted);
        return;
    }
    incoming->request.context.retryAllowance = grant.allowance;
    run(incoming, [this, incoming, allowance = grant.allowance](call_result result) {
        m_core.ledger.closeChild(incoming->parent, allowance, result.retriesUnspent);
        m_core.activeCalls.removeChild(incoming->parent, incoming->id);
        if (result.outcome != call_outcome::answered) {
            recordUnanswered(incoming->request, result.detail);
        }
        answer(incoming, std::move(result));
    });
}

void call_entry::run(const std::shared_ptr<incoming_call> &incoming, std::function<void(call_result)> handler)
{
    const auto cancel = m_dispatcher.dispatch(incoming->id, incoming->request, std::move(handler));
    incoming->exchange->onDisconnect(cancel);
    if (incoming->parent.isValid() && !m_core.activeCalls.addChild(incoming->parent, incoming->id, cancel)) {
        cancel();
    }
}

void call_entry::answer(const std::shared_ptr<incoming_call> &incoming, call_result result)
{
    const call_request &request = incoming->request;
    const bool isDefinite = !request.atMostOnce || result.outcome != call_outcome::not_run || isProvablyNotRun(request, result.detail);
    if (isDefinite) {
        respond(*incoming, std::move(result));
        return;
    }
    // An earlier attempt with the same ticket may have run; only the ticket's home host knows.
    voidTicket(request.ticket, [this, incoming, result = std::move(result)](bool voided) mutable {
        if (!voided) {
            result = makeRefused(makeRefusalDetail(m_core, outcome_reason::ticket_home_gone, incoming->request.service, incoming->request.operation), 0);
        }
        respond(*incoming, std::move(result));
    });
}

bool call_entry::isProvablyNotRun(const call_request &request, const refusal_detail &detail) const
{
    switch (detail.reason) {
    case outcome_reason::ticket_required:
    case outcome_reason::ticket_invalid:
        return true; // Without a valid ticket nothing can have run.
    case outcome_reason::overloaded:
    case outcome_reason::queue_timeout:
    case outcome_reason::shed:
    case outcome_reason::ticket_expired:
        return isHomeOf(request.ticket, detail.host);
    default:
        return false;
    }
}

void call_entry::respond(const incoming_call &incoming, call_result result)
{
    const call_request &request = incoming.request;
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - incoming.receivedAt;
    m_core.metrics.recordCall(request.service, request.context.callClass, result.outcome, result.detail.reason, elapsed.count());
    if (result.outcome != call_outcome::answered) {
        logEvent(log_level::debug,
                 "call_not_answered",
                 {{"root", toHex(request.context.root.value)},
                  {"service", request.service},
                  {"operation", request.operation},
                  {"reason", toString(result.detail.reason)}});
    }
    incoming.exchange->respond(makeCallResponse(std::move(result), request.context.root, request.context.rank));
}

void call_entry::refuse(const std::shared_ptr<incoming_call> &incoming, outcome_reason reason)
{
    refuse(incoming, makeRefusalDetail(m_core, reason, incoming->request.service, incoming->request.operation));
}

void call_entry::refuse(const std::shared_ptr<incoming_call> &incoming, const refusal_detail &detail)
{
    m_refused(incoming->request, detail);
    answer(incoming, makeRefused(detail, incoming->request.context.retryAllowance));
}

void call_entry::recordUnanswered(const call_request &request, const refusal_detail &detail)
{
    const bool gateHasRecord = detail.reason == outcome_reason::overloaded || detail.reason == outcome_reason::queue_timeout;
    if (!gateHasRecord) {
        m_refused(request, detail);
    }
}

} // namespace cicadamux
