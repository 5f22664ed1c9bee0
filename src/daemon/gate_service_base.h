/** @file gate_service_base.h Admits calls to this host's backend server as its gate decides. */

#pragma once

#include "admission/gate_base.h"
#include "daemon/backend_link_base.h"
#include "daemon/daemon_core_type.h"
#include "peer/peer_type.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace cicadamux
{

namespace detail
{
class gated_call;
}

using gate_reply_handler = std::function<void(peer_reply)>;

/** Called for each call that the gate refuses, with the state of the gate. */
using gate_refusal_hook = std::function<void(const call_request &request, const gate_decision &decision, const gate_snapshot &gate)>;

/** Admission of calls to this host's backend server. Thread-safe. */
class gate_service
{
public:
    gate_service(daemon_core &core, backend_link &backend, gate_refusal_hook refused);
    ~gate_service();
    gate_service(const gate_service &) = delete;
    gate_service &operator=(const gate_service &) = delete;

    /**
     * Runs a call at this host's backend server, or refuses it.
     * @param handler Called exactly once, possibly before this function returns.
     * @return Function that cancels the call, for when its sender disconnects; may be empty.
     */
    std::function<void()> handle(peer_call call, const gate_reply_handler &handler);

    /** Applies the ranks of a new policy. */
    void setRanks(std::span<const rank_rule> ranks);

    /** Handles a change of the backend server: its slots, draining, or its loss. */
    void backendChanged(const backend_server &before, const backend_server &after);

    /** Runs the gate's periodic work. */
    void tick(clock_ms now);

    /** Begins a graceful shutdown: waiting calls are refused, running calls finish. */
    void drain();

    gate_snapshot snapshot(clock_ms now) const;

    /** @return The number of calls that wait or run. */
    std::size_t calls() const;

private:
    friend class detail::gated_call;

    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace cicadamux
