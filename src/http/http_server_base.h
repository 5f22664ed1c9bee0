/** @file http_server_base.h An HTTP/1.1 listener by Beast. */

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

/** An address can't be bound or isn't `IP:port`. */
class address_error : public error
{
public:
    using error::error;
};

/** Accepts connections and hands over whole requests; answers leave each connection in the order of its requests. */
class http_server
{
public:
    /**
     * Binds; connections are refused until open().
     * @param address `IP:port`; port 0 takes a free one.
     * @throws address_error
     */
    http_server(boost::asio::io_context &context, std::string_view address, http_limits limits, http_handler handler, http_malformed malformed);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /** @return `IP:port` as bound. */
    std::string boundAddress() const;

    /** Begins to accept: once it has returned, connections are no longer refused. Called once. */
    void open();

    /** Replaces the limits for what is read from now on. Only where the context runs on one thread. */
    /** Bounds the bytes of bodies and responses, together with all others that share the budget; before open(). */
    void setBudget(std::shared_ptr<byte_budget> budget);

    void setLimits(const http_limits &limits);

    /** Accepts no more connections; those that are there are closed after their next answer. */
    void drain();

    /** drain(), and closes idle connections at once. */
    void close();

    /** @return Connections now open. */
    std::uint32_t connections() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace cicadamux
