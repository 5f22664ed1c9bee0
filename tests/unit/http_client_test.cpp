/** @file http_client_test.cpp Tests of the HTTP client, mostly against servers that violate the protocol. */

#include "http/http_client_base.h"
#include "support/io_threads_base.h"
#include "support/raw_socket_base.h"

#include <doctest/doctest.h>

#include <future>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

constexpr std::string_view endOfHeader = "\r\n\r\n";

http_result get(http_client &client)
{
    std::promise<http_result> promise;
    http_request request;
    request.method = "GET";
    request.target = "/";
    client.send(std::move(request), [&promise](http_result result) {
        promise.set_value(std::move(result));
    });
    auto future = promise.get_future();
    REQUIRE(future.wait_for(std::chrono::seconds(10)) == std::future_status::ready);
    return future.get();
}

/** Returns the outcome of one request to a server that sends the same bytes on each connection and closes it. */
http_failure failureFor(std::string_view answer)
{
    io_threads io;
    raw_server server([answer](raw_socket &connection) {
        connection.receiveUntil(endOfHeader);
        connection.send(answer);
        connection.finishSending();
    });
    http_limits limits;
    limits.maxBodyBytes = 100;
    http_client client(io.context, server.address(), limits);
    return get(client).failure;
}

} // namespace

TEST_CASE("an answer that isn't whole is never an answer")
{
    CHECK(failureFor("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole") == http_failure::none);
    CHECK(failureFor("") == http_failure::lost);
    CHECK(failureFor("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf") == http_failure::broken_answer);
    CHECK(failureFor("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n") == http_failure::broken_answer);
    CHECK(failureFor("HTTP/1.1 200 OK\r\n\r\nno length") == http_failure::broken_answer);
    CHECK(failureFor("garbage\r\n\r\n") == http_failure::broken_answer);
    CHECK(failureFor("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n") == http_failure::broken_answer);
}

TEST_CASE("a request to an unreachable server ends as no connection")
{
    io_threads io;
    http_client client(io.context, unusedAddress(), {});
    CHECK(get(client).failure == http_failure::no_connection);
}

TEST_CASE("a second answer on a kept-alive connection never goes to the next request")
{
    io_threads io;
    std::atomic<int> connections{0};
    raw_server server([&connections](raw_socket &connection) {
        ++connections;
        connection.receiveUntil(endOfHeader);
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
    });
    http_client client(io.context, server.address(), {});
    CHECK(get(client).response.body == "first");
    CHECK(get(client).response.body == "first");
    CHECK(connections == 2);
}

TEST_CASE("an answer that comes late on an idle connection never goes to the next request")
{
    io_threads io;
    std::promise<void> firstTaken;
    std::promise<void> lateSent;
    std::atomic<int> connections{0};
    raw_server server([&](raw_socket &connection) {
        const bool isFirst = ++connections == 1;
        connection.receiveUntil(endOfHeader);
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
        if (isFirst) {
            firstTaken.get_future().wait();
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
            lateSent.set_value();
        }
    });
    http_client client(io.context, server.address(), {});
    CHECK(get(client).response.body == "first");
    firstTaken.set_value();
    lateSent.get_future().wait();
    CHECK(get(client).response.body == "first");
    CHECK(connections == 2);
}

TEST_CASE("connections are bounded and used again")
{
    io_threads io;
    raw_server server([](raw_socket &connection) {
        while (connection.receiveUntil(endOfHeader).ends_with(endOfHeader)) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    http_limits limits;
    limits.maxConnections = 1;
    http_client client(io.context, server.address(), limits);
    for (int request = 0; request < 20; ++request) {
        CHECK(get(client).response.body == "ok");
    }
    CHECK(client.connections() == 1);
}

TEST_CASE("an abandoned request's handler isn't called and its connection is gone")
{
    io_threads io;
    std::promise<void> received;
    std::promise<std::string> rest;
    raw_server server([&](raw_socket &connection) {
        connection.receiveUntil(endOfHeader);
        received.set_value();
        rest.set_value(connection.receiveAll());
    });
    http_client client(io.context, server.address(), {});
    std::atomic<bool> called{false};
    http_request request;
    request.method = "GET";
    request.target = "/";
    const auto pending = client.send(std::move(request), [&called](const http_result &) {
        called = true;
    });
    received.get_future().wait();
    pending->abandon();
    CHECK(rest.get_future().get().empty());
    CHECK_FALSE(called);
}
