/** @file http_server_base.h A small HTTP server for stand-ins, able to answer badly on purpose. */

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

/** One request and the right to answer it once. */
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    virtual const http_message &request() const = 0;

    /** Sends a well-formed answer and waits for the next request on the connection. */
    virtual void answer(const http_message &message) = 0;

    /** Sends bytes as they are, and then closes the connection or waits for the next request. */
    virtual void answerBytes(std::string bytes, bool closeAfter) = 0;

    /** Closes the connection without an answer. */
    virtual void close() = 0;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

struct http_server_options {
    clock_ms connectCost; ///< Delay between the accept and the first read.
    std::size_t maxConnections = 10'000; ///< Further connections are closed at once.
};

/** Serves on one thread of its context; handlers run there. */
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

    /** Tells whether new connections are closed at once; kept-alive ones go on. */
    void setRefusing(bool refusing);

    /** Closes the listener and all connections. */
    void stop();

    std::size_t connections() const;

    /** @return The bytes of a well-formed answer, for sending them twice or in part. */
    static std::string format(const http_message &message);

private:
    std::shared_ptr<detail::http_server_state> m_state;
};

} // namespace cicadamux::test
