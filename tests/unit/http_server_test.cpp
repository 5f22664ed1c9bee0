/** @file http_server_test.cpp Tests of the HTTP server, mostly against clients that violate the protocol. */

#include "http/http_server_base.h"
#include "support/io_threads_base.h"
#include "support/raw_socket_base.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <thread>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

constexpr std::size_t largeBodyBytes = 32'000'000;

std::string_view nameOf(http_read_failure failure)
{
    switch (failure) {
    case http_read_failure::malformed:
        return "malformed";
    case http_read_failure::header_too_large:
        return "header_too_large";
    case http_read_failure::body_too_large:
        return "body_too_large";
    case http_read_failure::too_slow:
        return "too_slow";
    case http_read_failure::truncated:
        return "truncated";
    case http_read_failure::too_many_connections:
        return "too_many_connections";
    case http_read_failure::memory_exhausted:
        return "memory_exhausted";
    case http_read_failure::handler_failed:
        break;
    }
    return "handler_failed";
}

http_response typedResponse(http_read_failure failure)
{
    http_response response;
    response.status = 400;
    response.body = std::string(nameOf(failure));
    return response;
}

/** Answers each request with its body. */
void echo(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
{
    http_response response;
    response.body = request.body;
    exchange->respond(std::move(response));
}

http_limits smallLimits()
{
    http_limits limits;
    limits.maxHeaderBytes = 1'024;
    limits.maxBodyBytes = 1'000;
    limits.requestTimeout = {200};
    return limits;
}

bool stillServes(const http_server &server)
{
    raw_socket socket(server.boundAddress());
    socket.send("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello");
    return socket.receiveAll().ends_with("\r\n\r\nhello");
}

} // namespace

