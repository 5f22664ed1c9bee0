/** @file request_intake_base.h Decides what a request that arrives is: its route, its service, its time, who made it, and whether it may enter. */

#pragma once

#include "admission/route_admission_base.h"
#include "http/http_type.h"
#include "sidecar/call_origin_base.h"
#include "sidecar/entered_request_type.h"
#include "sidecar/sidecar_core_type.h"

#include <vector>

namespace cicadamux
{

/** Used by one thread. */
class request_intake
{
public:
    /** @param running Runs of the own backend server. */
    request_intake(sidecar_core &core, const running_calls &running);

    /**
     * Fills in what the request says and what is known about it.
     * @return Why it may not enter; `none` if it may.
     */
    outcome_reason take(entered_request &entered, http_request request);

    /** Takes in the end of a client's request that reached a backend server. */
    void runEnded(const entered_request &entered, bool lostCallForRoom);

private:
    void findOrigin(entered_request &entered, clock_ms deadline);
    bool refusesEarly(entered_request &entered);
    void removeOwnHeaders(std::vector<http_field> &headers) const;

    sidecar_core &m_core;
    const running_calls &m_running;
    call_origin m_origin;
    route_admission m_admission;
};

} // namespace cicadamux
