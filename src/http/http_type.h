/** @file http_type.h HTTP messages and handlers, independent of the HTTP library. */

#pragma once

#include "core/clock_type.h"
#include "request/call_type.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/** One complete request. */
struct http_request {
    std::string method;
    std::string target;
    std::vector<http_field> headers; ///< Without `content-length` and `transfer-encoding`.
    std::string body;
    std::string remoteAddress; ///< IP address of the client; empty for an outgoing request.
};

/** One complete response. */
struct http_response {
    unsigned status = 200;
    std::vector<http_field> headers; ///< Without `content-length` and `transfer-encoding`.
    std::string body;
};

/** Limits of an HTTP server or client. */
struct http_limits {
    std::uint32_t maxConnections = 1'024;
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 1'048'576;
    clock_ms idleTimeout{60'000}; ///< Time until an idle connection is closed.
    clock_ms requestTimeout{10'000}; ///< For a complete message to arrive after its first byte, or for its header alone if `bodyTimeout` is set.
    clock_ms bodyTimeout{0}; ///< For the body to arrive after the header; 0: included in `requestTimeout`.
    clock_ms writeTimeout{10'000}; ///< For writing a message to the peer.
    clock_ms connectTimeout{1'000}; ///< For establishing a connection.
    std::uint32_t maxPipelined = 1; ///< Requests of one connection that are handled concurrently.
};

/** A received request that awaits its response. */
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /** Sends the response; only the first call has an effect. Callable from any thread. */
    virtual void respond(http_response response) = 0;

    /** Sets a callback, called once on a server thread if the client disconnects before it is answered. */
    virtual void onDisconnect(std::function<void()> handler) = 0;

    /** Allows the connection's next request to be handled before this one is answered. Call it only within the handler. */
    virtual void allowNext() = 0;

    /** @return Whether the answer to a later request of the connection is ready and waits for this one's. Not synchronized. */
    virtual bool holdsBackAnswers() const = 0;
};

/** Why a request is refused without being passed to the handler. */
enum class http_read_failure : std::uint8_t {
    malformed, ///< Not HTTP, or contradictory lengths.
    header_too_large,
    body_too_large,
    too_slow, ///< The rest of the request did not arrive in time.
    truncated, ///< The connection ended before the request was complete.
    too_many_connections,
    memory_exhausted, ///< The memory budget is exhausted; the body was not read.
    handler_failed ///< The handler threw an exception; the request may have been executed.
};

using http_handler = std::function<void(http_request request, std::shared_ptr<http_exchange> exchange)>;

/** Builds the response to a request refused without being passed to the handler. */
using http_refusal_builder = std::function<http_response(http_read_failure failure)>;

/** @return The value of the first header of this name (case-insensitive); nothing if there is none. */
std::optional<std::string_view> findHeader(std::span<const http_field> headers, std::string_view name);

/** @return Whether two header names are equal, ignoring case. */
bool sameHeaderName(std::string_view left, std::string_view right);

/** @return Whether HTTP allows the header: its name is a token, and its value has no control characters but tabs. */
bool isWellFormed(const http_field &field);

/** @return Whether a header applies to a single connection and must not be forwarded. */
bool isHopByHop(std::string_view name);

/** @return Whether a header's name starts with `cicadamux-`. */
bool isReservedHeader(std::string_view name);

/** Copies the headers that may be forwarded, which are those neither hop-by-hop nor reserved. */
std::vector<http_field> forwardableHeaders(std::span<const http_field> headers);

} // namespace cicadamux
