/** @file dispatcher.cpp Sends calls on to the gates of their services. */

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

constexpr std::int64_t replyGrace = 25; ///< Milliseconds after the deadline in which a gate's own word on it still counts.

/** One call on its way, over all its attempts. Each attempt's end may come from any thread. */
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
        , m_elsewhereLeft(core.settings.attemptsElsewhere)
        , m_last(refusalHere(core, outcome_reason::no_upstream, m_request.service, m_request.operation))
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
        borrowPart();
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
    /** Takes from the ledger what the next attempt may carry along. @return False if no attempt is left. */
    bool borrowPart()
    {
        // An attempt at a service that calls no other leaves the allowance here: it would be lost with the answer.
        const lent_part lent = m_request.callsOthers ? lent_part::all : lent_part::none;
        const child_grant grant = m_core.ledger.openChild(m_id, m_key, lent);
        m_part = grant.part;
        return grant.allowed;
    }

    void attempt()
    {
        const outcome_reason reason = reasonToStop();
        if (reason != outcome_reason::none) {
            m_core.ledger.closeChild(m_id, m_part, m_part);
            finish(makeRefused(refusalHere(m_core, reason, m_request.service, m_request.operation), 0));
            return;
        }
        const auto chosen = chooseUpstream();
        if (!chosen) {
            m_core.ledger.closeChild(m_id, m_part, m_part);
            finish(makeRefused(m_last, 0));
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
            return findHome();
        }
        return m_core.routes.choose(m_request.service, m_tried, steadyNow());
    }

    /** Finds the upstream that the call's ticket names. */
    std::optional<upstream> findHome()
    {
        try {
            const ticket subject = decodeTicket(m_request.ticket, m_core.settings.fleetKey);
            auto home = m_core.routes.find(subject.service, subject.homeHost);
            if (home && home->incarnation == subject.homeIncarnation && subject.service == m_request.service) {
                return home;
            }
            m_last.reason = outcome_reason::ticket_home_gone;
        } catch (const ticket_error &failure) {
            m_last.reason = failure.reason();
        }
        return std::nullopt;
    }

    void send(const upstream &chosen)
    {
        m_tried.push_back(chosen.host);
        m_core.routes.sent(chosen.service, chosen.host);
        peer_call call;
        call.request = m_request;
        call.request.context.retryAllowance = m_part;
        call.attempt = call_id{secureRandom() | 1U};
        call.homeIncarnation = chosen.incarnation;
        auto ended = [self = shared_from_this(), chosen](peer_failure failure, peer_reply reply) {
            self->attemptEnded(chosen, failure, std::move(reply));
        };
        armCancel(chosen.host == m_core.settings.host ? sendHere(std::move(call), std::move(ended)) : sendToPeer(chosen, call, std::move(ended)));
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

    void armCancel(const std::function<void()> &cancelAttempt)
    {
        bool tooLate = false;
        {
            const std::lock_guard lock(m_mutex);
            m_cancelAttempt = cancelAttempt;
            tooLate = m_cancelled;
        }
        if (tooLate && cancelAttempt) {
            cancelAttempt();
        }
    }

    void attemptEnded(const upstream &chosen, peer_failure failure, peer_reply reply)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_cancelAttempt = nullptr;
        }
        report(chosen, failure, reply);
        if (failure != peer_failure::none) {
            reply.result = resultOfFailure(failure);
        }
        switch (reply.result.outcome) {
        case call_outcome::answered:
            m_core.ledger.closeChild(m_id, m_part, reply.result.retriesUnspent);
            finish(std::move(reply.result));
            return;
        case call_outcome::not_run:
            notRun(std::move(reply.result));
            return;
        case call_outcome::unknown:
            unknown(std::move(reply.result));
            return;
        }
    }

    call_result resultOfFailure(peer_failure failure) const
    {
        outcome_reason reason = outcome_reason::no_upstream;
        if (failure == peer_failure::lost) {
            const bool tooLate = steadyNow() >= m_request.context.deadline;
            reason = tooLate ? outcome_reason::answer_timeout : outcome_reason::connection_lost;
        }
        return makeRefused(refusalHere(m_core, reason, m_request.service, m_request.operation), m_part);
    }

    void report(const upstream &chosen, peer_failure failure, const peer_reply &reply)
    {
        const clock_ms now = steadyNow();
        upstream_report told;
        told.reached = failure == peer_failure::none;
        told.failed = !told.reached || reply.result.outcome == call_outcome::unknown;
        told.inUse = reply.inUse;
        told.waiting = reply.waiting;
        told.limit = reply.limit;
        m_core.routes.ended(chosen.service, chosen.host, told, now);
        for (const heard_level &heard : reply.levels) {
            m_core.levels.note(heard, now);
        }
    }

    void notRun(call_result result)
    {
        // A shed call's children may have spent some of the part.
        const std::uint32_t unspent = std::min(result.retriesUnspent, m_part);
        if (!mayTryElsewhere(result.detail.reason)) {
            m_core.ledger.closeChild(m_id, m_part, unspent);
            finish(std::move(result));
            return;
        }
        m_core.ledger.closeChild(m_id, m_part - unspent, 0);
        m_part = unspent;
        --m_elsewhereLeft;
        m_last = std::move(result.detail);
        again();
    }

    /** Protected work is refused only after other upstreams were asked; lesser work moves only if this upstream is unfit for any work. */
    bool mayTryElsewhere(outcome_reason reason) const
    {
        if (m_elsewhereLeft == 0 || m_request.atMostOnce) {
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

    void unknown(call_result result)
    {
        m_core.ledger.closeChild(m_id, m_part, 0);
        m_part = 0;
        m_mayHaveRun = result.detail;
        const bool timeIsLeft = steadyNow() < m_request.context.deadline;
        if (m_request.atMostOnce || !timeIsLeft || !borrowPart()) {
            finish(std::move(result));
            return;
        }
        m_last = result.detail;
        again();
    }

    /** Makes the next attempt from a fresh stack: an attempt may end before it has returned. */
    void again()
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
        if (m_mayHaveRun && result.outcome == call_outcome::not_run) {
            result = makeRefused(*m_mayHaveRun, 0); // An earlier attempt may have run: the call as a whole is unknown.
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
    std::uint32_t m_elsewhereLeft; ///< Further upstreams that may be tried after a sure `not run`.
    std::uint32_t m_part = 0; ///< Allowance that the present attempt carries.
    refusal_detail m_last; ///< What to say if no upstream is left.
    std::optional<refusal_detail> m_mayHaveRun; ///< Of the last attempt whose outcome is unknown.
    std::vector<std::string> m_tried; ///< Hosts.

    std::mutex m_mutex; ///< Guards the handler and what follows.
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
        if (const auto known = weak.lock()) {
            known->cancel();
        }
    };
}

} // namespace cicadamux
