/** @file http_message_type.h HTTP messages as stand-ins, load tool and tests see them. */

#pragma once

#include "core/clock_type.h"
#include "request/call_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::test
{

/** A request (method and target) or an answer (status). */
struct http_message {
    std::string method; ///< Of a request.
    std::string target; ///< Of a request.
    unsigned status = 200; ///< Of an answer.
    std::vector<http_field> headers; ///< Names in any case; `content-length` is added when it is sent.
    std::string body;
};

/** @return The value of a header, its name compared without case; empty if there is none. */
std::string_view headerOf(const http_message &message, std::string_view name);

/** How sending a request failed. */
enum class http_failure : std::uint8_t {
    none, ///< The whole answer is there.
    connect_failed, ///< No connection; nothing was sent.
    connection_lost, ///< Broken before the whole answer.
    timeout, ///< No whole answer in time; the connection was closed.
    bad_answer ///< Not HTTP, or the connection ended inside the answer.
};

/** @return The name used in results, such as `connect_failed`. */
std::string_view toString(http_failure failure);

/** The end of one request. */
struct http_reply {
    http_failure failure = http_failure::none;
    http_message message; ///< Meaningful if there was no failure.
};

} // namespace cicadamux::test
