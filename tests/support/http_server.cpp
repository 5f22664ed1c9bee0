/** @file http_server.cpp A small HTTP server for the stand-ins, based on Boost.Beast. */

#include "support/http_server_base.h"

#include "support/address_func.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <set>
#include <sstream>

namespace cicadamux::test
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace
{
constexpr std::uint64_t maxBodySize = 4'000'000; ///< Bytes of a request's body.

class session;
} // namespace

struct detail::http_server_state : std::enable_shared_from_this<detail::http_server_state> {
    http_server_state(boost::asio::io_context &usedContext, const std::string &address, http_handler usedHandler, http_server_options usedOptions)
        : context(usedContext)
        , acceptor(usedContext, parseEndpoint(address))
        , handler(std::move(usedHandler))
        , options(usedOptions)
    {
    }

    void accept();
    void accepted(tcp::socket socket);

    boost::asio::io_context &context;
    tcp::acceptor acceptor;
    http_handler handler;
    http_server_options options;
    bool isRefusing = false;
    std::set<session *> sessions;
};

namespace
{
/** One connection: reads a request, waits for its answer, then reads the next request. */
class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, std::shared_ptr<detail::http_server_state> server)
        : m_socket(std::move(socket))
        , m_server(std::move(server))
    {
        m_server->sessions.insert(this);
    }

    ~session()
    {
        m_server->sessions.erase(this);
    }

    session(const session &) = delete;
    session &operator=(const session &) = delete;

    void start()
    {
        if (m_server->options.connectCost.count == 0) {
            read();
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(m_server->context, std::chrono::milliseconds(m_server->options.connectCost.count));
        timer->async_wait([self = shared_from_this(), timer](boost::system::error_code) {
            self->read();
        });
    }

    void writeAndReset(std::string bytes)
    {
        boost::system::error_code ignored;
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        m_output = std::move(bytes);
        boost::asio::async_write(m_socket, boost::asio::buffer(m_output), [self = shared_from_this()](boost::system::error_code, std::size_t) {
            boost::system::error_code failure;
            self->m_socket.close(failure);
        });
    }

    void write(std::string bytes, bool closeAfter)
    {
        m_output = std::move(bytes);
        boost::asio::async_write(
            m_socket, boost::asio::buffer(m_output), [self = shared_from_this(), closeAfter](boost::system::error_code failure, std::size_t) {
                if (failure || closeAfter) {
                    self->close();
                } else {
                    self->read();
                }
            });
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
    }

private:
    void read();
    void onRequestRead();

    tcp::socket m_socket;
    std::shared_ptr<detail::http_server_state> m_server;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::string m_output;
};

class session_exchange : public http_exchange
{
public:
    session_exchange(std::shared_ptr<session> connection, http_message request)
        : m_connection(std::move(connection))
        , m_request(std::move(request))
    {
    }

    const http_message &request() const override
    {
        return m_request;
    }

    void answer(const http_message &message) override
    {
        answerBytes(http_server::format(message), false);
    }

    void answerBytes(std::string bytes, bool closeAfter) override
    {
        if (auto connection = std::move(m_connection)) {
            connection->write(std::move(bytes), closeAfter);
        }
    }

    void answerBytesAndReset(std::string bytes) override
    {
        if (auto connection = std::move(m_connection)) {
            connection->writeAndReset(std::move(bytes));
        }
    }

    void close() override
    {
        if (auto connection = std::move(m_connection)) {
            connection->close();
        }
    }

private:
    std::shared_ptr<session> m_connection; ///< Null once the request is answered.
    http_message m_request;
};

void session::read()
{
    m_parser.emplace();
    m_parser->body_limit(maxBodySize);
    http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](boost::system::error_code failure, std::size_t) {
        if (failure) {
            self->close();
        } else {
            self->onRequestRead();
        }
    });
}

void session::onRequestRead()
{
    auto parsed = m_parser->release();
    http_message message;
    message.method = parsed.method_string();
    message.target = parsed.target();
    message.body = std::move(parsed.body());
    for (const auto &field : parsed) {
        message.headers.push_back({field.name_string(), field.value()});
    }
    m_server->handler(std::make_shared<session_exchange>(shared_from_this(), std::move(message)));
}
} // namespace

void detail::http_server_state::accept()
{
    acceptor.async_accept([self = shared_from_this()](boost::system::error_code failure, tcp::socket socket) {
        if (failure == boost::asio::error::operation_aborted || !self->acceptor.is_open()) {
            return;
        }
        if (!failure) {
            self->accepted(std::move(socket));
        }
        self->accept();
    });
}

void detail::http_server_state::accepted(tcp::socket socket)
{
    if (isRefusing || sessions.size() >= options.maxConnections) {
        return;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<session>(std::move(socket), shared_from_this())->start();
}

http_server::http_server(boost::asio::io_context &context, const std::string &address, http_handler handler, http_server_options options)
    : m_state(std::make_shared<detail::http_server_state>(context, address, std::move(handler), options))
{
    m_state->accept();
}

http_server::~http_server()
{
    stop();
}

std::string http_server::address() const
{
    return formatEndpoint(m_state->acceptor.local_endpoint());
}

void http_server::setRefusing(bool refusing)
{
    m_state->isRefusing = refusing;
}

void http_server::stop()
{
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
    for (session *connection : m_state->sessions) {
        connection->close();
    }
}

std::size_t http_server::connections() const
{
    return m_state->sessions.size();
}

std::string http_server::format(const http_message &message)
{
    constexpr unsigned http11 = 11;
    http::response<http::string_body> response(static_cast<http::status>(message.status), http11);
    for (const http_field &field : message.headers) {
        response.set(field.name, field.value);
    }
    response.body() = message.body;
    response.prepare_payload();
    std::ostringstream bytes;
    bytes << response;
    return bytes.str();
}

} // namespace cicadamux::test
