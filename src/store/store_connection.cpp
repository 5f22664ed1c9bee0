/** @file store_connection.cpp HTTP connection to the platform, using Boost.Beast. */

#include "store/store_connection_base.h"

#include "core/socket_func.h"
#include "http/http_answer_reader_base.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <optional>

namespace cicadamux::detail
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace
{
constexpr std::uint32_t maxHeaderBytes = 16'384; ///< Greatest header of an answer.
constexpr clock_ms silenceLimit{3'000}; ///< Without it, a watch on a dead connection would miss changes until its own time-out.

std::optional<tcp::endpoint> parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), failure);
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (failure || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

/** Maps an error that occurred after a part of the request may have been sent. */
store_failure failureOf(const boost::system::error_code &code)
{
    if (code == beast::error::timeout) {
        return store_failure::timeout;
    }
    const bool isHttpError = code.category() == http::make_error_code(http::error::bad_version).category();
    const bool isTruncated = code == http::error::end_of_stream || code == http::error::partial_message;
    return isHttpError && !isTruncated ? store_failure::bad_answer : store_failure::connection_lost;
}

class beast_connection : public store_connection, public std::enable_shared_from_this<beast_connection>
{
public:
    beast_connection(boost::asio::io_context &context, const std::string &address)
        : m_stream(boost::asio::make_strand(context))
        , m_endpoint(parseAddress(address))
        , m_address(address)
    {
    }

    void call(const store_request &request, store_answer_handler handler) override
    {
        boost::asio::post(m_stream.get_executor(), [self = shared_from_this(), request, handler = std::move(handler)]() mutable {
            self->begin(request, std::move(handler));
        });
    }

    void close() override
    {
        boost::asio::post(m_stream.get_executor(), [self = shared_from_this()] {
            self->m_stream.close();
        });
    }

private:
    void begin(const store_request &request, store_answer_handler handler);
    void makeRequest(const store_request &request);
    bool isStillOpen();
    void connect();
    void write();
    void read();
    void answered();
    void fail(store_failure failure);

    beast::tcp_stream m_stream;
    std::optional<tcp::endpoint> m_endpoint;
    std::string m_address;
    http_answer_reader m_reader{m_stream, maxHeaderBytes};
    http::request<http::string_body> m_request;
    std::size_t m_maxAnswerBytes = 0;
    std::string m_eraHeader;
    store_answer_handler m_handler;
};

void beast_connection::begin(const store_request &request, store_answer_handler handler)
{
    m_handler = std::move(handler);
    m_maxAnswerBytes = request.maxAnswerBytes;
    m_eraHeader = request.eraHeader;
    makeRequest(request);
    m_stream.expires_after(std::chrono::milliseconds(request.timeout.count));
    if (!m_endpoint) {
        fail(store_failure::unreachable);
    } else if (isStillOpen()) {
        write();
    } else {
        connect();
    }
}

void beast_connection::makeRequest(const store_request &request)
{
    constexpr unsigned http11 = 11;
    m_request = {};
    m_request.version(http11);
    m_request.method_string(request.method);
    m_request.target(request.target);
    m_request.set(http::field::host, m_address);
    if (!request.ifVersion.empty()) {
        m_request.set("if-version", request.ifVersion);
    }
    if (!request.body.empty()) {
        m_request.set(http::field::content_type, "application/json");
    }
    m_request.body() = request.body;
    m_request.prepare_payload();
}

/** Checks that an idle connection is open and has no unread data; data received outside of a call belongs to none, so the connection is closed. */
bool beast_connection::isStillOpen()
{
    tcp::socket &socket = m_stream.socket();
    if (!socket.is_open()) {
        return false;
    }
    char byte = 0;
    boost::system::error_code failure;
    socket.non_blocking(true, failure);
    socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    if (failure == boost::asio::error::would_block) {
        return true;
    }
    m_stream.close();
    m_reader.clear();
    return false;
}

void beast_connection::connect()
{
    m_stream.async_connect(*m_endpoint, [self = shared_from_this()](boost::system::error_code failure) {
        if (failure) {
            self->fail(store_failure::unreachable);
            return;
        }
        setPeerTimeout(self->m_stream.socket(), silenceLimit);
        self->write();
    });
}

void beast_connection::write()
{
    http::async_write(m_stream, m_request, [self = shared_from_this()](boost::system::error_code failure, std::size_t) {
        if (failure) {
            self->fail(failureOf(failure));
        } else {
            self->read();
        }
    });
}

void beast_connection::read()
{
    http_answer_hooks hooks;
    hooks.ended = [this](boost::system::error_code failure) {
        if (failure) {
            fail(failureOf(failure));
        } else {
            answered();
        }
    };
    m_reader.read(shared_from_this(), {maxHeaderBytes, m_maxAnswerBytes}, std::move(hooks));
}

void beast_connection::answered()
{
    store_answer answer;
    answer.isReusable = m_reader.answer().keep_alive() && !m_reader.hasMoreBytes();
    auto response = m_reader.answer().release();
    answer.status = response.result_int();
    if (!m_eraHeader.empty()) {
        answer.era = std::string(response[m_eraHeader]);
    }
    answer.body = std::move(response.body());
    m_stream.expires_never();
    if (!answer.isReusable) {
        m_stream.close();
        m_reader.clear();
    }
    const auto handler = std::exchange(m_handler, nullptr);
    handler(std::move(answer));
}

void beast_connection::fail(store_failure failure)
{
    m_stream.close();
    m_reader.clear();
    const auto handler = std::exchange(m_handler, nullptr);
    handler({failure, 0, {}, {}, false});
}
} // namespace

std::shared_ptr<store_connection> makeStoreConnection(boost::asio::io_context &context, const std::string &address)
{
    return std::make_shared<beast_connection>(context, address);
}

} // namespace cicadamux::detail
