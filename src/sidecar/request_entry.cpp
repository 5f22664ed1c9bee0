/** @file request_entry.cpp Takes the requests of this host's clients and backend server, and answers each once. */

#include "sidecar/request_entry_base.h"

#include "http/http_fields_func.h"
#include "http/http_status_type.h"
#include "sidecar/own_answer_func.h"

#include <algorithm>

namespace cicadamux
{

namespace
{
constexpr std::uint32_t maxRefusals = 3; ///< Gates that may refuse one request; each costs a round trip.
constexpr clock_ms leastRepeatTime{30}; ///< With less time left a repeat has no use.

bool mayRepeat(const entered_request &entered)
{
    return entered.serversReached < entered.route->maxServers && entered.limit - steadyNow() > leastRepeatTime;
}
} // namespace

request_entry::request_entry(sidecar_core &core, server_gate &gate, host_directory &directory)
    : m_core(core)
    , m_gate(gate)
    , m_intake(core, gate.running())
    , m_attempts(core, gate, directory, [this](const request_pointer &entered, link_reply reply) {
        ended(entered, std::move(reply));
    })
{
}

request_entry::~request_entry() = default;

void request_entry::handle(http_request request, const std::shared_ptr<http_exchange> &exchange)
{
    const auto entered = std::make_shared<entered_request>(m_core.context);
    entered->exchange = exchange;
    entered->arrivedAt = steadyNow();
    const outcome_reason refusal = m_intake.take(*entered, std::move(request));
    if (refusal != outcome_reason::none) {
        fail(entered, refusal);
        return;
    }
    if (entered->route->idempotent) {
        exchange->allowNext();
    }
    open(entered);
    attempt(entered);
}

/** From here on the request ends with an answer, at its limit, or with its caller. */
void request_entry::open(const request_pointer &entered)
{
    m_open.insert(entered);
    entered->exchange->onGone([this, known = std::weak_ptr(entered)] {
        if (const auto still = known.lock()) {
            callerGone(still);
        }
    });
    entered->timer.expires_after(detail::toChrono(entered->limit - steadyNow()));
    entered->timer.async_wait([this, known = std::weak_ptr(entered)](boost::system::error_code cancelled) {
        const auto still = known.lock();
        if (!cancelled && still) {
            timeUp(still);
        }
    });
}

void request_entry::attempt(const request_pointer &entered)
{
    if (m_attempts.begin(entered)) {
        return;
    }
    const outcome_reason known = entered->refusedFor != outcome_reason::none ? entered->refusedFor : outcome_reason::no_upstream;
    fail(entered, entered->isUnknown ? outcome_reason::connection_lost : known);
}

void request_entry::ended(const request_pointer &entered, link_reply reply)
{
    const bool isFailure = reply.outcome == call_outcome::answered && reply.status >= http_status::firstServerError;
    if (reply.reachedServer) {
        m_intake.runEnded(*entered, isFailure && reply.lostCall == call_loss::no_room);
    }
    if (reply.outcome == call_outcome::not_run && !reply.reachedServer) {
        refused(entered, reply);
    } else if (reply.outcome == call_outcome::answered && !isFailure) {
        answer(entered, std::move(reply));
    } else {
        repeatOrFinish(entered, std::move(reply));
    }
}

/** After a gate's refusal: no backend server saw the request, so another try costs nobody anything. */
void request_entry::refused(const request_pointer &entered, const link_reply &reply)
{
    ++entered->refusals;
    entered->refusedFor = reply.reason;
    if (reply.retryAfter.count > 0 && (entered->retryAfter.count == 0 || reply.retryAfter < entered->retryAfter)) {
        entered->retryAfter = reply.retryAfter;
    }
    if (entered->refusals < maxRefusals && reply.reason != outcome_reason::deadline_passed) {
        attempt(entered);
    } else {
        fail(entered, reply.reason);
    }
}

/** After an attempt that reached a backend server and brought no good answer. */
void request_entry::repeatOrFinish(const request_pointer &entered, link_reply reply)
{
    const bool isNotRun = reply.outcome == call_outcome::not_run;
    const bool isAnswered = reply.outcome == call_outcome::answered;
    ++entered->serversReached;
    entered->isUnknown = entered->isUnknown || !isNotRun;
    entered->lostCall = reply.lostCall;
    // A run that lost a call would make the same calls again.
    const bool hasUse = (isNotRun || entered->route->idempotent) && !(isAnswered && reply.lostCall != call_loss::none) && mayRepeat(*entered);
    const bool isAffordable = hasUse && m_core.repeats.take(entered->service, steadyNow());
    if (isAffordable) {
        entered->repeatWeight = isNotRun ? entered->repeatWeight : 1;
        attempt(entered);
    } else if (isAnswered) {
        answer(entered, std::move(reply));
    } else if (hasUse && !isNotRun) {
        fail(entered, outcome_reason::retries_exhausted);
    } else {
        fail(entered, reply.reason == outcome_reason::none ? outcome_reason::answer_broken : reply.reason);
    }
}

void request_entry::linkChanged(const std::string &host, link_health health)
{
    if (health == link_health::up) {
        return;
    }
    std::vector<request_pointer> affected;
    std::ranges::copy_if(m_open, std::back_inserter(affected), [&host](const request_pointer &open) {
        return open->running.host == host && open->running.link && open->route->idempotent;
    });
    for (const request_pointer &entered : affected) {
        if (!entered->isOver) {
            repeatElsewhere(entered);
        }
    }
}

/** Takes an attempt back that may have run, if another one is affordable; else its answer is still awaited. */
void request_entry::repeatElsewhere(const request_pointer &entered)
{
    ++entered->serversReached;
    if (!mayRepeat(*entered) || !m_core.repeats.take(entered->service, steadyNow())) {
        --entered->serversReached;
        return;
    }
    entered->isUnknown = true;
    entered->repeatWeight = 1;
    m_attempts.cancel(*entered);
    attempt(entered);
}

std::size_t request_entry::openCount() const
{
    return m_open.size();
}

void request_entry::timeUp(const request_pointer &entered)
{
    if (entered->isOver) {
        return;
    }
    // Whether a gate holds it or a backend server works on it isn't known here.
    entered->isUnknown = entered->isUnknown || entered->running.isRunning();
    m_attempts.cancel(*entered);
    fail(entered, outcome_reason::answer_timeout);
}

void request_entry::callerGone(const request_pointer &entered)
{
    if (entered->isOver) {
        return;
    }
    entered->isOver = true;
    entered->timer.cancel();
    m_attempts.cancel(*entered);
    m_open.erase(entered);
    logEnd(*entered, 0, outcome_reason::cancelled);
}

void request_entry::answer(const request_pointer &entered, link_reply reply)
{
    http_response response;
    response.status = reply.status;
    response.headers = std::move(reply.headers);
    response.body = std::move(reply.body);
    std::erase_if(response.headers, [](const http_field &field) {
        return isHopByHop(field.name);
    });
    respond(entered, std::move(response), outcome_reason::none);
}

/** Answers without an answer of a backend server. */
void request_entry::fail(const request_pointer &entered, outcome_reason reason)
{
    respond(entered, ownAnswer(*entered, reason, m_core.adapter.headers.requestId), reason);
}

void request_entry::respond(const request_pointer &entered, http_response response, outcome_reason reason)
{
    if (entered->isOver) {
        return;
    }
    if (reason != outcome_reason::none || response.status >= http_status::firstServerError) {
        noteLostCall(*entered, reason);
    }
    entered->isOver = true;
    entered->timer.cancel();
    m_open.erase(entered);
    const unsigned status = response.status;
    entered->exchange->respond(std::move(response));
    logEnd(*entered, status, reason);
    measure(*entered, reason);
}

/** Tells the runs that may have made this call that they lost it. */
void request_entry::noteLostCall(const entered_request &entered, outcome_reason reason)
{
    const bool hadNoRoom = reason == outcome_reason::overloaded || reason == outcome_reason::queue_timeout || entered.lostCall == call_loss::no_room;
    m_gate.running().noteLostCall(entered.parents, hadNoRoom ? call_loss::no_room : call_loss::failed);
}

void request_entry::measure(const entered_request &entered, outcome_reason reason)
{
    if (entered.route == nullptr) {
        return;
    }
    constexpr double second = 1'000; // Milliseconds.
    const double seconds = static_cast<double>((steadyNow() - entered.arrivedAt).count) / second;
    m_core.metrics.callEnded(entered.service, entered.route->name, outcomeOf(entered, reason), reason, seconds);
}

/** @return What the caller was told; a failure that a backend server made counts as answered. */
call_outcome request_entry::outcomeOf(const entered_request &entered, outcome_reason reason)
{
    if (reason == outcome_reason::none) {
        return call_outcome::answered;
    }
    return entered.isUnknown ? call_outcome::unknown : call_outcome::not_run;
}

void request_entry::remember(const entered_request &entered, unsigned status, outcome_reason reason, const std::string &tried)
{
    remembered_request known;
    known.at = wallNow();
    known.requestId = entered.requestId;
    known.route = entered.route == nullptr ? "none" : entered.route->name;
    known.service = entered.service;
    known.outcome = outcomeOf(entered, reason);
    known.reason = reason;
    known.status = status;
    known.tried = tried;
    known.held = steadyNow() - entered.arrivedAt;
    known.configuration = m_core.routes.version();
    m_core.failures.note(std::move(known));
}

void request_entry::logEnd(const entered_request &entered, unsigned status, outcome_reason reason)
{
    const bool isFailure = reason != outcome_reason::none || status >= http_status::firstServerError;
    std::string tried;
    for (const std::string &host : entered.triedHosts) {
        tried += (tried.empty() ? "" : ",") + host;
    }
    if (isFailure) {
        remember(entered, status, reason, tried);
    }
    if (isFailure ? !m_core.log.mayLogFailure() : !m_core.log.mayLogSuccess()) {
        return;
    }
    constexpr double percent = 100;
    logEvent(log_level::info,
             isFailure ? "request_failed" : "request_answered",
             {{"request", entered.requestId},
              {"route", entered.route == nullptr ? std::string_view("none") : std::string_view(entered.route->name)},
              {"service", entered.service},
              {"status", status},
              {"reason", toString(reason)},
              {"tried", tried},
              {"servers_reached", entered.serversReached},
              {"unknown", entered.isUnknown},
              {"is_call", entered.isCall},
              {"admitted_percent", static_cast<std::int32_t>(entered.admittedPart * percent)},
              {"parents", static_cast<std::uint64_t>(entered.parents.candidates.size())},
              {"held_ms", (steadyNow() - entered.arrivedAt).count},
              {"limit_ms", (entered.limit - entered.arrivedAt).count},
              {"retry_after_ms", entered.retryAfter.count},
              {"configuration", m_core.routes.version()}});
}

} // namespace cicadamux
