/** @file call_headers_func.h The `cicadamux-` headers of calls and responses (docs/INTERFACE.md). */

#pragma once

#include "core/error_type.h"
#include "http/http_type.h"
#include "request/call_type.h"

#include <optional>
#include <string>

namespace cicadamux
{

/** A `cicadamux-` header is missing or malformed. */
class call_header_error : public error
{
public:
    using error::error;
};

/** Values read from the headers of a call. */
struct call_headers {
    std::string service;
    std::string operation;
    std::optional<clock_ms> deadline; ///< Time from now.
    std::string ticket; ///< Empty if there is none.
};

/**
 * Reads the headers of a call.
 * @throws call_header_error
 */
call_headers readCallHeaders(std::span<const http_field> headers);

/** Creates the HTTP response for the result of a call. */
http_response makeCallResponse(call_result result, root_id root, rank_id rank);

/** Creates a response with a JSON body. */
http_response makeJsonResponse(unsigned status, std::string json);

} // namespace cicadamux
