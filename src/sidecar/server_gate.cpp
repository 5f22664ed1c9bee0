/** @file server_gate.cpp Admission queue in front of this host's backend server; every call passes through it. */

#include "sidecar/server_gate_base.h"

#include "core/invariant_func.h"
#include "http/http_fields_func.h"
#include "http/http_status_type.h"

namespace cicadamux
{

namespace
{
constexpr clock_ms responseGrace{150}; ///< After a call's deadline, so that the backend server can still report the time-out itself.
constexpr clock_ms connectTimeout{400}; ///< The backend server is on this host, so a connect that takes longer means that it is down.
constexpr std::size_t maxGroups = 2'048; ///< Routes that the queue tells apart.
constexpr clock_ms defaultRetryAfter{300}; ///< Retry-After where no better estimate exists.
constexpr clock_ms paceLogPeriod{1'000};

bool isSuccess(unsigned status)
{
    return status >= http_status::ok && status < http_status::firstRedirect;
}

/** Callers take these statuses to mean that the request was not executed. */
bool impliesNotRun(unsigned status)
{
    return status == http_status::tooManyRequests || status == http_status::unavailable || status == http_status::misdirected
        || status == http_status::requestTimeout;
}

http_limits clientLimits(const daemon_settings &settings)
{
    http_limits limits;
    limits.maxConnections = settings.maxConnections;
    limits.maxHeaderBytes = settings.maxHeaderBytes;
    limits.maxBodyBytes = settings.maxBodyBytes;
    limits.connectTimeout = connectTimeout;
    return limits;
}
} // namespace

/** A call from its arrival until its reply. */
struct server_gate::gated_call {
    gated_call(boost::asio::io_context &context)
        : timer(context)
    {
    }

