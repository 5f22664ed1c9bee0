/** @file http_client_base.h HTTP/1.1 client with a pool of connections to one server, based on Boost.Beast. */

#pragma once

#include "core/byte_budget_base.h"
#include "http/http_type.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cicadamux
{

/** Why a request got no usable response. */
enum class http_failure : std::uint8_t {
    none,
    no_connection, ///< The connection limit is reached or connecting failed; nothing was sent.
    lost, ///< The connection was lost before the first byte of the response; the request may have been executed.
    broken_answer, ///< The response was truncated, malformed, too large, or had no length.
    mismatched_answer, ///< Only responses to other requests, or copies of them, arrived.
    memory_exhausted ///< The response body doesn't fit into the memory budget.
};

/** @return The name used in logs, such as `broken_answer`. */
std::string_view describe(http_failure failure);

/** What a response states about the request that it answers. */
enum class answer_owner : std::uint8_t {
    request, ///< It names the request.
    other, ///< It names another one.
    unnamed ///< It names none.
};

/** Which responses the sender of a request accepts. */
struct http_answer_rules {
    /**
     * Responses to others are dropped, and so are those that name no request and have a status that the connection has carried
     * before, since they may be copies. Empty: every response is taken for the request's own.
     */
    std::function<answer_owner(const http_response &response)> ownerOf;
    bool acceptsUnframed = false; ///< Accept a response without a length, which ends when the connection closes.
    std::shared_ptr<byte_budget> budget; ///< For the response body while it is read; null: limited by `http_limits::maxBodyBytes` alone.
};

/** The outcome of one request. */
struct http_result {
    http_failure failure = http_failure::none;
    http_response response; ///< Complete if there was no failure.
    int droppedAnswers = 0; ///< Responses before it that belong to other requests.
};

using http_result_handler = std::function<void(http_result)>;

/** A request in flight. */
class pending_http_request
{
public:
    virtual ~pending_http_request() = default;

    /** Closes the request's connection; its handler is no longer called. Callable from any thread. */
    virtual void abandon() = 0;
};

/**
 * Sends requests to one server, one at a time per connection. A connection is reused only if the response was complete,
 * named its request (where the rules ask for that) and no bytes followed it, so that a response is never matched to another
 * request. Thread-safe.
 */
class http_client
{
public:
    /**
     * @param address `IP:port`.
     * @throws address_error if the address can't be parsed.
     */
    http_client(boost::asio::io_context &context, std::string_view address, http_limits limits);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /** Sends a request. There is no response timeout: the owner calls abandon() instead. */
    std::shared_ptr<pending_http_request> send(http_request request, http_result_handler handler, http_answer_rules rules = {});

    /** Replaces the limits; an open connection keeps its own. Not synchronized: allowed only if the context runs on one thread. */
    void setLimits(const http_limits &limits);

    /** @return Number of open connections. */
    std::uint32_t connections() const;

    /** Closes all idle connections, and busy ones after their response. */
    void close();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace cicadamux
