/** @file request_attempts.cpp Sends requests to gates: which host, with how much time, and taken back again. */

#include "sidecar/request_attempts_base.h"

#include <algorithm>
#include <utility>

namespace cicadamux
{

namespace
{
constexpr std::int64_t waitPart
    = 8; ///< A call waits at most this part of its route's latency objective: a refusal later than that comes too late for a second try.
constexpr std::int64_t callWaitPart = 6; ///< A backend server's own call waits at most this part of the time that is left; a run may make several.
constexpr clock_ms leastWait{20}; ///< For routes with a very short latency objective.
constexpr std::int64_t lastWaitPart = 2; ///< Of the time that is left: the rest is for the run, or for the refusal to come back in time.
constexpr double spillPart = 0.1; ///< Of the latency objective: what a faster server must gain to be worth the bytes to another data centre.

/** Work is already done for a call that a backend server makes, and is lost with it: it may wait as long as it has use. */
clock_ms longestWait(const entered_request &entered, clock_ms now)
{
    if (entered.isCall) {
        return clock_ms{(entered.limit - now).count / callWaitPart};
    }
    const clock_ms byObjective = std::max(leastWait, clock_ms{entered.route->latencyObjective.count / waitPart});
    return std::min(byObjective, clock_ms{(entered.limit - now).count / lastWaitPart});
}
} // namespace

request_attempts::request_attempts(sidecar_core &core, server_gate &gate, host_directory &directory, reply_handler ended)
    : m_core(core)
    , m_gate(gate)
    , m_directory(directory)
    , m_ended(std::move(ended))
{
}

double request_attempts::expectedRun(std::string_view host, const route_rule &route) const
{
    return host == m_core.settings.host ? m_gate.expectedRun(route.name) : m_directory.expectedRun(host, route.name);
}

bool request_attempts::begin(const request_pointer &entered)
{
    route_preference preference;
    preference.spillGain = spillPart * static_cast<double>(entered->route->latencyObjective.count);
    preference.expectedRun = [this, route = entered->route](std::string_view host) {
        return expectedRun(host, *route);
    };
    while (true) {
        const std::optional<upstream> chosen = m_core.upstreams.choose(entered->service, entered->triedHosts, steadyNow(), preference);
        if (!chosen) {
            return false;
        }
        entered->triedHosts.push_back(chosen->host);
        if (sendTo(entered, chosen->host)) {
            return true;
        }
    }
}

bool request_attempts::sendTo(const request_pointer &entered, const std::string &host)
{
    const std::uint64_t number = entered->running.number + 1;
    entered->running = {number, host, nullptr, call_id::invalid(), nullptr};
    m_core.upstreams.sent(entered->service, host);
    auto handler = [this, entered, number](link_reply reply) {
        replied(entered, number, std::move(reply));
    };
    if (host == m_core.settings.host) {
        auto cancelLocal = m_gate.take(makeCall(*entered), std::move(handler));
        if (entered->running.number == number && !entered->isOver) { // The gate may have replied already.
            entered->running.cancelLocal = std::move(cancelLocal);
        }
        return true;
    }
    const std::shared_ptr<host_link> link = m_directory.find(host);
    const call_id id = link ? link->call(makeCall(*entered), std::move(handler)) : call_id::invalid();
    if (!id.isValid()) {
        m_core.upstreams.ended(entered->service, host, {false, true, 0, 0, 0}, steadyNow());
        entered->running.end();
        return false;
    }
    entered->running.link = link;
    entered->running.linkCall = id;
    return true;
}

link_call request_attempts::makeCall(const entered_request &entered) const
{
    const clock_ms now = steadyNow();
    link_call call;
    call.remaining = entered.limit - now;
    call.maxWait = longestWait(entered, now);
    call.rank = entered.route->rank;
    call.idempotent = entered.route->idempotent;
    call.repeatWeight = entered.repeatWeight;
    call.service = entered.service;
    call.callerService = m_core.settings.backendService;
    call.requestId = entered.requestId;
    call.route = entered.route->name;
    call.method = entered.request.method;
    call.target = entered.request.target;
    call.headers = entered.request.headers;
    call.body = entered.request.body;
    return call;
}

void request_attempts::replied(const request_pointer &entered, std::uint64_t number, link_reply reply)
{
    if (entered->isOver || entered->running.number != number) {
        return;
    }
    noteEnd(*entered, reply);
    entered->running.end();
    m_ended(entered, std::move(reply));
}

void request_attempts::noteEnd(const entered_request &entered, const link_reply &reply)
{
    upstream_report report;
    report.reached = reply.report.limit > 0;
    report.failed = reply.outcome == call_outcome::unknown || reply.reason == outcome_reason::shed || reply.status >= 500;
    report.inUse = reply.report.inUse;
    report.waiting = reply.report.waiting;
    report.limit = reply.report.limit;
    m_core.upstreams.ended(entered.service, entered.running.host, report, steadyNow());
}

void request_attempts::cancel(entered_request &entered)
{
    if (!entered.running.isRunning()) {
        return;
    }
    const running_attempt given = entered.running;
    entered.running.end();
    ++entered.running.number;
    m_core.upstreams.ended(entered.service, given.host, upstream_report{}, steadyNow());
    if (given.link) {
        given.link->cancel(given.linkCall);
        given.link->forget(given.linkCall);
    }
    if (given.cancelLocal) {
        given.cancelLocal();
    }
}

} // namespace cicadamux
