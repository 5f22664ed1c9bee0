/** @file gated_call_base.h A call at this host's gate, from its arrival until its work has ended. */

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

/** Functions of the owner that a call at the gate uses. */
struct gated_call_hooks {
    std::function<void(call_id call, work_end end)> releaseSlot; ///< Releases the slot of a call whose work has ended.
    std::function<bool(call_id call)> withdraw; ///< Removes a waiting call from the queue; true if it was still waiting.
    std::function<void(call_id call)> remove; ///< Removes a call that needs no more events.
    std::function<void(peer_reply &reply)> addGateState; ///< Adds the gate's levels and load to a reply.
};

/**
 * State machine of a call. Events may arrive on any thread: the gate's decision, the backend server's answer,
 * the deadline, the sender's cancellation, the loss of the backend server.
 */
class gated_call : public std::enable_shared_from_this<gated_call>
{
public:
    gated_call(daemon_core &core, backend_link &backend, peer_call call, std::function<void(peer_reply)> handler, const gated_call_hooks &hooks);

    /** Sets the verified ticket of an at-most-once call. */
    void setTicket(ticket subject);

    const peer_call &call() const;

    /** @return The description of the call for the gate. */
    gate_call toGateCall() const;

    /** Handles admission by the gate: sends the call, unless its sender, its deadline or the backend server is gone by now. */
    void admitted();

    /** Replies that the call is not run. */
    void refuse(outcome_reason reason, int rankAdmitted);

    /** Cancels the call because its sender is gone. */
    void cancel();

    /** Ends the call if it ran on this instance of the backend server, which is gone. */
    void handleServerLoss(std::uint64_t instanceId);

private:
    enum class stage : std::uint8_t {
        waiting, ///< In the queue of the gate.
        running, ///< Sent; occupies a slot.
        ended
    };

    outcome_reason reasonNotToSend(const backend_server &server) const;
    void send(const std::shared_ptr<const backend_server> &server);
    http_request forwardedRequest() const;
    void armDeadline();
    void deadlinePassed();
    void handleResponse(http_result result);
    call_result classifyResponse(http_result result, work_end &end) const;
    void abandonCall(outcome_reason reason);
    void requestCancellation();
    void finish(work_end end, call_result result);
    void reply(call_result result);
    void recordTicketOutcome(const call_result &result);
    call_result makeResult(outcome_reason reason) const;

    daemon_core &m_core;
    backend_link &m_backend;
    const peer_call m_call;
    const gated_call_hooks &m_hooks;
    std::optional<ticket> m_ticket;
    bool m_ledgerOpen = false; ///< Set before the call is sent; from then on the ledger holds the unspent allowance.
    boost::asio::steady_timer m_timer; ///< The deadline, then the retries of the cancellation request.

    std::mutex m_mutex; ///< Guards the members below.
    stage m_stage = stage::waiting;
    bool m_senderGone = false;
    bool m_cancelling = false;
    std::function<void(peer_reply)> m_handler; ///< Empty once the reply has been sent.
    std::shared_ptr<const backend_server> m_server; ///< The instance that runs the call.
    std::shared_ptr<pending_http_request> m_pending;
};

} // namespace cicadamux::detail
