/** @file own_answer_func.h Answers that no backend server made. */

#pragma once

#include "http/http_type.h"
#include "sidecar/entered_request_type.h"

#include <string_view>

namespace cicadamux
{

/** @return The response to a request that couldn't be read. */
http_response malformedAnswer(http_read_failure failure);

/**
 * @param idHeader Name of the header that echoes the request's id.
 * @return The response to a request that failed or was refused: 503 and when to come back if it surely has not run and
 * never will, else 502 or 504.
 */
http_response ownAnswer(const entered_request &entered, outcome_reason reason, std::string_view idHeader);

} // namespace cicadamux