    call_id id;
    link_call call;
    link_responder responder; ///< Empty once the reply was sent.
    clock_ms arrivedAt;
    clock_ms deadline; ///< Instant.
    clock_ms waited; ///< Time waited for a slot.
    clock_ms sentAt; ///< Set once `isRunning`.
    bool isRunning = false; ///< Holds a slot.
    std::string serverId; ///< Id of the backend server that it was sent to.
    std::shared_ptr<pending_http_request> pending;
    http_failure transport = http_failure::none; ///< Why there was no usable response.
    byte_reservation body;
    boost::asio::steady_timer timer;
};

server_gate::server_gate(sidecar_core &core)
    : m_core(core)
    , m_registry(core.settings.backendService, core.settings.backendAddress, core.bounds.heartbeat)
    , m_queue(slot_queue_settings{})
    , m_client(core.context, core.settings.backendAddress, clientLimits(core.settings))
{
}

server_gate::~server_gate() = default;

std::function<void()> server_gate::submit(link_call call, link_responder responder)
{
    const clock_ms now = steadyNow();
    if (m_core.stalls.maxUnreadTime().count > 0) { // The call may be older than its stated remaining time says.
        refuse(responder, outcome_reason::daemon_busy, defaultRetryAfter);
        return [] {};
    }
    if (call.service != m_core.settings.backendService) {
        refuse(responder, outcome_reason::no_upstream, defaultRetryAfter);
        return [] {};
    }
    if (m_core.wouldBeCutOff(now, now + call.remaining)) {
        refuse(responder, outcome_reason::draining, defaultRetryAfter);
        return [] {};
    }
    byte_reservation body(m_core.heldBytes);
    if (!body.tryResize(call.body.size())) {
        refuse(responder, outcome_reason::daemon_busy, defaultRetryAfter);
        return [] {};
    }
    const auto gated = std::make_shared<gated_call>(m_core.context);
    gated->body = std::move(body);
    gated->id = call_id{++m_lastId};
    gated->arrivedAt = now;
    gated->deadline = now + call.remaining;
    gated->responder = std::move(responder);
    const slot_request request{gated->id, call.rank, gated->deadline, now + call.maxWait, groupOf(call.route)};
    gated->call = std::move(call);
    m_calls.emplace(gated->id, gated);
    m_queue.submit(request, now, m_decisions);
    applyDecisions();
    return [this, weak = std::weak_ptr(gated)] {
        if (const auto locked = weak.lock()) {
            cancel(locked);
        }
    };
}

void server_gate::applySettings()
{
    m_client.setLimits(clientLimits(m_core.settings));
    m_registry.setHeartbeat(m_core.bounds.heartbeat);
}

heartbeat_verdict server_gate::heartbeat(const server_announcement &announcement)
{
    const known_server before = m_registry.current();
    const heartbeat_verdict verdict = m_registry.heartbeat(announcement, steadyNow());
    const known_server &after = m_registry.current();
    const bool isChanged = before.id != after.id || before.startedAt != after.startedAt || before.state != after.state || before.slots != after.slots;
    if (before.id != after.id || before.startedAt != after.startedAt) {
        m_runTimes.clear();
        m_lastNotice = {};
        m_isHeard = false;
        setRate(std::nullopt);
    }
    if (verdict == heartbeat_verdict::accepted && isChanged) {
        stateChanged("heartbeat");
    }
    return verdict;
}

void server_gate::departure(const std::string &id, std::optional<clock_ms> startedAt)
{
    const server_state before = m_registry.current().state;
    m_registry.departure(id, startedAt, steadyNow());
    if (m_registry.current().state != before) {
        stateChanged("departure");
    }
}

void server_gate::stateChanged(std::string_view why)
{
    const known_server &server = m_registry.current();
    const clock_ms now = steadyNow();
    if (server.state == server_state::serving) {
        m_queue.setSlots(server.slots, now, m_decisions);
    } else {
        m_queue.close(server.state == server_state::draining ? outcome_reason::draining : outcome_reason::no_upstream, now, m_decisions);
    }
    logEvent(log_level::info,
             "server_changed",
             {{"server", server.id},
              {"state", toString(server.state)},
              {"born", server.startedAt.count},
              {"sequence", server.sequence},
              {"slots", server.slots},
              {"why", why}});
    applyDecisions();
}

void server_gate::tick()
{
    const clock_ms now = steadyNow();
    m_queue.tick(now, m_decisions);
    applyDecisions();
    logPace(now);
}

/** Logs how many calls a backend server that states a rate gets. */
void server_gate::logPace(clock_ms now)
{
    if (now - m_paceLoggedAt < paceLogPeriod) {
        return;
    }
    if (m_rate) {
        logEvent(log_level::info,
                 "server_pace",
                 {{"server", m_registry.current().id},
                  {"max_rate", std::to_string(*m_rate)},
                  {"sent", m_sent},
                  {"for_ms", (now - m_paceLoggedAt).count},
                  {"waiting", m_queue.snapshot(steadyNow()).waiting}});
    }
    m_sent = 0;
    m_paceLoggedAt = now;
}

void server_gate::handleStall(const stall &found)
{
    const clock_ms now = steadyNow();
    m_queue.close(outcome_reason::daemon_busy, now, m_decisions);
    if (m_registry.current().state == server_state::serving) {
        m_queue.setSlots(m_registry.current().slots, now, m_decisions);
    }
    for (const auto &[id, call] : m_calls) {
        if (call->isRunning) {
            call->deadline = call->deadline - found.uncounted;
            armTimeout(call);
        }
    }
    applyDecisions();
}

host_report server_gate::report() const
{
    const slot_snapshot queue = m_queue.snapshot(steadyNow());
    host_report report;
    report.incarnation = m_core.incarnation;
    report.configurationVersion = m_core.routes.version();
    report.server = m_registry.current().state;
    report.inUse = queue.inUse;
    report.waiting = queue.waiting;
    report.limit = queue.limit;
    report.usableLimit = queue.usableLimit;
    report.noRoomFor = queue.noRoomFor;
    report.statement = {m_registry.current().incarnation(), m_isHeard, m_rate, m_registry.isLeaving()};
    report.meanRun = queue.meanRun;
    report.leaving = m_core.stop.has_value();
    return report;
}

host_report server_gate::fullReport() const
{
    host_report full = report();
    for (const auto &[route, mean] : m_runTimes.means(steadyNow())) {
        full.runs.push_back({route, clock_ms{static_cast<std::int64_t>(mean)}});
    }
    return full;
}

double server_gate::expectedRun(std::string_view route) const
{
    return m_runTimes.mean(route, steadyNow());
}

const known_server &server_gate::server() const
{
    return m_registry.current();
}

running_calls &server_gate::runningCalls()
{
    return m_running;
}

std::size_t server_gate::callCount() const
{
    return m_calls.size();
}

/** Applies the queue's decisions until none is left; a nested call returns at once, since the outer one also applies new decisions. */
void server_gate::applyDecisions()
{
    if (m_isApplyingDecisions) {
        return;
    }
    m_isApplyingDecisions = true;
    while (!m_decisions.empty()) {
        const std::vector<slot_decision> decisions = std::exchange(m_decisions, {});
        for (const slot_decision &decision : decisions) {
            const auto found = m_calls.find(decision.call);
            if (found == m_calls.end()) {
                continue;
            }
            const call_pointer call = found->second;
            call->waited = decision.waited;
            if (decision.admitted) {
                sendOrRefuse(call);
                continue;
            }
            link_reply reply;
            reply.outcome = call_outcome::not_run;
            reply.reason = decision.reason;
            reply.retryAfter = decision.retryAfter;
            finish(call, false, std::move(reply));
        }
    }
    m_isApplyingDecisions = false;
}

/** @return The queue's group for a route; routes beyond the bound share one. */
std::uint32_t server_gate::groupOf(const std::string &route)
{
    const auto found = m_groups.find(route);
    if (found != m_groups.end()) {
        return found->second;
    }
    if (m_groups.size() >= maxGroups) {
        return 0;
    }
    return m_groups.emplace(route, static_cast<std::uint32_t>(m_groups.size() + 1)).first->second;
}

/** Sends an admitted call, unless this process was suspended since its admission was decided. */
void server_gate::sendOrRefuse(const call_pointer &call)
{
    m_core.stalls.check();
    if (m_core.stalls.maxUnreadTime().count == 0) {
        send(call);
        return;
    }
    call->isRunning = true; // It holds a slot, which finish() gives back.
    link_reply reply;
    reply.outcome = call_outcome::not_run;
    reply.reason = outcome_reason::daemon_busy;
    reply.retryAfter = defaultRetryAfter;
    finish(call, false, std::move(reply));
}

void server_gate::armTimeout(const call_pointer &call)
{
    call->timer.expires_after(detail::toChrono(call->deadline + responseGrace - steadyNow()));
    call->timer.async_wait([this, weak = std::weak_ptr(call)](boost::system::error_code cancelled) {
        if (cancelled || weak.expired()) {
            return;
        }
        m_core.reads.pass([this, weak] {
            const auto locked = weak.lock();
            if (locked && m_calls.contains(locked->id)) {
                handleTimeout(locked);
            }
        });
    });
}

void server_gate::send(const call_pointer &call)
{
    checkInvariant(m_registry.current().state == server_state::serving, invariant::draining_idle, "call sent to a backend server that is not serving");
    call->isRunning = true;
    ++m_sent;
    call->sentAt = steadyNow();
    m_running.add(call->id, call->deadline, call->call.repeatWeight);
    call->serverId = m_registry.current().id;
    armTimeout(call);
    http_answer_rules rules;
    rules.acceptsUnframed = true;
    rules.budget = m_core.heldBytes;
    rules.ownerOf = [name = std::string_view(m_core.adapter.headers.requestId), request = call->call.requestId](const http_response &response) {
        const auto echoed = findHeader(response.headers, name);
        if (!echoed) {
            return answer_owner::unnamed; // Backend servers don't name the request in every refusal.
        }
        return *echoed == request ? answer_owner::request : answer_owner::other;
    };
    call->pending = m_client.send(
        forwardedRequest(*call),
        [this, call](http_result result) {
            handleResult(call, std::move(result));
        },
        std::move(rules));
}

http_request server_gate::forwardedRequest(const gated_call &call) const
{
    const wire_headers &names = m_core.adapter.headers;
    http_request request;
    request.method = call.call.method;
    request.target = call.call.target;
    request.headers = call.call.headers;
    request.headers.push_back({names.requestId, call.call.requestId});
    request.headers.push_back({names.deadline, std::to_string(std::max<std::int64_t>(1, (call.deadline - steadyNow()).count))});
    request.headers.push_back({names.expectedServer, call.serverId});
    request.headers.push_back({names.callerService, call.call.callerService});
    request.body = call.call.body;
    return request;
}

void server_gate::handleResult(const call_pointer &call, http_result result)
{
    call->pending.reset();
    call->transport = result.failure;
    if (result.droppedAnswers > 0 && m_core.log.mayLogFailure()) {
        logEvent(log_level::warning,
                 "answers_dropped",
                 {{"request", call->call.requestId}, {"server", call->serverId}, {"count", result.droppedAnswers}, {"transport", describe(result.failure)}});
    }
    const bool isUnreachable = result.failure == http_failure::no_connection;
    const bool wasRun = result.failure == http_failure::none && !findHeader(result.response.headers, m_core.adapter.headers.notExecuted);
    if (result.failure == http_failure::none) {
        readNotice(*call, result.response);
    }
    link_reply reply = classifyResult(*call, std::move(result));
    if (reply.outcome == call_outcome::answered && isSuccess(reply.status)) {
        m_runTimes.record(call->call.route, steadyNow() - call->sentAt, steadyNow());
    }
    finish(call, wasRun, std::move(reply));
    if (isUnreachable && call->serverId == m_registry.current().id && m_registry.current().state == server_state::serving) {
        m_registry.markUnreachable();
        stateChanged("unreachable");
    }
}

/**
 * Applies what the current backend server states about itself in an answer. Only a signed answer without a rate lifts it,
 * since any other may come from something in front of the server.
 */
void server_gate::readNotice(const gated_call &call, const http_response &response)
{
    if (call.serverId != m_registry.current().id || response.status == http_status::misdirected) {
        return;
    }
    const server_notice notice = readServerNotice(response.headers, m_core.adapter.headers);
    const bool isSigned = findHeader(response.headers, m_core.adapter.headers.signature).has_value();
    const bool isUsable = notice.rate == rate_statement::stated || (notice.rate == rate_statement::none && isSigned);
    if (!(notice == m_lastNotice) && m_core.log.mayLogFailure()) {
        logEvent(notice.rate == rate_statement::unreadable ? log_level::warning : log_level::info,
                 "server_notice",
                 {{"server", call.serverId},
                  {"rate", toString(notice.rate)},
                  {"max_rate", std::to_string(notice.maxRate)},
                  {"leaving", notice.leaving},
                  {"used", isUsable},
                  {"request", call.call.requestId}});
    }
    m_lastNotice = notice;
    if (isUsable) {
        m_isHeard = true;
        setRate(notice.rate == rate_statement::stated ? std::optional(notice.maxRate) : std::nullopt);
    }
    if (notice.leaving) {
        markLeaving("answer");
    }
}

void server_gate::onServerLeaving(std::function<void()> hook)
{
    m_serverLeaving = std::move(hook);
}

void server_gate::markLeaving(std::string_view why)
{
    if (!m_registry.markLeaving()) {
        return;
    }
    stateChanged(why);
    if (m_serverLeaving) {
        m_serverLeaving();
    }
}

void server_gate::adopt(const server_statement &statement)
{
    if (statement.server != m_registry.current().incarnation()) {
        return;
    }
    if (statement.leaving) {
        markLeaving("other host");
    }
    if (m_isHeard || !statement.maxRate || (m_rate && *m_rate <= *statement.maxRate)) {
        return;
    }
    logEvent(log_level::info, "server_notice_adopted", {{"server", m_registry.current().id}, {"max_rate", std::to_string(*statement.maxRate)}});
    setRate(statement.maxRate);
    applyDecisions();
}

void server_gate::setRate(std::optional<double> perSecond)
{
    if (m_rate != perSecond) {
        m_rate = perSecond;
        m_queue.setRate(perSecond, steadyNow(), m_decisions);
    }
}

link_reply server_gate::classifyResult(const gated_call &call, http_result result)
{
    link_reply reply;
    reply.outcome = call_outcome::unknown;
    switch (result.failure) {
    case http_failure::none:
        break;
    case http_failure::no_connection:
        reply.outcome = call_outcome::not_run;
        reply.reason = outcome_reason::no_upstream;
        reply.retryAfter = defaultRetryAfter;
        return reply;
    case http_failure::lost:
        reply.reason = outcome_reason::connection_lost;
        return reply;
    case http_failure::broken_answer:
    case http_failure::mismatched_answer:
    case http_failure::memory_exhausted:
        reply.reason = outcome_reason::answer_broken;
        return reply;
    }
    reply.reachedServer = true;
    const http_response &response = result.response;
    if (findHeader(response.headers, m_core.adapter.headers.notExecuted) || response.status == http_status::misdirected) {
        reply.outcome = call_outcome::not_run;
        reply.reason = response.status == http_status::misdirected ? outcome_reason::no_upstream : outcome_reason::shed;
        reply.retryAfter = defaultRetryAfter;
        return reply;
    }
    const bool isSigned = findHeader(response.headers, m_core.adapter.headers.signature).has_value();
    const bool isEncoded = findHeader(response.headers, "content-encoding").has_value();
    const bool isEchoed = findHeader(response.headers, m_core.adapter.headers.requestId) == std::optional<std::string_view>(call.call.requestId);
    if (isEncoded || (isSuccess(response.status) && (!isSigned || !isEchoed)) || impliesNotRun(response.status)) {
        reply.reason = outcome_reason::answer_broken;
        return reply;
    }
    reply.outcome = call_outcome::answered;
    reply.status = response.status;
    reply.headers = std::move(result.response.headers);
    reply.body = std::move(result.response.body);
    return reply;
}

void server_gate::finish(const call_pointer &call, bool wasRun, link_reply reply)
{
    const bool wasKnown = m_calls.erase(call->id) > 0;
    if (!wasKnown) {
        return;
    }
    call->timer.cancel();
    const clock_ms now = steadyNow();
    if (call->isRunning) {
        m_queue.finish(call->id, wasRun, now, m_decisions);
        reply.lostCall = m_running.lostCall(call->id);
        m_running.remove(call->id);
    }
    constexpr double second = 1'000; // Milliseconds.
    m_core.metrics.recordGateDecision(m_core.settings.backendService,
                                      call->call.route,
                                      reply.outcome == call_outcome::not_run ? reply.reason : outcome_reason::none,
                                      static_cast<double>(call->waited.count) / second);
    logOutcome(*call, reply);
    const auto responder = std::exchange(call->responder, nullptr);
    if (responder) {
        reply.report = report();
        responder(std::move(reply));
    }
    applyDecisions();
}

void server_gate::recordFailure(const gated_call &call, const link_reply &reply) const
{
    request_record record;
    record.at = wallNow();
    record.atGate = true;
    record.requestId = call.call.requestId;
    record.route = call.call.route;
    record.service = call.call.service;
    record.outcome = reply.outcome;
    record.reason = reply.reason;
    record.tried = call.serverId;
    record.held = steadyNow() - call.arrivedAt;
    record.configuration = m_core.routes.version();
    m_core.failures.add(std::move(record));
}

void server_gate::logOutcome(const gated_call &call, const link_reply &reply) const
{
    if (reply.outcome == call_outcome::answered) {
        return;
    }
    recordFailure(call, reply);
    if (!m_core.log.mayLogFailure()) {
        return;
    }
    const slot_snapshot queue = m_queue.snapshot(steadyNow());
    logEvent(log_level::info,
             "gate_refused",
             {{"request", call.call.requestId},
              {"route", call.call.route},
              {"outcome", toString(reply.outcome)},
              {"reason", toString(reply.reason)},
              {"rank", call.call.rank},
              {"server", call.serverId},
              {"reached_server", reply.reachedServer},
              {"transport", describe(call.transport)},
              {"waited_ms", call.waited.count},
              {"held_ms", (steadyNow() - call.arrivedAt).count},
              {"left_ms", (call.deadline - steadyNow()).count},
              {"in_use", queue.inUse},
              {"waiting", queue.waiting},
              {"limit", queue.limit},
              {"max_rate", m_rate ? std::to_string(*m_rate) : std::string("none")},
              {"mean_run_ms", queue.meanRun.count}});
}

void server_gate::handleTimeout(const call_pointer &call)
{
    if (call->pending) {
        call->pending->abandon();
        call->pending.reset();
    }
    link_reply reply;
    reply.outcome = call_outcome::unknown;
    reply.reason = outcome_reason::answer_timeout;
    finish(call, true, std::move(reply));
}

/** A running call that isn't idempotent is not aborted, since its caller may look for its effects later. */
void server_gate::cancel(const call_pointer &call)
{
    if (!m_calls.contains(call->id)) {
        return;
    }
    link_reply reply;
    reply.reason = outcome_reason::cancelled;
    if (!call->isRunning) {
        if (m_queue.withdraw(call->id)) {
            reply.outcome = call_outcome::not_run;
            finish(call, false, std::move(reply));
        }
        return;
    }
    if (!call->call.idempotent) {
        return;
    }
    if (call->pending) {
        call->pending->abandon();
        call->pending.reset();
    }
    reply.outcome = call_outcome::unknown;
    finish(call, false, std::move(reply));
}

void server_gate::refuse(const link_responder &responder, outcome_reason reason, clock_ms retryAfter)
{
    link_reply reply;
    reply.outcome = call_outcome::not_run;
    reply.reason = reason;
    reply.retryAfter = retryAfter;
    reply.report = report();
    responder(std::move(reply));
}

} // namespace cicadamux
