/** @file dispatcher_base.h Sends calls on to the gates of their services, with bounded attempts. */

#pragma once

#include "daemon/daemon_core_type.h"
#include "daemon/gate_service_base.h"

#include <functional>

namespace cicadamux
{

using call_handler = std::function<void(call_result)>;

/** Thread-safe. */
class dispatcher
{
public:
    dispatcher(daemon_core &core, gate_service &gate);

    /**
     * Sends a call to an upstream of its service. After a sure `not run` it tries a bounded number of other upstreams;
     * after an unknown outcome it tries again only within the call's retry allowance, and never an at-most-once call.
     * @param id Of the call as this daemon knows it; new.
     * @param handler Called once, perhaps before this returns.
     * @return What cancels the call when its caller goes away.
     */
    std::function<void()> dispatch(call_id id, call_request request, call_handler handler);

private:
    daemon_core &m_core;
    gate_service &m_gate;
};

} // namespace cicadamux
