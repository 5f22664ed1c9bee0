/** @file request_intake_base.h Determines an arriving request's route, service, time limit and origin, and whether it is admitted. */

#pragma once

#include "admission/route_admission_base.h"
#include "http/http_type.h"
#include "sidecar/inbound_request_type.h"
#include "sidecar/origin_classifier_base.h"
#include "sidecar/sidecar_core_type.h"

#include <vector>

namespace cicadamux
{

/** Used by one thread. */
class request_intake
{
public:
    /** @param running Runs of this host's backend server. */
    request_intake(sidecar_core &core, const running_calls &running);

    /**
     * Fills in the request from its headers, its route and its origin.
     * @return Why the request is refused; `none` if it is admitted.
     */
    outcome_reason admit(inbound_request &inbound, http_request request);

    /** Records the end of an attempt that reached a backend server; calls of this host's backend server are ignored. */
    void runEnded(const inbound_request &inbound, bool lostCallForRoom);

private:
    void findOrigin(inbound_request &inbound, clock_ms deadline);
    bool refusesEarly(inbound_request &inbound);
    void removeOwnHeaders(std::vector<http_field> &headers) const;

    sidecar_core &m_core;
    const running_calls &m_running;
    origin_classifier m_originClassifier;
    route_admission m_admission;
};

} // namespace cicadamux
