/** @file admin_client.cpp Sends queries to a daemon's admin listener over HTTP. */

#include "operator/admin_client_func.h"

#include "http/http_status_type.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace cicadamux
{

namespace
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr unsigned httpVersion = 11; // HTTP/1.1
constexpr std::int64_t connectTimeLimitMs = 3'000;

asio::ip::tcp::endpoint parseEndpoint(const std::string &address)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    boost::system::error_code failure;
    const auto host = asio::ip::make_address(address.substr(0, colon), failure);
    const char *end = address.data() + address.size();
    if (colon == std::string::npos || failure || std::from_chars(address.data() + colon + 1, end, port).ptr != end || port == 0) {
        throw admin_error(admin_failure::bad_address, address + " isn't an IP address with a port, such as 127.0.0.1:7004");
    }
    return {host, port};
}

http::request<http::string_body> makeRequest(const std::string &address, const std::string &line)
{
    http::request<http::string_body> request(http::verb::post, "/query", httpVersion);
    request.set(http::field::host, address);
    request.set(http::field::content_type, "application/json");
    request.body() = boost::json::serialize(boost::json::object{{"query", line}});
    request.prepare_payload();
    return request;
}

/** Input and output of the coroutine, which it outlives. */
struct admin_exchange {
    asio::ip::tcp::endpoint endpoint;
    http::request<http::string_body> request;
    clock_ms timeLimit;
    bool isConnected = false;
    unsigned status = 0;
    std::string answer;
};

asio::awaitable<void> runExchange(admin_exchange &exchange)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(std::chrono::milliseconds(std::min(connectTimeLimitMs, exchange.timeLimit.count)));
    co_await stream.async_connect(exchange.endpoint, asio::use_awaitable);
    exchange.isConnected = true;
    stream.expires_after(std::chrono::milliseconds(exchange.timeLimit.count));
    co_await http::async_write(stream, exchange.request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxAnswerSize);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    exchange.status = parser.get().result_int();
    exchange.answer = std::move(parser.get().body());
}
} // namespace

std::string queryAdmin(const std::string &address, const std::string &line, clock_ms timeLimit)
{
    asio::io_context context;
    admin_exchange exchange{parseEndpoint(address), makeRequest(address, line), timeLimit, false, 0, {}};
    std::exception_ptr failure;
    asio::co_spawn(context, runExchange(exchange), [&failure](std::exception_ptr thrown) {
        failure = std::move(thrown);
    });
    context.run();
    try {
        if (failure) {
            std::rethrow_exception(failure);
        }
    } catch (const boost::system::system_error &exception) {
        const auto stage = exchange.isConnected ? admin_failure::no_answer : admin_failure::not_connected;
        throw admin_error(stage, "daemon at " + address + ": " + exception.code().message());
    }
    if (exchange.status != http_status::ok) { // A listener states this status for every result, also for a query that failed.
        throw admin_error(admin_failure::no_answer, "daemon at " + address + ": answered with status " + std::to_string(exchange.status));
    }
    return exchange.answer;
}

} // namespace cicadamux
