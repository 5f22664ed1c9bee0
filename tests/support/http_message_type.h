/** @file http_message_type.h HTTP messages of the stand-ins, the load tool and tests. */

#pragma once

#include "core/clock_type.h"
#include "request/call_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::test
{

/** A request (with method and target) or an answer (with status). */
struct http_message {
    std::string method; ///< Of a request.
    std::string target; ///< Of a request.
    unsigned status = 200; ///< Of an answer.
    std::vector<http_field> headers; ///< Names are case-insensitive; `content-length` is added on sending.
    std::string body;
};

/** @return The value of a header, with case-insensitive name; empty if there is none. */
std::string_view headerOf(const http_message &message, std::string_view name);

/** Why a request got no complete answer. */
enum class http_failure : std::uint8_t {
    none, ///< The complete answer was received.
    connect_failed, ///< The connection couldn't be opened; nothing was sent.
    connection_lost, ///< The connection broke before the complete answer was received.
    timeout, ///< No complete answer within the timeout; the connection was closed.
    bad_answer ///< Not valid HTTP, or the connection ended within the answer.
};

/** @return The name used in results, such as `connect_failed`. */
std::string_view toString(http_failure failure);

/** The result of one request. */
struct http_reply {
    http_failure failure = http_failure::none;
    http_message message; ///< Valid only if there was no failure.
};

} // namespace cicadamux::test
