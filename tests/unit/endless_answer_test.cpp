/** @file endless_answer_test.cpp Backend servers that send bytes without end: memory and time stay bounded and the connection is closed. */

#include "http/http_client_base.h"
#include "sidecar_fleet_fake.h"
#include "support/io_threads_base.h"
#include "support/raw_socket_base.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

constexpr std::size_t maxTaken = 16'000'000; ///< Bytes; the limits below and what socket buffers take.

/** A server that sends a beginning, then a part over and over, until the client closes or more than `maxTaken` bytes were taken. */
class endless_server
{
public:
    endless_server(std::string beginning, std::string part)
        : m_server([this, beginning = std::move(beginning), part = std::move(part)](raw_socket &connection) {
            connection.receiveUntil("\r\n\r\n");
            std::size_t sent = beginning.size();
            bool isOpen = connection.send(beginning);
            while (isOpen && sent <= maxTaken) {
                isOpen = connection.send(part);
                sent += part.size();
            }
            taken.set_value(sent);
        })
    {
    }

    std::promise<std::size_t> taken;

    const std::string &address() const
    {
        return m_server.address();
    }

private:
    raw_server m_server;
};

struct endless_outcome {
    cicadamux::http_failure failure = cicadamux::http_failure::none;
    std::size_t taken = 0; ///< Bytes that the client took before it closed the connection.
};

endless_outcome readEndless(const std::string &beginning, const std::string &part, std::shared_ptr<byte_budget> budget = nullptr)
{
    io_threads io;
    endless_server server(beginning, part);
    http_limits limits;
    limits.maxHeaderBytes = 16'384;
    limits.maxBodyBytes = budget ? 64'000'000 : 1'000'000;
    cicadamux::http_client client(io.context, server.address(), limits);
    http_answer_rules rules;
    rules.acceptsUnframed = true;
    rules.budget = std::move(budget);
    std::promise<cicadamux::http_failure> ended;
    cicadamux::http_request request;
    request.method = "GET";
    request.target = "/";
    const auto pending = client.send(
        std::move(request),
        [&ended](const cicadamux::http_result &result) {
            ended.set_value(result.failure);
        },
        std::move(rules));
    auto failure = ended.get_future();
    auto taken = server.taken.get_future();
    REQUIRE(taken.wait_for(std::chrono::seconds(20)) == std::future_status::ready);
    const bool isEnded = failure.wait_for(std::chrono::seconds(5)) == std::future_status::ready;
    if (!isEnded) {
        pending->abandon();
    }
    return {isEnded ? failure.get() : cicadamux::http_failure::none, taken.get()};
}

