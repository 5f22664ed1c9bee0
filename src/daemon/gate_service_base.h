/** @file gate_service_base.h Takes calls in for this host's backend server, by the gate's decisions. */

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

/** Called for each call that the gate refuses, with what the gate looked like. */
using gate_refusal_hook = std::function<void(const call_request &request, const gate_decision &decision, const gate_snapshot &gate)>;

/** Thread-safe. */
class gate_service
{
public:
    gate_service(daemon_core &core, backend_link &backend, gate_refusal_hook refused);
    ~gate_service();
    gate_service(const gate_service &) = delete;
    gate_service &operator=(const gate_service &) = delete;

    /**
     * Runs a call at this host's backend server, or refuses it.
     * @param handler Called once, perhaps before this returns.
     * @return What cancels the call when its sender goes away.
     */
    std::function<void()> handle(peer_call call, const gate_reply_handler &handler);

    /** Puts the ranks of a new policy in force. */
    void setRanks(std::span<const rank_rule> ranks);

    /** Tells that the backend server has changed: slots, draining, or gone. */
    void backendChanged(const backend_server &before, const backend_server &after);

    /** Drives the gate's clock. */
    void tick(clock_ms now);

    /** Begins a planned stop: what waits is refused, what runs is finished. */
    void drain();

    gate_snapshot snapshot(clock_ms now) const;

    /** @return Calls that wait or run. */
    std::size_t calls() const;

private:
    friend class detail::gated_call;

    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace cicadamux
