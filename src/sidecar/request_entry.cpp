/** @file request_entry.cpp Accepts requests of this host's clients and backend server, and answers each exactly once. */

#include "sidecar/request_entry_base.h"

#include "http/http_fields_func.h"
#include "http/http_status_type.h"
#include "sidecar/local_response_func.h"

#include <algorithm>

namespace cicadamux
{

namespace
{
constexpr std::uint32_t maxRefusals = 3; ///< Refusals by gates after which a request fails; each costs a round trip.
constexpr clock_ms minRetryTime{30}; ///< With less time left, a retry could not finish.

bool mayRetry(const inbound_request &inbound)
{
    return inbound.serversReached < inbound.route->maxServers && inbound.limit - steadyNow() > minRetryTime;
}
} // namespace

request_entry::request_entry(sidecar_core &core, server_gate &gate, host_directory &directory)
    : m_core(core)
    , m_gate(gate)
    , m_intake(core, gate.runningCalls())
    , m_attempts(core, gate, directory, [this](const request_pointer &inbound, link_reply reply) {
        handleReply(inbound, std::move(reply));
    })
{
}

request_entry::~request_entry() = default;

void request_entry::handle(http_request request, const std::shared_ptr<http_exchange> &exchange)
{
    const auto inbound = std::make_shared<inbound_request>(m_core.context);
    inbound->exchange = exchange;
    inbound->arrivedAt = steadyNow();
    m_core.stalls.check();
    const outcome_reason refusal = m_intake.admit(*inbound, std::move(request));
    if (refusal != outcome_reason::none) {
        fail(inbound, refusal);
        return;
    }
    if (inbound->route->idempotent) {
        exchange->allowNext();
    }
    track(inbound);
    startAttempt(inbound);
}

/** Registers the request. From here on it ends with a response, at its limit, or when its caller disconnects. */
void request_entry::track(const request_pointer &inbound)
{
    m_open.insert(inbound);
    inbound->exchange->onDisconnect([this, weak = std::weak_ptr(inbound)] {
        if (const auto locked = weak.lock()) {
            handleCallerGone(locked);
        }
    });
    armTimeout(inbound);
}

void request_entry::armTimeout(const request_pointer &inbound)
{
    inbound->timer.expires_after(detail::toChrono(inbound->limit - steadyNow()));
    inbound->timer.async_wait([this, weak = std::weak_ptr(inbound)](boost::system::error_code cancelled) {
        if (cancelled || weak.expired()) {
            return;
        }
        m_core.reads.pass([this, weak] {
            if (const auto locked = weak.lock()) {
                handleTimeout(locked);
            }
        });
    });
}

void request_entry::handleStall(const stall &found)
{
    for (const request_pointer &inbound : m_open) {
        inbound->limit = inbound->limit - found.uncounted;
        armTimeout(inbound);
    }
}

void request_entry::startAttempt(const request_pointer &inbound)
{
    if (m_attempts.begin(inbound)) {
        return;
    }
    const outcome_reason reason = inbound->refusalReason != outcome_reason::none ? inbound->refusalReason : outcome_reason::no_upstream;
    fail(inbound, inbound->mayHaveRun ? outcome_reason::connection_lost : reason);
}

void request_entry::handleReply(const request_pointer &inbound, link_reply reply)
{
    const bool isFailure = reply.outcome == call_outcome::answered && reply.status >= http_status::firstServerError;
    if (reply.reachedServer) {
        m_intake.runEnded(*inbound, isFailure && reply.lostCall == call_loss::no_capacity);
    }
    if (reply.outcome == call_outcome::not_run && !reply.reachedServer) {
        handleRefusal(inbound, reply);
    } else if (reply.outcome == call_outcome::answered && !isFailure) {
        deliver(inbound, std::move(reply));
    } else {
        retryOrFinish(inbound, std::move(reply));
    }
}

/** Handles a gate's refusal. No backend server received the request, so another attempt doesn't count against the retry budget. */
void request_entry::handleRefusal(const request_pointer &inbound, const link_reply &reply)
{
    ++inbound->refusals;
    inbound->refusalReason = reply.reason;
    if (reply.retryAfter.count > 0 && (inbound->retryAfter.count == 0 || reply.retryAfter < inbound->retryAfter)) {
        inbound->retryAfter = reply.retryAfter;
    }
    if (inbound->refusals < maxRefusals && reply.reason != outcome_reason::deadline_passed) {
        startAttempt(inbound);
    } else {
        fail(inbound, reply.reason);
    }
}

/** Handles an attempt that may have reached a backend server and brought no successful answer. */
void request_entry::retryOrFinish(const request_pointer &inbound, link_reply reply)
{
    const bool isNotRun = reply.outcome == call_outcome::not_run;
    const bool isAnswered = reply.outcome == call_outcome::answered;
    ++inbound->serversReached;
    inbound->mayHaveRun = inbound->mayHaveRun || !isNotRun;
    inbound->lostCall = reply.lostCall;
    // A retry of a run that lost a call would make the same calls again.
    const bool isUseful = (isNotRun || inbound->route->idempotent) && !(isAnswered && reply.lostCall != call_loss::none) && mayRetry(*inbound);
    const bool isAffordable = isUseful && m_core.repeats.take(inbound->service, steadyNow());
    if (isAffordable) {
        inbound->repeatWeight = isNotRun ? inbound->repeatWeight : 1;
        startAttempt(inbound);
    } else if (isAnswered) {
        deliver(inbound, std::move(reply));
    } else if (isUseful && !isNotRun) {
        fail(inbound, outcome_reason::retries_exhausted);
    } else {
        fail(inbound, reply.reason == outcome_reason::none ? outcome_reason::answer_broken : reply.reason);
    }
}

void request_entry::linkChanged(const std::string &host, link_health health)
{
    if (health == link_health::up) {
        return;
    }
    std::vector<request_pointer> affected;
    std::ranges::copy_if(m_open, std::back_inserter(affected), [&host](const request_pointer &open) {
        return open->attempt.host == host && open->attempt.link && open->route->idempotent;
    });
    for (const request_pointer &inbound : affected) {
        if (!inbound->isFinished) {
            retryElsewhere(inbound);
        }
    }
}

/** Replaces an attempt that may have been executed, if the retry budget allows another; otherwise keeps waiting for its reply. */
void request_entry::retryElsewhere(const request_pointer &inbound)
{
    ++inbound->serversReached;
    if (!mayRetry(*inbound) || !m_core.repeats.take(inbound->service, steadyNow())) {
        --inbound->serversReached;
        return;
    }
    inbound->mayHaveRun = true;
    inbound->repeatWeight = 1;
    m_attempts.cancel(*inbound);
    startAttempt(inbound);
}

std::size_t request_entry::openCount() const
{
    return m_open.size();
}

void request_entry::handleTimeout(const request_pointer &inbound)
{
    if (!inbound->isFinished) {
        giveUp(inbound, outcome_reason::answer_timeout);
    }
}

/** Fails a request whose attempt is in progress. It isn't known here whether that is still queued at a gate or being executed. */
void request_entry::giveUp(const request_pointer &inbound, outcome_reason reason)
{
    inbound->mayHaveRun = inbound->mayHaveRun || inbound->attempt.isRunning();
    m_attempts.cancel(*inbound);
    fail(inbound, reason);
}

void request_entry::endBlocking()
{
    endIf([](const inbound_request &inbound) {
        return inbound.exchange->holdsBackAnswers();
    });
}

void request_entry::endAll()
{
    endIf([](const inbound_request &) {
        return true;
    });
}

void request_entry::endIf(const std::function<bool(const inbound_request &inbound)> &mayEnd)
{
    const std::vector<request_pointer> open(m_open.begin(), m_open.end()); // A request that fails can end others, such as the calls of its run.
    for (const request_pointer &inbound : open) {
        if (!inbound->isFinished && mayEnd(*inbound)) {
            giveUp(inbound, outcome_reason::draining);
        }
    }
}

void request_entry::handleCallerGone(const request_pointer &inbound)
{
    if (inbound->isFinished) {
        return;
    }
    inbound->isFinished = true;
    inbound->timer.cancel();
    m_attempts.cancel(*inbound);
    m_open.erase(inbound);
    logOutcome(*inbound, 0, outcome_reason::cancelled);
}

void request_entry::deliver(const request_pointer &inbound, link_reply reply)
{
    http_response response;
    response.status = reply.status;
    response.headers = std::move(reply.headers);
    response.body = std::move(reply.body);
    std::erase_if(response.headers, [](const http_field &field) {
        return isHopByHop(field.name);
    });
    respond(inbound, std::move(response), outcome_reason::none);
}

/** Responds without a backend server's answer. */
void request_entry::fail(const request_pointer &inbound, outcome_reason reason)
{
    respond(inbound, makeLocalResponse(*inbound, reason, m_core.adapter.headers.requestId), reason);
}

void request_entry::respond(const request_pointer &inbound, http_response response, outcome_reason reason)
{
    if (inbound->isFinished) {
        return;
    }
    if (reason != outcome_reason::none || response.status >= http_status::firstServerError) {
        recordLostCall(*inbound, reason);
    }
    inbound->isFinished = true;
    inbound->timer.cancel();
    m_open.erase(inbound);
    const unsigned status = response.status;
    inbound->exchange->respond(std::move(response));
    logOutcome(*inbound, status, reason);
    recordMetrics(*inbound, reason);
}

/** Records the lost call at the runs that may have made it. */
void request_entry::recordLostCall(const inbound_request &inbound, outcome_reason reason)
{
    const bool hadNoCapacity = reason == outcome_reason::overloaded || reason == outcome_reason::queue_timeout || inbound.lostCall == call_loss::no_capacity;
    m_gate.runningCalls().recordLostCall(inbound.parents, hadNoCapacity ? call_loss::no_capacity : call_loss::failed);
}

void request_entry::recordMetrics(const inbound_request &inbound, outcome_reason reason)
{
    if (inbound.route == nullptr) {
        return;
    }
    constexpr double second = 1'000; // Milliseconds.
    const double seconds = static_cast<double>((steadyNow() - inbound.arrivedAt).count) / second;
    m_core.metrics.recordCall(inbound.service, inbound.route->name, outcomeOf(inbound, reason), reason, seconds);
}

/** @return Outcome as reported to the caller; an error response of a backend server counts as answered. */
call_outcome request_entry::outcomeOf(const inbound_request &inbound, outcome_reason reason)
{
    if (reason == outcome_reason::none) {
        return call_outcome::answered;
    }
    return inbound.mayHaveRun ? call_outcome::unknown : call_outcome::not_run;
}

void request_entry::recordFailure(const inbound_request &inbound, unsigned status, outcome_reason reason, const std::string &tried)
{
    request_record record;
    record.at = wallNow();
    record.requestId = inbound.requestId;
    record.route = inbound.route == nullptr ? "none" : inbound.route->name;
    record.service = inbound.service;
    record.outcome = outcomeOf(inbound, reason);
    record.reason = reason;
    record.status = status;
    record.tried = tried;
    record.held = steadyNow() - inbound.arrivedAt;
    record.configuration = m_core.routes.version();
    m_core.failures.add(std::move(record));
}

void request_entry::logOutcome(const inbound_request &inbound, unsigned status, outcome_reason reason)
{
    const bool isFailure = reason != outcome_reason::none || status >= http_status::firstServerError;
    std::string tried;
    for (const std::string &host : inbound.triedHosts) {
        tried += (tried.empty() ? "" : ",") + host;
    }
    if (isFailure) {
        recordFailure(inbound, status, reason, tried);
    }
    if (isFailure ? !m_core.log.mayLogFailure() : !m_core.log.mayLogSuccess()) {
        return;
    }
    constexpr double percent = 100;
    logEvent(log_level::info,
             isFailure ? "request_failed" : "request_answered",
             {{"request", inbound.requestId},
              {"route", inbound.route == nullptr ? std::string_view("none") : std::string_view(inbound.route->name)},
              {"service", inbound.service},
              {"status", status},
              {"reason", toString(reason)},
              {"tried", tried},
              {"servers_reached", inbound.serversReached},
              {"unknown", inbound.mayHaveRun},
              {"is_call", inbound.isCall},
              {"admitted_percent", static_cast<std::int32_t>(inbound.admittedFraction * percent)},
              {"parents", static_cast<std::uint64_t>(inbound.parents.candidates.size())},
              {"held_ms", (steadyNow() - inbound.arrivedAt).count},
              {"limit_ms", inbound.limit.count == 0 ? 0 : (inbound.limit - inbound.arrivedAt).count},
              {"retry_after_ms", inbound.retryAfter.count},
              {"configuration", m_core.routes.version()}});
}

} // namespace cicadamux
