/** @file dispatcher_base.h Forwards calls to the gates of their services, with a bounded number of attempts. */

#pragma once

#include "daemon/daemon_core_type.h"
#include "daemon/gate_service_base.h"

#include <functional>

namespace cicadamux
{

using call_handler = std::function<void(call_result)>;

/** Forwards calls to upstreams and retries them. Thread-safe. */
class dispatcher
{
public:
    dispatcher(daemon_core &core, gate_service &gate);

    /**
     * Sends a call to an upstream of its service. After `not run` it tries a bounded number of other upstreams;
     * after an unknown outcome it retries only within the call's retry allowance, and never an at-most-once call.
     * @param id New id, assigned by this daemon.
     * @param handler Called exactly once, possibly before this function returns.
     * @return Function that cancels the call, for when its caller disconnects.
     */
    std::function<void()> dispatch(call_id id, call_request request, call_handler handler);

private:
    daemon_core &m_core;
    gate_service &m_gate;
};

} // namespace cicadamux
