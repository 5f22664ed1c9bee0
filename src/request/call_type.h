/** @file call_type.h A call that daemons forward, and its result. */

#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"
#include "request/outcome_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cicadamux
{

/** Greatest depth of a call tree; a deeper call is refused as `bad_request`. */
constexpr std::uint8_t maxCallDepth = 16;

constexpr std::size_t messageOverhead = 131'072; ///< Bytes that a message between daemons may have in addition to the body of its request or answer.

/** One HTTP header. */
struct http_field {
    std::string name;
    std::string value;
};

/** Properties that all calls of one root share, and the position of this call in the call tree. */
struct call_context {
    root_id root;
    rank_id rank; ///< From the policy, by the root's service and operation.
    std::string callClass; ///< Class of the root, such as `pitch-hold`.
    bool isProtected = false; ///< Whether the rank is protected.
    bool lateOk = false; ///< The deadline only determines the order of calls; the call is neither dropped nor cancelled for it.
    clock_ms deadline; ///< On this daemon's clock; for late-ok calls the late limit.
    std::uint8_t depth = 0; ///< In the call tree; 0 for the call that entered at an edge.
    std::uint32_t retryAllowance = 0; ///< Retries that the caller passed on to this call.
};

/** A call with the request for the backend server. */
struct call_request {
    call_context context;
    std::string service;
    std::string operation;
    bool atMostOnce = false;
    bool callsOthers = false; ///< By its policy, the operation calls other services. Not sent to peers.
    std::string ticket; ///< Encoded; empty for operations that aren't at-most-once.
    std::string method;
    std::string target;
    std::vector<http_field> headers; ///< Without hop-by-hop and `cicadamux-` headers.
    std::string body;
};

/** How a call ended. */
struct call_result {
    call_outcome outcome = call_outcome::unknown;
    refusal_detail detail; ///< Meaningful unless the outcome is `answered`.
    unsigned status = 0; ///< HTTP status of the answer.
    std::vector<http_field> headers; ///< Headers of the answer.
    std::string body; ///< Body of the answer.
    std::uint32_t retriesUnspent = 0; ///< Retries left of the allowance that the call was given.
};

/** Makes the result of a call that wasn't answered. */
call_result makeRefused(refusal_detail detail, std::uint32_t retriesUnspent);

} // namespace cicadamux
