/** @file gated_call.cpp A call at this host's gate. */

#include "daemon/gated_call_base.h"

#include "core/invariant_func.h"
#include "http/http_status_type.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace cicadamux::detail
{

namespace
{
constexpr std::int64_t cancelRetryInterval = 500; ///< Milliseconds between two cancellation requests.

std::chrono::steady_clock::time_point toChrono(clock_ms instant)
{
    return std::chrono::steady_clock::time_point(std::chrono::milliseconds(instant.count));
}
} // namespace

gated_call::gated_call(daemon_core &core, backend_link &backend, peer_call call, std::function<void(peer_reply)> handler, const gated_call_hooks &hooks)
    : m_core(core)
    , m_backend(backend)
    , m_call(std::move(call))
    , m_hooks(hooks)
    , m_timer(core.context)
    , m_handler(std::move(handler))
{
}

void gated_call::setTicket(ticket subject)
{
    m_ticket = std::move(subject);
}

const peer_call &gated_call::call() const
{
    return m_call;
}

gate_call gated_call::toGateCall() const
{
    const call_context &context = m_call.request.context;
    gate_call described;
    described.call = m_call.attempt;
    described.root = context.root;
    described.rank = context.rank;
    described.callClass = context.callClass;
    described.isProtected = context.isProtected;
    described.depth = context.depth;
    described.deadline = context.deadline;
    described.lateOk = context.lateOk;
    return described;
}

void gated_call::admitted()
{
    const auto server = m_backend.current();
    const outcome_reason reason = reasonNotToSend(*server);
    if (reason != outcome_reason::none) {
        finish(work_end::not_sent, makeResult(reason));
        return;
    }
    send(server);
}

outcome_reason gated_call::reasonNotToSend(const backend_server &server) const
{
    if (server.state == server_state::absent || server.service != m_call.request.service) {
        return outcome_reason::no_upstream;
    }
    if (server.state == server_state::draining) {
        return outcome_reason::draining;
    }
    if (steadyNow() >= m_call.request.context.deadline) {
        return outcome_reason::deadline_passed;
    }
    if (m_ticket && !m_core.tickets.confirmSend(*m_ticket, wallNow())) {
        return outcome_reason::ticket_expired;
    }
    return outcome_reason::none;
}

void gated_call::send(const std::shared_ptr<const backend_server> &server)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_senderGone) {
            m_stage = stage::running;
            m_server = server;
        }
    }
    if (!m_server) {
        finish(work_end::not_sent, makeResult(outcome_reason::cancelled));
        return;
    }
    m_core.activeCalls.add(m_call.attempt, m_call.request.context);
    m_core.ledger.open(m_call.attempt, m_call.request.context.retryAllowance);
    m_ledgerOpen = true;
    armDeadline();
    http_answer_rules rules;
    rules.ownerOf = [attempt = toHex(m_call.attempt.value)](const http_response &response) {
        const auto echoed = findHeader(response.headers, "cicadamux-call");
        if (!echoed) {
            return answer_owner::unnamed;
        }
        return *echoed == attempt ? answer_owner::request : answer_owner::other;
    };
    auto pending = server->client->send(
        forwardedRequest(),
        [self = shared_from_this()](http_result result) {
            self->handleResponse(std::move(result));
        },
        std::move(rules));
    const std::lock_guard lock(m_mutex);
    m_pending = std::move(pending);
}

http_request gated_call::forwardedRequest() const
{
    const call_request &request = m_call.request;
    http_request forwarded;
    forwarded.method = request.method;
    forwarded.target = request.target;
    forwarded.headers = request.headers;
    forwarded.body = request.body;
    const std::string id = toHex(m_call.attempt.value);
    const std::int64_t remaining = std::max<std::int64_t>((request.context.deadline - steadyNow()).count, 1);
    forwarded.headers.push_back({"cicadamux-call", id});
    forwarded.headers.push_back({"cicadamux-context", id});
    forwarded.headers.push_back({"cicadamux-deadline-ms", std::to_string(remaining)});
    forwarded.headers.push_back({"cicadamux-service", request.service});
    forwarded.headers.push_back({"cicadamux-operation", request.operation});
    return forwarded;
}

void gated_call::armDeadline()
{
    m_timer.expires_at(toChrono(m_call.request.context.deadline));
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled) {
            self->deadlinePassed();
        }
    });
}

void gated_call::deadlinePassed()
{
    abandonCall(outcome_reason::answer_timeout);
}

void gated_call::cancel()
{
    {
        const std::lock_guard lock(m_mutex);
        m_senderGone = true;
    }
    if (m_hooks.withdraw(m_call.attempt)) {
        refuse(outcome_reason::cancelled, noRankAdmitted);
        return;
    }
    abandonCall(outcome_reason::connection_lost);
}

void gated_call::abandonCall(outcome_reason reason)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stage != stage::running || m_cancelling) {
            return;
        }
        // An at-most-once call runs to completion, so that a repeat gets its actual outcome.
        m_cancelling = !m_ticket;
    }
    reply(makeResult(reason));
    if (!m_ticket) {
        requestCancellation();
    }
}