TEST_CASE("malformed and oversized requests get a typed answer and the listener keeps serving")
{
    io_threads io;
    http_server server(io.context, "127.0.0.1:0", smallLimits(), echo, typedResponse);
    server.open();
    struct bad_input {
        std::string bytes;
        http_read_failure failure;
    };
    const std::vector<bad_input> inputs = {
        {"NONSENSE\r\n\r\n", http_read_failure::malformed},
        {"GET / HTTP/9.9\r\n\r\n", http_read_failure::malformed},
        {"GET / HTTP/1.1\r\nno colon here\r\n\r\n", http_read_failure::malformed},
        {"POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n", http_read_failure::malformed},
        {"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", http_read_failure::malformed},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http_read_failure::malformed},
        {"GET / HTTP/1.1\r\nx: " + std::string(4'000, 'a') + "\r\n\r\n", http_read_failure::header_too_large},
        {"POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n", http_read_failure::body_too_large},
    };
    for (const bad_input &input : inputs) {
        CAPTURE(input.bytes.substr(0, 60));
        raw_socket socket(server.boundAddress());
        socket.send(input.bytes);
        CHECK(socket.receiveAll().ends_with(std::string(nameOf(input.failure))));
    }
    CHECK(stillServes(server));
}

TEST_CASE("a request that says a length it doesn't send ends in a typed answer by time or by its end")
{
    io_threads io;
    http_server server(io.context, "127.0.0.1:0", smallLimits(), echo, typedResponse);
    server.open();
    raw_socket silent(server.boundAddress());
    silent.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    CHECK(silent.receiveAll().ends_with("too_slow"));
    raw_socket ended(server.boundAddress());
    ended.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    ended.finishSending();
    CHECK(ended.receiveAll().ends_with("truncated"));
    CHECK(stillServes(server));
}

TEST_CASE("two requests in one packet are answered in their order")
{
    io_threads io;
    http_server server(io.context, "127.0.0.1:0", smallLimits(), echo, typedResponse);
    server.open();
    raw_socket socket(server.boundAddress());
    socket.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\noneGET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\ntwo");
    const std::string answers = socket.receiveAll();
    CHECK(answers.find("\r\n\r\none") < answers.find("\r\n\r\ntwo"));
    CHECK(answers.ends_with("two"));
}

TEST_CASE("the owner of a request hears that its caller has gone")
{
    io_threads io;
    std::promise<void> handed;
    std::promise<void> gone;
    const auto wait = [&handed, &gone](const http_request &, const std::shared_ptr<http_exchange> &exchange) {
        exchange->onDisconnect([&gone] {
            gone.set_value();
        });
        handed.set_value();
    };
    http_server server(io.context, "127.0.0.1:0", smallLimits(), wait, typedResponse);
    server.open();
    {
        raw_socket socket(server.boundAddress());
        socket.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        REQUIRE(handed.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready); // Closed earlier, it would not be handled at all.
    }
    CHECK(gone.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
}

TEST_CASE("a connection beyond the limit gets an explicit refusal")
{
    io_threads io;
    http_limits limits = smallLimits();
    limits.maxConnections = 1;
    http_server server(io.context, "127.0.0.1:0", limits, echo, typedResponse);
    server.open();
    raw_socket first(server.boundAddress());
    first.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello");
    CHECK(first.receiveUntil("hello").ends_with("hello"));
    raw_socket second(server.boundAddress());
    CHECK(second.receiveAll().ends_with("too_many_connections"));
}

TEST_CASE("an address that can't be used is a typed error")
{
    io_threads io;
    const std::vector<std::string> addresses = {"127.0.0.1", "localhost:1", "127.0.0.1:x", "127.0.0.1:70000", "203.0.113.1:1"};
    for (const std::string &address : addresses) {
        CAPTURE(address);
        CHECK_THROWS_AS(http_server(io.context, address, smallLimits(), echo, typedResponse), address_error);
    }
}

TEST_CASE("a request that comes while the closing answer is written is either answered or never handed over (LOST at a planned stop)")
{
    io_threads io;
    std::atomic<int> handed{0}; // Requests passed to the handler.
    std::promise<std::shared_ptr<http_exchange>> taken;
    const auto holdFirst = [&handed, &taken](const http_request &, const std::shared_ptr<http_exchange> &exchange) {
        exchange->allowNext();
        if (++handed == 1) {
            taken.set_value(exchange);
        }
    };
    http_limits limits = smallLimits();
    limits.maxPipelined = 8;
    http_server server(io.context, "127.0.0.1:0", limits, holdFirst, typedResponse);
    server.open();
    raw_socket socket(server.boundAddress());
    socket.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    auto first = taken.get_future();
    REQUIRE(first.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    server.drain();
    http_response response;
    response.body = std::string(largeBodyBytes, 'x'); // More than the socket buffers hold, so that the write takes a while.
    first.get()->respond(std::move(response));
    std::this_thread::sleep_for(std::chrono::milliseconds(50)); // Wait until the write has started.
    socket.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(50)); // Wait until the second request has arrived.
    const std::string answers = socket.receiveAll();
    CHECK(answers.starts_with("HTTP/1.1 200"));
    CHECK(handed == 1);
}

TEST_CASE("a request that waits behind an unanswered one doesn't end the connection (LOST: reset while a server works)")
{
    io_threads io;
    std::promise<std::shared_ptr<http_exchange>> taken;
    std::atomic<int> handed{0}; // Requests passed to the handler.
    const auto holdFirst = [&taken, &handed](const http_request &request, const std::shared_ptr<http_exchange> &exchange) {
        if (++handed == 1) {
            taken.set_value(exchange);
        } else {
            echo(request, exchange);
        }
    };
    http_server server(io.context, "127.0.0.1:0", smallLimits(), holdFirst, typedResponse);
    server.open();
    raw_socket socket(server.boundAddress());
    socket.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    auto first = taken.get_future();
    REQUIRE(first.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    const std::shared_ptr<http_exchange> exchange = first.get();
    socket.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\ntwo");
    std::this_thread::sleep_for(std::chrono::milliseconds(100)); // Wait until the second request has arrived.
    http_response response;
    response.body = "one";
    exchange->respond(std::move(response));
    const std::string answers = socket.receiveAll();
    CHECK(answers.find("\r\n\r\none") != std::string::npos);
    CHECK(answers.ends_with("two"));
}
