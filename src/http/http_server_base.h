/** @file http_server_base.h An HTTP/1.1 server on one listening address, based on Boost.Beast. */

#pragma once

#include "core/byte_budget_base.h"
#include "core/error_type.h"
#include "http/http_type.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cicadamux
{

/** An address is not of the form `IP:port`, or can't be bound. */
class address_error : public error
{
public:
    using error::error;
};

/** Accepts connections and passes complete requests to a handler; responses are sent on each connection in the order of its requests. */
class http_server
{
public:
    /**
     * Binds the address; connections are refused until open().
     * @param address `IP:port`; port 0 selects a free port.
     * @throws address_error
     */
    http_server(boost::asio::io_context &context, std::string_view address, http_limits limits, http_handler handler, http_refusal_builder refusalBuilder);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /** @return The bound address as `IP:port`. */
    std::string boundAddress() const;

    /** Starts to listen: once it has returned, connections are no longer refused. Call it once. */
    void open();

    /** Sets the memory budget, which may be shared, for request and response bodies. Call it before open(). */
    void setBudget(std::shared_ptr<byte_budget> budget);

    /** Replaces the limits for messages read from now on. Not synchronized: allowed only if the context runs on one thread. */
    void setLimits(const http_limits &limits);

    /** Stops accepting connections; open ones are closed after their next response. */
    void drain();

    /** Like drain(), but also closes idle connections immediately. */
    void close();

    /** @return Number of open connections. */
    std::uint32_t connections() const;

    /** @return Number of answers that are ready and not wholly written. Not synchronized: allowed only if the context runs on one thread. */
    std::size_t unwritten() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace cicadamux
