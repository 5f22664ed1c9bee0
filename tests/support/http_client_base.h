/** @file http_client_base.h An HTTP client with keep-alive connections for the stand-ins, the load tool and tests. */

#pragma once

#include "support/http_message_type.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cicadamux::test
{

namespace detail
{
struct http_client_state;
}

using http_reply_handler = std::function<void(http_reply)>;

/**
 * Carries one call at a time on a connection and reuses idle connections. Not thread-safe: all calls must come from
 * one thread of its context. It doesn't retry. A failed call closes its connection.
 */
class http_client
{
public:
    explicit http_client(boost::asio::io_context &context);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /** Sends a request to `IP:port`; the handler is called exactly once, with the reply or the failure. */
    void send(const std::string &address, const http_message &request, clock_ms timeout, http_reply_handler handler);

    /** @return Connections made so far. */
    std::uint64_t connectionsMade() const;

private:
    std::shared_ptr<detail::http_client_state> m_state;
};

/** Sends one request on a new connection and blocks until the reply or the failure. */
http_reply callHttp(const std::string &address, const http_message &request, clock_ms timeout);

} // namespace cicadamux::test