void gated_call::requestCancellation()
{
    m_backend.cancel(*m_server, m_call.attempt, [self = shared_from_this()](bool ended) {
        if (ended) {
            self->finish(work_end::cancelled, self->makeResult(outcome_reason::connection_lost));
            return;
        }
        self->m_timer.expires_after(std::chrono::milliseconds(cancelRetryInterval));
        self->m_timer.async_wait([self](boost::system::error_code cancelled) {
            const std::unique_lock lock(self->m_mutex);
            const bool stillRunning = self->m_stage == stage::running;
            if (!cancelled && stillRunning) {
                boost::asio::post(self->m_core.context, [self] {
                    self->requestCancellation();
                });
            }
        });
    });
}

void gated_call::handleResponse(http_result result)
{
    work_end end = work_end::answered;
    call_result outcome = classifyResponse(std::move(result), end);
    finish(end, std::move(outcome));
}

call_result gated_call::classifyResponse(http_result result, work_end &end) const
{
    switch (result.failure) {
    case http_failure::none:
        break;
    case http_failure::no_connection:
        end = work_end::not_sent;
        return makeResult(outcome_reason::daemon_busy);
    case http_failure::lost:
        end = work_end::failed;
        return makeResult(outcome_reason::connection_lost);
    case http_failure::broken_answer:
    case http_failure::mismatched_answer:
    case http_failure::memory_exhausted:
        end = work_end::failed;
        return makeResult(outcome_reason::answer_broken);
    }
    const auto echoed = findHeader(result.response.headers, "cicadamux-call");
    if (!echoed || *echoed != toHex(m_call.attempt.value)) {
        end = work_end::failed;
        return makeResult(outcome_reason::answer_broken);
    }
    if (findHeader(result.response.headers, "cicadamux-shed")) {
        end = work_end::shed;
        return makeResult(outcome_reason::shed);
    }
    call_result answer;
    answer.outcome = call_outcome::answered;
    answer.status = result.response.status;
    answer.headers = forwardableHeaders(result.response.headers);
    answer.body = std::move(result.response.body);
    end = answer.status >= http_status::firstServerError ? work_end::failed : work_end::answered;
    return answer;
}

void gated_call::refuse(outcome_reason reason, int rankAdmitted)
{
    call_result result = makeResult(reason);
    result.detail.rankAdmitted = rankAdmitted;
    {
        const std::lock_guard lock(m_mutex);
        checkInvariant(m_stage == stage::waiting, invariant::not_run_truth, "a call was refused after it had been sent to the backend server");
        m_stage = stage::ended;
    }
    recordTicketOutcome(result);
    reply(std::move(result));
    m_hooks.remove(m_call.attempt);
}

void gated_call::handleServerLoss(std::uint64_t instanceId)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stage != stage::running || m_server->instanceId != instanceId) {
            return;
        }
    }
    finish(work_end::server_gone, makeResult(outcome_reason::connection_lost));
}

void gated_call::finish(work_end end, call_result result)
{
    std::shared_ptr<pending_http_request> pending;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stage == stage::ended) {
            return;
        }
        const bool isReportedNotRun = outcomeOf(result.detail.reason) == call_outcome::not_run && result.outcome != call_outcome::answered;
        const bool isKnownNotRun = m_stage == stage::waiting || end == work_end::not_sent || end == work_end::shed;
        checkInvariant(!isReportedNotRun || isKnownNotRun, invariant::not_run_truth, "a call that had been sent to the backend server was reported as not run");
        m_stage = stage::ended;
        pending = std::move(m_pending);
    }
    m_timer.cancel();
    if (pending) {
        pending->abandon();
    }
    recordTicketOutcome(result);
    reply(std::move(result));
    m_hooks.releaseSlot(m_call.attempt, end);
    m_hooks.remove(m_call.attempt);
}

void gated_call::recordTicketOutcome(const call_result &result)
{
    if (!m_ticket) {
        return;
    }
    const auto sharedResult = std::make_shared<const call_result>(result);
    if (result.outcome == call_outcome::not_run) {
        m_core.tickets.refuse(*m_ticket, sharedResult);
    } else {
        m_core.tickets.finish(*m_ticket, sharedResult);
    }
}

void gated_call::reply(call_result result)
{
    std::function<void(peer_reply)> handler;
    {
        const std::lock_guard lock(m_mutex);
        handler = std::exchange(m_handler, nullptr);
    }
    if (!handler) {
        return;
    }
    m_core.activeCalls.remove(m_call.attempt);
    const std::uint32_t unspent = m_core.ledger.close(m_call.attempt);
    result.retriesUnspent = m_ledgerOpen ? unspent : m_call.request.context.retryAllowance;
    peer_reply answer;
    answer.attempt = m_call.attempt;
    answer.result = std::move(result);
    m_hooks.addGateState(answer);
    handler(std::move(answer));
}

call_result gated_call::makeResult(outcome_reason reason) const
{
    return makeRefused(makeRefusalDetail(m_core, reason, m_call.request.service, m_call.request.operation), 0);
}

} // namespace cicadamux::detail