std::string filler(char character)
{
    return std::string(65'536, character);
}

/** @return Memory of this process that is resident. */
std::size_t residentBytes()
{
    std::ifstream statistics("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statistics >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/** A backend server's handler that sends the start of an answer and then nothing. */
served_handler stallAfter(const std::string &bytes)
{
    return [bytes](const std::shared_ptr<test::http_exchange> &exchange) {
        exchange->answerBytes(bytes, false);
    };
}

std::string signedStart(const std::shared_ptr<test::http_exchange> &exchange)
{
    return "HTTP/1.1 200 OK\r\nx-id: " + std::string(headerOf(exchange->request(), "x-id")) + "\r\nx-signature: signed\r\n";
}

} // namespace

TEST_CASE("a head or a body without end is cut off after bounded bytes and is no answer")
{
    struct endless_answer {
        const char *name;
        std::string beginning;
        std::string part;
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<endless_answer> answers = {
        {"bytes that are no answer", "", filler('z')},
        {"status line", "HTTP/1.1 200 ", filler('O')},
        {"one header", "HTTP/1.1 200 OK\r\nx: ", filler('a')},
        {"headers", "HTTP/1.1 200 OK\r\n", "x-more: header\r\n"},
        {"chunk size", chunked, filler('0')},
        {"chunk extension", chunked + "5;", filler('e')},
        {"chunks", chunked, "400\r\n" + std::string(1'024, 'c') + "\r\n"},
        {"trailer", chunked + "0\r\n", "x-more: trailer\r\n"},
        {"body without a length", "HTTP/1.1 200 OK\r\n\r\n", filler('b')},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"interim answers with headers", "", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"},
    };
    for (const endless_answer &answer : answers) {
        CAPTURE(answer.name);
        const endless_outcome outcome = readEndless(answer.beginning, answer.part);
        CHECK(outcome.failure == cicadamux::http_failure::broken_answer);
        CHECK(outcome.taken < maxTaken);
    }
}

TEST_CASE("a body without end stays within the memory budget of the process and gives it back")
{
    const auto budget = std::make_shared<byte_budget>(500'000);
    const endless_outcome outcome = readEndless("HTTP/1.1 200 OK\r\n\r\n", filler('b'), budget);
    CHECK(outcome.failure == cicadamux::http_failure::memory_exhausted);
    CHECK(outcome.taken < maxTaken);
    CHECK(budget->used() == 0);
}

TEST_CASE("an interim answer is skipped and the final one is delivered (MIXED)")
{
    two_hosts hosts(false, [](const std::shared_ptr<test::http_exchange> &exchange) {
        exchange->answerBytes(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" + signedStart(exchange) + "Content-Length: 5\r\n\r\nfinal", false);
    });
    auto &[fleet, entry, target] = hosts;
    for (int request = 0; request < 3; ++request) { // On one connection.
        const http_reply reply = fleet.call(entry, "/feebox/");
        CHECK(reply.message.status == 200);
        CHECK(reply.message.body == "final");
    }
}

TEST_CASE("an answer that stops half-way holds its slot until the limit and other requests go on")
{
    const std::vector<std::string> starts = {"HTTP/1.1 2", "HTTP/1.1 200 OK\r\nx-", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4"};
    for (const std::string &start : starts) {
        CAPTURE(start);
        two_hosts hosts(false, stallAfter(start));
        auto &[fleet, entry, target] = hosts;
        const auto stalled = fleet.send(entry, "/feebox/", clock_ms{400});
        REQUIRE(fleet.eventually([&hosts] {
            return hosts.target.served.size() == 1;
        }));
        target.serve = sidecar_fleet::answerWell;
        CHECK(fleet.call(entry, "/feebox/").message.status == 200);
        CHECK_FALSE(stalled->has_value());
        REQUIRE(fleet.eventually([&stalled] {
            return stalled->has_value();
        }));
        CHECK((*stalled)->message.status == 504);
        CHECK(fleet.call(entry, "/feebox/").message.status == 200);
    }
}

TEST_CASE("bodies without end on some requests leave memory for the others")
{
    constexpr std::uint32_t memoryMb = 6;
    holding_host host(8, memoryMb);
    auto &[fleet, held, entry] = host;
    const auto first = fleet.send(entry, "/feebox/", clock_ms{3'000});
    REQUIRE(host.holds(1));
    held[0]->answerBytes(signedStart(held[0]) + "\r\n" + std::string(4'000'000, 'b'), false);
    REQUIRE(fleet.eventually([&first] {
        return first->has_value();
    }));
    CHECK((*first)->message.status == 502);
    entry.serve = sidecar_fleet::answerWell;
    CHECK(fleet.call(entry, "/feebox/").message.status == 200);
}

TEST_CASE("many answers without end at once leave the process within a bound of its memory (LOST)")
{
    constexpr int servers = 40;
    constexpr std::size_t budgetBytes = 4'000'000;
    constexpr std::size_t maxGrowth = 64'000'000; // Bytes; a tenth of what the servers send.
    struct endless_form {
        const char *name;
        std::string beginning;
        std::string part;
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<endless_form> forms = {
        {"head", "HTTP/1.1 200 OK\r\nx: ", filler('a')},
        {"body", "HTTP/1.1 200 OK\r\n\r\n", filler('b')},
        {"chunks", chunked, "10000\r\n" + filler('c') + "\r\n"},
        {"no answer", "", filler('z')},
    };
    for (const endless_form &form : forms) {
        CAPTURE(form.name);
        const auto budget = std::make_shared<byte_budget>(budgetBytes);
        const std::size_t before = residentBytes();
        std::atomic<std::size_t> most{0};
        std::atomic<int> broken{0};
        std::atomic<std::size_t> held{0};
        std::vector<std::thread> callers;
        callers.reserve(servers);
        for (int index = 0; index < servers; ++index) {
            callers.emplace_back([&] {
                const endless_outcome outcome = readEndless(form.beginning, form.part, budget);
                broken += outcome.failure == cicadamux::http_failure::broken_answer || outcome.failure == cicadamux::http_failure::memory_exhausted ? 1 : 0;
                most = std::max(most.load(), residentBytes());
                held = std::max(held.load(), budget->used());
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        CHECK(broken == servers);
        CHECK(held <= budgetBytes);
        CHECK(budget->used() == 0);
        CHECK(most <= before + maxGrowth);
    }
}
