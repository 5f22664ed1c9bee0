/** @file request_attempts.cpp Sends attempts of a request to gates: chooses the host, sets the time limits, cancels. */

#include "sidecar/request_attempts_base.h"

#include <algorithm>
#include <utility>

namespace cicadamux
{

namespace
{
/** A client's request waits for a slot at most the latency objective divided by this; a later refusal leaves no time for another attempt. */
constexpr std::int64_t objectiveWaitDivisor = 8;
constexpr std::int64_t callWaitDivisor = 6; ///< A backend server's call waits at most its remaining time divided by this; a run may make several calls.
constexpr clock_ms minWait{20}; ///< For routes with a very short latency objective.
constexpr std::int64_t remainingWaitDivisor = 2; ///< Leaves half of the remaining time for the run, or for the refusal to arrive in time.
constexpr double minRunTimeSavedRatio = 0.1; ///< Share of the latency objective that a server in another data centre must save to justify the traffic.

/**
 * Longest wait for a slot at the gate. A call of a backend server may wait longer than a client's request, because its
 * refusal wastes the work that its run has already done.
 */
clock_ms longestWait(const inbound_request &inbound, clock_ms now)
{
    if (inbound.isCall) {
        return clock_ms{(inbound.limit - now).count / callWaitDivisor};
    }
    const clock_ms byObjective = std::max(minWait, clock_ms{inbound.route->latencyObjective.count / objectiveWaitDivisor});
    return std::min(byObjective, clock_ms{(inbound.limit - now).count / remainingWaitDivisor});
}
} // namespace

request_attempts::request_attempts(sidecar_core &core, server_gate &gate, host_directory &directory, reply_handler onEnded)
    : m_core(core)
    , m_gate(gate)
    , m_directory(directory)
    , m_onEnded(std::move(onEnded))
{
}

double request_attempts::expectedRun(std::string_view host, const route_rule &route) const
{
    return host == m_core.settings.host ? m_gate.expectedRun(route.name) : m_directory.expectedRun(host, route.name);
}

bool request_attempts::begin(const request_pointer &inbound)
{
    route_preference preference;
    preference.minRunTimeSaved = minRunTimeSavedRatio * static_cast<double>(inbound->route->latencyObjective.count);
    preference.expectedRun = [this, route = inbound->route](std::string_view host) {
        return expectedRun(host, *route);
    };
    while (true) {
        const std::optional<upstream> chosen = m_core.upstreams.choose(inbound->service, inbound->triedHosts, steadyNow(), preference);
        if (!chosen) {
            return false;
        }
        inbound->triedHosts.push_back(chosen->host);
        if (sendTo(inbound, chosen->host)) {
            return true;
        }
    }
}

bool request_attempts::sendTo(const request_pointer &inbound, const std::string &host)
{
    const std::uint64_t number = inbound->attempt.number + 1;
    inbound->attempt = {number, host, nullptr, call_id::invalid(), nullptr};
    m_core.upstreams.sent(inbound->service, host);
    auto handler = [this, inbound, number](link_reply reply) {
        handleReply(inbound, number, std::move(reply));
    };
    if (host == m_core.settings.host) {
        auto cancelLocal = m_gate.submit(makeCall(*inbound), std::move(handler));
        if (inbound->attempt.number == number && !inbound->isFinished) { // submit() may have replied already.
            inbound->attempt.cancelLocal = std::move(cancelLocal);
        }
        return true;
    }
    const std::shared_ptr<host_link> link = m_directory.find(host);
    const call_id id = link ? link->call(makeCall(*inbound), std::move(handler)) : call_id::invalid();
    if (!id.isValid()) {
        m_core.upstreams.ended(inbound->service, host, {false, true, 0, 0, 0, {}}, steadyNow());
        inbound->attempt.clear();
        return false;
    }
    inbound->attempt.link = link;
    inbound->attempt.linkCall = id;
    return true;
}

link_call request_attempts::makeCall(const inbound_request &inbound) const
{
    const clock_ms now = steadyNow();
    link_call call;
    call.remaining = inbound.limit - now;
    call.maxWait = longestWait(inbound, now);
    call.rank = inbound.route->rank;
    call.idempotent = inbound.route->idempotent;
    call.repeatWeight = inbound.repeatWeight;
    call.service = inbound.service;
    call.callerService = m_core.settings.backendService;
    call.requestId = inbound.requestId;
    call.route = inbound.route->name;
    call.method = inbound.request.method;
    call.target = inbound.request.target;
    call.headers = inbound.request.headers;
    call.body = inbound.request.body;
    return call;
}

void request_attempts::handleReply(const request_pointer &inbound, std::uint64_t number, link_reply reply)
{
    if (inbound->isFinished || inbound->attempt.number != number) {
        return;
    }
    reportResult(*inbound, reply);
    inbound->attempt.clear();
    m_onEnded(inbound, std::move(reply));
}

void request_attempts::reportResult(const inbound_request &inbound, const link_reply &reply)
{
    upstream_report report;
    report.gotReply = reply.report.limit > 0;
    report.failed = reply.outcome == call_outcome::unknown || reply.reason == outcome_reason::shed || reply.status >= 500;
    report.inUse = reply.report.inUse;
    report.waiting = reply.report.waiting;
    report.limit = reply.report.usableLimit;
    report.noRoomFor = reply.report.noRoomFor;
    m_core.upstreams.ended(inbound.service, inbound.attempt.host, report, steadyNow());
}

void request_attempts::cancel(inbound_request &inbound)
{
    if (!inbound.attempt.isRunning()) {
        return;
    }
    const running_attempt cancelled = inbound.attempt;
    inbound.attempt.clear();
    ++inbound.attempt.number;
    m_core.upstreams.ended(inbound.service, cancelled.host, upstream_report{}, steadyNow());
    if (cancelled.link) {
        cancelled.link->cancel(cancelled.linkCall);
        cancelled.link->forget(cancelled.linkCall);
    }
    if (cancelled.cancelLocal) {
        cancelled.cancelLocal();
    }
}

} // namespace cicadamux
