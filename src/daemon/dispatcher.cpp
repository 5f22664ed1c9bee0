/** @file dispatcher.cpp Forwards calls to the gates of their services. */

#include "daemon/dispatcher_base.h"

#include "core/log_func.h"
#include "ticket/ticket_func.h"

#include <boost/asio/post.hpp>

#include <mutex>
#include <optional>
#include <vector>

namespace cicadamux
{

namespace
{

constexpr std::int64_t replyGrace = 25; ///< Milliseconds after the deadline in which the gate's own report of a missed deadline is still accepted.

/** A call in progress, over all its attempts. The end of an attempt may be reported on any thread. */
class dispatched_call : public std::enable_shared_from_this<dispatched_call>
{
public:
    dispatched_call(daemon_core &core, gate_service &gate, call_id id, call_request request, call_handler handler)
        : m_core(core)
        , m_gate(gate)
        , m_id(id)
        , m_request(std::move(request))
        , m_handler(std::move(handler))
        , m_key(makeChildKey(m_request.service, m_request.operation, m_request.method, m_request.target, m_request.body))
        , m_otherUpstreamsLeft(core.settings.attemptsElsewhere)
        , m_lastRefusal(makeRefusalDetail(core, outcome_reason::no_upstream, m_request.service, m_request.operation))
    {
        m_core.dispatched.fetch_add(1);
        m_core.ledger.open(m_id, m_request.context.retryAllowance);
    }

    ~dispatched_call()
    {
        m_core.dispatched.fetch_sub(1);
    }

    dispatched_call(const dispatched_call &) = delete;
    dispatched_call &operator=(const dispatched_call &) = delete;

    void start()
    {
        reserveRetries();
        attempt();
    }

    void cancel()
    {
        std::function<void()> cancelAttempt;
        {
            const std::lock_guard lock(m_mutex);
            m_cancelled = true;
            cancelAttempt = m_cancelAttempt;
        }
        if (cancelAttempt) {
            cancelAttempt();
        }
    }

private:
    /** Reserves the retry allowance that the next attempt takes along. @return False if no further attempt is allowed. */
    bool reserveRetries()
    {
        // A service that calls no other service gets no allowance: it cannot use it, and it would be lost if the answer is.
        const allowance_share lent = m_request.callsOthers ? allowance_share::all : allowance_share::none;
        const child_grant grant = m_core.ledger.openChild(m_id, m_key, lent);
        m_attemptRetries = grant.allowance;
        return grant.allowed;
    }

    void attempt()
    {
        const outcome_reason reason = reasonToStop();
        if (reason != outcome_reason::none) {
            m_core.ledger.closeChild(m_id, m_attemptRetries, m_attemptRetries);
            finish(makeRefused(makeRefusalDetail(m_core, reason, m_request.service, m_request.operation), 0));
            return;
        }
        const auto chosen = chooseUpstream();
        if (!chosen) {
            m_core.ledger.closeChild(m_id, m_attemptRetries, m_attemptRetries);
            finish(makeRefused(m_lastRefusal, 0));
            return;
        }
        send(*chosen);
    }

    outcome_reason reasonToStop()
    {
        const std::lock_guard lock(m_mutex);
        if (m_cancelled) {
            return outcome_reason::cancelled;
        }
        if (steadyNow() >= m_request.context.deadline) {
            return outcome_reason::deadline_passed;
        }
        return outcome_reason::none;
    }

    std::optional<upstream> chooseUpstream()
    {
        if (m_request.atMostOnce) {
            return findTicketHome();
        }
        return m_core.routes.choose(m_request.service, m_tried, steadyNow());
    }

    /** @return The upstream named by the call's ticket, if it is still the same incarnation. */
    std::optional<upstream> findTicketHome()
    {
        try {
            const ticket subject = decodeTicket(m_request.ticket, m_core.settings.fleetKey);
            auto home = m_core.routes.find(subject.service, subject.homeHost);
            if (home && home->incarnation == subject.homeIncarnation && subject.service == m_request.service) {
                return home;
            }
            m_lastRefusal.reason = outcome_reason::ticket_home_gone;
        } catch (const ticket_error &failure) {
            m_lastRefusal.reason = failure.reason();
        }
        return std::nullopt;
    }

    void send(const upstream &chosen)
    {
        m_tried.push_back(chosen.host);
        m_core.routes.sent(chosen.service, chosen.host);
        peer_call call;
        call.request = m_request;
        call.request.context.retryAllowance = m_attemptRetries;
        call.attempt = call_id{secureRandom() | 1U};
        call.homeIncarnation = chosen.incarnation;
        auto ended = [self = shared_from_this(), chosen](peer_failure failure, peer_reply reply) {
            self->attemptEnded(chosen, failure, std::move(reply));
        };
        setCancelHandler(chosen.host == m_core.settings.host ? sendHere(std::move(call), std::move(ended)) : sendToPeer(chosen, call, std::move(ended)));
    }

    std::function<void()> sendHere(peer_call call, peer_reply_handler ended)
    {
        return m_gate.handle(std::move(call), [ended = std::move(ended)](peer_reply reply) {
            ended(peer_failure::none, std::move(reply));
        });
    }

    std::function<void()> sendToPeer(const upstream &chosen, const peer_call &call, peer_reply_handler ended)
    {
        const clock_ms timeLimit = m_request.context.deadline - steadyNow() + clock_ms{replyGrace};
        const auto pending = m_core.peers.call(chosen.peerAddress, call, timeLimit, std::move(ended));
        return [pending] {
            pending->cancel();
        };
    }

