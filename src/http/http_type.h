/** @file http_type.h HTTP messages as the rest of the program sees them. */

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

/** One whole request. */
struct http_request {
    std::string method;
    std::string target;
    std::vector<http_field> headers; ///< Without `content-length` and `transfer-encoding`.
    std::string body;
    std::string remoteAddress; ///< IP number of the caller; empty for a request to be sent.
};

/** One whole response. */
struct http_response {
    unsigned status = 200;
    std::vector<http_field> headers; ///< Without `content-length` and `transfer-encoding`.
    std::string body;
};

/** Bounds of a listener or of a client's connections. */
struct http_limits {
    std::uint32_t maxConnections = 1'024;
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 1'048'576;
    clock_ms idleTimeout{60'000}; ///< Until an idle connection is closed.
    clock_ms requestTimeout{10'000}; ///< For a whole message to arrive after its first byte, or its header alone if `bodyTimeout` is set.
    clock_ms bodyTimeout{0}; ///< For the body to arrive after the header; 0: it counts into `requestTimeout`.
    clock_ms writeTimeout{10'000}; ///< For the other side to read a message.
    clock_ms connectTimeout{1'000}; ///< For a connection to be made.
    std::uint32_t maxPipelined = 1; ///< Requests of one connection that are handled at a time.
};

/** A request that is being answered. */
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /** Answers; the first call counts, from any thread. */
    virtual void respond(http_response response) = 0;

    /** Sets what is called once if the caller goes away before it is answered; on one of the server's threads. */
    virtual void onGone(std::function<void()> gone) = 0;

    /** Lets the connection's next request be handled before this one is answered. Only inside of the handler. */
    virtual void allowNext() = 0;
};

/** Why a request can't be handed over. */
enum class http_read_failure : std::uint8_t {
    malformed, ///< No HTTP, or contradictory lengths.
    header_too_large,
    body_too_large,
    too_slow, ///< The rest didn't arrive in time.
    truncated, ///< The connection ended before the rest arrived.
    too_many_connections,
    too_much_held ///< The process holds as many bytes as it may; nothing was read.
};

using http_handler = std::function<void(http_request request, std::shared_ptr<http_exchange> exchange)>;

/** Makes the response to a request that can't be handed over. */
using http_malformed = std::function<http_response(http_read_failure failure)>;

/** @return The value of the first header of this name, compared without case; nothing if there is none. */
std::optional<std::string_view> findHeader(std::span<const http_field> headers, std::string_view name);

/** @return Whether two header names are the same without case. */
bool sameHeaderName(std::string_view left, std::string_view right);

/** @return Whether a header belongs to one connection and must not be forwarded. */
bool isHopByHop(std::string_view name);

/** @return Whether a header's name starts with `cicadamux-`. */
bool isReservedHeader(std::string_view name);

/** Copies the headers that may be forwarded: neither hop-by-hop nor reserved. */
std::vector<http_field> forwardableHeaders(std::span<const http_field> headers);

} // namespace cicadamux
