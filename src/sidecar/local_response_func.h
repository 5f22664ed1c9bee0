/** @file local_response_func.h Responses that the sidecar makes itself, without a backend server. */

#pragma once

#include "http/http_type.h"
#include "sidecar/inbound_request_type.h"

#include <string_view>

namespace cicadamux
{

/** @return The response to a request that could not be read. */
http_response makeReadFailureResponse(http_read_failure failure);

/**
 * @param idHeader Name of the header that echoes the request's id.
 * @return The response to a request that failed or was refused. If no backend server has executed it or will, its status
 * is 503 with Retry-After, or 400 or 404 for an invalid request; otherwise it is 504 after a time-out and 502 for any
 * other failure.
 */
http_response makeLocalResponse(const inbound_request &inbound, outcome_reason reason, std::string_view idHeader);

} // namespace cicadamux