    void setCancelHandler(const std::function<void()> &cancelAttempt)
    {
        bool isCancelled = false;
        {
            const std::lock_guard lock(m_mutex);
            m_cancelAttempt = cancelAttempt;
            isCancelled = m_cancelled;
        }
        if (isCancelled && cancelAttempt) {
            cancelAttempt();
        }
    }

    void attemptEnded(const upstream &chosen, peer_failure failure, peer_reply reply)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_cancelAttempt = nullptr;
        }
        reportAttempt(chosen, failure, reply);
        if (failure != peer_failure::none) {
            reply.result = resultOfFailure(failure);
        }
        switch (reply.result.outcome) {
        case call_outcome::answered:
            m_core.ledger.closeChild(m_id, m_attemptRetries, reply.result.retriesUnspent);
            finish(std::move(reply.result));
            return;
        case call_outcome::not_run:
            handleNotRun(std::move(reply.result));
            return;
        case call_outcome::unknown:
            handleUnknown(std::move(reply.result));
            return;
        }
    }

    call_result resultOfFailure(peer_failure failure) const
    {
        outcome_reason reason = outcome_reason::no_upstream;
        if (failure == peer_failure::lost) {
            const bool deadlinePassed = steadyNow() >= m_request.context.deadline;
            reason = deadlinePassed ? outcome_reason::answer_timeout : outcome_reason::connection_lost;
        }
        return makeRefused(makeRefusalDetail(m_core, reason, m_request.service, m_request.operation), m_attemptRetries);
    }

    void reportAttempt(const upstream &chosen, peer_failure failure, const peer_reply &reply)
    {
        const clock_ms now = steadyNow();
        upstream_report report;
        report.gotReply = failure == peer_failure::none;
        report.failed = !report.gotReply || reply.result.outcome == call_outcome::unknown;
        report.inUse = reply.inUse;
        report.waiting = reply.waiting;
        report.limit = reply.limit;
        m_core.routes.ended(chosen.service, chosen.host, report, now);
        for (const received_level &received : reply.levels) {
            m_core.levels.record(received, now);
        }
    }

    void handleNotRun(call_result result)
    {
        // The children of a shed call may have spent some of the retries.
        const std::uint32_t unspent = std::min(result.retriesUnspent, m_attemptRetries);
        if (!mayTryOtherUpstream(result.detail.reason)) {
            m_core.ledger.closeChild(m_id, m_attemptRetries, unspent);
            finish(std::move(result));
            return;
        }
        m_core.ledger.closeChild(m_id, m_attemptRetries - unspent, 0);
        m_attemptRetries = unspent;
        --m_otherUpstreamsLeft;
        m_lastRefusal = std::move(result.detail);
        scheduleAttempt();
    }

    /** On overload only protected calls try another upstream; other calls do so only if this upstream could not have run any call. */
    bool mayTryOtherUpstream(outcome_reason reason) const
    {
        if (m_otherUpstreamsLeft == 0 || m_request.atMostOnce) {
            return false;
        }
        switch (reason) {
        case outcome_reason::no_upstream:
        case outcome_reason::draining:
        case outcome_reason::daemon_busy:
        case outcome_reason::shed:
            return true;
        case outcome_reason::overloaded:
        case outcome_reason::queue_timeout:
            return m_request.context.isProtected;
        default:
            return false;
        }
    }

    void handleUnknown(call_result result)
    {
        m_core.ledger.closeChild(m_id, m_attemptRetries, 0);
        m_attemptRetries = 0;
        m_unknownOutcome = result.detail;
        const bool hasTimeLeft = steadyNow() < m_request.context.deadline;
        if (m_request.atMostOnce || !hasTimeLeft || !reserveRetries()) {
            finish(std::move(result));
            return;
        }
        m_lastRefusal = result.detail;
        scheduleAttempt();
    }

    /** Posts the next attempt to the context instead of calling it: an attempt may end before send() returns, so the calls would nest. */
    void scheduleAttempt()
    {
        boost::asio::post(m_core.context, [self = shared_from_this()] {
            self->attempt();
        });
    }

    void finish(call_result result)
    {
        call_handler handler;
        {
            const std::lock_guard lock(m_mutex);
            handler = std::exchange(m_handler, nullptr);
        }
        if (m_unknownOutcome && result.outcome == call_outcome::not_run) {
            result = makeRefused(*m_unknownOutcome, 0); // An earlier attempt may have run, so the outcome of the call is unknown.
        }
        if (handler) {
            result.retriesUnspent = m_core.ledger.close(m_id);
            handler(std::move(result));
        }
    }

    daemon_core &m_core;
    gate_service &m_gate;
    const call_id m_id;
    const call_request m_request;
    call_handler m_handler;
    const child_key m_key;
    std::uint32_t m_otherUpstreamsLeft; ///< Other upstreams that may still be tried after `not run`.
    std::uint32_t m_attemptRetries = 0; ///< Retry allowance of the current attempt.
    refusal_detail m_lastRefusal; ///< Returned if no upstream is left.
    std::optional<refusal_detail> m_unknownOutcome; ///< From the last attempt whose outcome is unknown.
    std::vector<std::string> m_tried; ///< Hosts tried so far.

    std::mutex m_mutex; ///< Guards m_handler and the members below.
    std::function<void()> m_cancelAttempt;
    bool m_cancelled = false;
};

} // namespace

dispatcher::dispatcher(daemon_core &core, gate_service &gate)
    : m_core(core)
    , m_gate(gate)
{
}

std::function<void()> dispatcher::dispatch(call_id id, call_request request, call_handler handler)
{
    const auto call = std::make_shared<dispatched_call>(m_core, m_gate, id, std::move(request), std::move(handler));
    call->start();
    return [weak = std::weak_ptr(call)] {
        if (const auto locked = weak.lock()) {
            locked->cancel();
        }
    };
}

} // namespace cicadamux
