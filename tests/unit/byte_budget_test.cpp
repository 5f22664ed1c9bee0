/** @file byte_budget_test.cpp Tests of the memory budget for request and response bytes. */

#include "core/byte_budget_base.h"
#include "http/http_server_base.h"
#include "sidecar_fleet_fake.h"
#include "support/io_threads_base.h"
#include "support/raw_socket_base.h"

#include <doctest/doctest.h>

using namespace cicadamux;
using namespace cicadamux::test;

TEST_CASE("bytes beyond a budget are refused and a destroyed reservation frees its bytes")
{
    const auto budget = std::make_shared<byte_budget>(100);
    byte_reservation first(budget);
    CHECK(first.tryResize(60));
    {
        byte_reservation second(budget);
        CHECK_FALSE(second.tryResize(41));
        CHECK(second.tryResize(40));
        CHECK_FALSE(first.tryResize(61));
        byte_reservation moved = std::move(second);
        CHECK(budget->used() == 100);
    }
    CHECK(budget->used() == 60);
    first.forceResize(300); // Bytes already in memory count even beyond the limit.
    CHECK(budget->used() == 300);
    CHECK(first.tryResize(10));
    CHECK(budget->used() == 10);
    byte_reservation unbounded;
    CHECK(unbounded.tryResize(1'000'000'000));
}

TEST_CASE("a body beyond the budget is refused before it is sent")
{
    io_threads io;
    cicadamux::http_server server(
        io.context,
        "127.0.0.1:0",
        http_limits(),
        [](const cicadamux::http_request &, const std::shared_ptr<cicadamux::http_exchange> &exchange) {
            exchange->respond({});
        },
        [](http_read_failure failure) {
            http_response response;
            response.status = failure == http_read_failure::memory_exhausted ? 503 : 400;
            return response;
        });
    server.setBudget(std::make_shared<byte_budget>(100'000));
    server.open();
    raw_socket socket(server.boundAddress());
    socket.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n");
    CHECK(socket.receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 503"));
}

TEST_CASE("a body beyond the memory budget is refused unread with Retry-After and smaller bodies still pass")
{
    holding_host host(4, 3); // The memory budget is a sixth of 3 MB: 500,000 bytes.
    auto &[fleet, held, entry] = host;
    const auto first = fleet.send(entry, "/feebox/", clock_ms{5'000}, std::string(200'000, 'x'));
    REQUIRE(host.holds(1));
    const auto second = fleet.send(entry, "/feebox/", clock_ms{5'000}, std::string(200'000, 'x'));
    REQUIRE(fleet.eventually([&second] {
        return second->has_value();
    }));
    CHECK((**second).message.status == 503);
    CHECK_FALSE(headerOf((**second).message, "retry-after").empty());
    CHECK(held.size() == 1);
    sidecar_fleet::answerWell(held.front());
    REQUIRE(fleet.eventually([&first] {
        return first->has_value();
    }));
    CHECK((**first).message.status == 200);
    entry.serve = sidecar_fleet::answerWell;
    const auto third = fleet.send(entry, "/feebox/", clock_ms{5'000}, std::string(200'000, 'x'));
    REQUIRE(fleet.eventually([&third] {
        return third->has_value();
    }));
    CHECK((**third).message.status == 200);
}
