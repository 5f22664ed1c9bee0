/** @file http_client.cpp An HTTP client with keep-alive connections, based on Boost.Beast. */

#include "support/http_client_base.h"

#include "support/address_func.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace cicadamux::test
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace
{
class connection;
using connection_pointer = std::shared_ptr<connection>;

http::request<http::string_body> makeRequest(const std::string &address, const http_message &message)
{
    constexpr unsigned http11 = 11;
    http::request<http::string_body> request;
    request.version(http11);
    request.method_string(message.method);
    request.target(message.target);
    request.set(http::field::host, address);
    for (const http_field &field : message.headers) {
        request.set(field.name, field.value);
    }
    request.body() = message.body;
    request.prepare_payload();
    return request;
}

http_message makeMessage(http::response<http::string_body> response)
{
    http_message message;
    message.status = response.result_int();
    message.body = std::move(response.body());
    for (const auto &field : response) {
        message.headers.push_back({field.name_string(), field.value()});
    }
    return message;
}

http_failure failureOf(boost::system::error_code code)
{
    if (code == beast::error::timeout) {
        return http_failure::timeout;
    }
    if (code.category() == http::make_error_code(http::error::bad_version).category() && code != http::error::end_of_stream) {
        return http_failure::bad_answer;
    }
    return http_failure::connection_lost;
}
} // namespace

struct detail::http_client_state {
    explicit http_client_state(boost::asio::io_context &usedContext)
        : context(usedContext)
    {
    }

    boost::asio::io_context &context;
    std::unordered_map<std::string, std::vector<connection_pointer>> idle; ///< By address.
    std::uint64_t connectionsMade = 0;
};

namespace
{
/** One connection and the call that it currently carries. */
class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(std::weak_ptr<detail::http_client_state> owner, boost::asio::io_context &context, std::string address)
        : m_owner(std::move(owner))
        , m_stream(context)
        , m_address(std::move(address))
    {
    }

    void begin(const http_message &message, clock_ms timeout, http_reply_handler handler)
    {
        m_request = makeRequest(m_address, message);
        m_handler = std::move(handler);
        m_stream.expires_after(std::chrono::milliseconds(timeout.count));
        if (m_isConnected) {
            write();
        } else {
            connect();
        }
    }

private:
    void connect()
    {
        m_stream.async_connect(parseEndpoint(m_address), [self = shared_from_this()](boost::system::error_code failure) {
            if (failure) {
                self->end({http_failure::connect_failed, {}});
                return;
            }
            boost::system::error_code ignored;
            self->m_stream.socket().set_option(tcp::no_delay(true), ignored);
            self->m_isConnected = true;
            self->write();
        });
    }

    void write()
    {
        http::async_write(m_stream, m_request, [self = shared_from_this()](boost::system::error_code failure, std::size_t) {
            if (failure) {
                self->end({failureOf(failure), {}});
            } else {
                self->read();
            }
        });
    }

    void read()
    {
        m_parser.emplace();
        http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](boost::system::error_code failure, std::size_t) {
            if (failure) {
                self->end({failureOf(failure), {}});
            } else {
                self->onAnswer();
            }
        });
    }

    void onAnswer()
    {
        const bool isReusable = m_parser->keep_alive() && m_buffer.size() == 0;
        http_reply reply{http_failure::none, makeMessage(m_parser->release())};
        m_stream.expires_never();
        auto owner = m_owner.lock();
        if (isReusable && owner) {
            owner->idle[m_address].push_back(shared_from_this());
        }
        const auto handler = std::exchange(m_handler, nullptr);
        handler(std::move(reply));
    }

    void end(http_reply reply)
    {
        m_stream.close();
        const auto handler = std::exchange(m_handler, nullptr);
        handler(std::move(reply));
    }

    std::weak_ptr<detail::http_client_state> m_owner;
    beast::tcp_stream m_stream;
    std::string m_address;
    bool m_isConnected = false;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    http_reply_handler m_handler;
};
} // namespace

http_client::http_client(boost::asio::io_context &context)
    : m_state(std::make_shared<detail::http_client_state>(context))
{
}

http_client::~http_client() = default;

void http_client::send(const std::string &address, const http_message &request, clock_ms timeout, http_reply_handler handler)
{
    auto &idle = m_state->idle[address];
    connection_pointer used;
    if (idle.empty()) {
        used = std::make_shared<connection>(m_state, m_state->context, address);
        ++m_state->connectionsMade;
    } else {
        used = std::move(idle.back());
        idle.pop_back();
    }
    used->begin(request, timeout, std::move(handler));
}

std::uint64_t http_client::connectionsMade() const
{
    return m_state->connectionsMade;
}

http_reply callHttp(const std::string &address, const http_message &request, clock_ms timeout)
{
    boost::asio::io_context context;
    http_client client(context);
    http_reply result;
    client.send(address, request, timeout, [&](http_reply reply) {
        result = std::move(reply);
    });
    context.run();
    return result;
}

} // namespace cicadamux::test
