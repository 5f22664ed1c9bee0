/** @file http_server_base.h A small HTTP server for the stand-ins, which can also send malformed answers. */

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
struct http_server_state;
}

/** One received request, which can be answered once. */
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    virtual const http_message &request() const = 0;

    /** Sends a well-formed answer; the connection then reads its next request. */
    virtual void answer(const http_message &message) = 0;

    /** Sends the bytes unchanged; the connection is then closed, or reads its next request. */
    virtual void answerBytes(std::string bytes, bool closeAfter) = 0;

    /** Sends the bytes unchanged, then closes the connection with a reset. */
    virtual void answerBytesAndReset(std::string bytes) = 0;

    /** Closes the connection without an answer. */
    virtual void close() = 0;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

struct http_server_options {
    clock_ms connectCost; ///< Delay between accepting a connection and reading its first request.
    std::size_t maxConnections = 10'000; ///< Further connections are closed immediately.
};

/** Runs on one thread of its context, where the handlers are called too. */
class http_server
{
public:
    /** @throws boost::system::system_error if the address can't be bound. */
    http_server(boost::asio::io_context &context, const std::string &address, http_handler handler, http_server_options options = {});
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /** @return The bound `IP:port`. */
    std::string address() const;

    /** Sets whether new connections are closed immediately; existing ones stay open. */
    void setRefusing(bool refusing);

    /** Closes the listener and all connections. */
    void stop();

    std::size_t connections() const;

    /** @return The bytes of a well-formed answer, which a stand-in can then send twice or in part. */
    static std::string format(const http_message &message);

private:
    std::shared_ptr<detail::http_server_state> m_state;
};

} // namespace cicadamux::test
