/** @file gated_call_base.h One call at this host's gate, from its arrival until its work is over. */

#pragma once

#include "admission/gate_base.h"
#include "daemon/backend_link_base.h"
#include "daemon/daemon_core_type.h"
#include "peer/peer_type.h"
#include "ticket/ticket_type.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace cicadamux::detail
{

/** What a call at the gate needs of its owner. */
struct gated_call_hooks {
    std::function<void(call_id call, work_end end)> finished; ///< Gives the slot back.
    std::function<bool(call_id call)> withdraw; ///< Takes a waiting call back; true if it was still waiting.
    std::function<void(call_id call)> over; ///< The call needs no more events.
    std::function<void(peer_reply &reply)> describe; ///< Adds the gate's levels and load to a reply.
};

/**
 * The life of one call. Events may come from any thread: the gate's decision, the backend server's answer,
 * the deadline, the sender's cancellation, the loss of the backend server.
 */
class gated_call : public std::enable_shared_from_this<gated_call>
{
public:
    gated_call(daemon_core &core, backend_link &backend, peer_call call, std::function<void(peer_reply)> handler, const gated_call_hooks &hooks);

    /** Remembers the verified ticket of an at-most-once call. */
    void setTicket(ticket subject);

    const peer_call &call() const;

    /** @return What the gate needs to know. */
    gate_call describe() const;

    /** The gate admitted the call: it is sent, unless it has meanwhile become pointless. */
    void admitted();

    /** The call isn't run. */
    void refuse(outcome_reason reason, int rankAdmitted);

    /** The sender went away. */
    void cancelled();

    /** The backend server with this life is gone, and all its work. */
    void serverGone(std::uint64_t life);

private:
    /** How far the call has come. */
    enum class stage : std::uint8_t {
        waiting, ///< At the gate.
        running, ///< Sent; the slot is in use.
        over
    };

    outcome_reason reasonNotToSend(const backend_server &server) const;
    void send(const std::shared_ptr<const backend_server> &server);
    http_request forwardedRequest() const;
    void armDeadline();
    void deadlinePassed();
    void answered(http_result result);
    call_result judge(http_result result, work_end &end) const;
    void giveUp(outcome_reason reason);
    void askToCancel();
    void finish(work_end end, call_result result);
    void reply(call_result result);
    void tellTicket(const call_result &result);
    call_result resultOf(outcome_reason reason) const;

    daemon_core &m_core;
    backend_link &m_backend;
    const peer_call m_call;
    const gated_call_hooks &m_hooks;
    std::optional<ticket> m_ticket;
    bool m_ledgerOpen = false; ///< Set before the call is sent: the ledger knows what is left.
    boost::asio::steady_timer m_timer; ///< The deadline, then the repetition of a cancellation.

    std::mutex m_mutex; ///< Guards what follows.
    stage m_stage = stage::waiting;
    bool m_senderGone = false;
    bool m_cancelling = false;
    std::function<void(peer_reply)> m_handler; ///< Empty once the reply is given.
    std::shared_ptr<const backend_server> m_server; ///< The one that runs the call.
    std::shared_ptr<http_pending> m_pending;
};

} // namespace cicadamux::detail
