/** @file broken_answer_test.cpp Answers that end in a reset are treated as lost. */

#include "http/http_client_base.h"
#include "sidecar_fleet_fake.h"
#include "support/io_threads_base.h"
#include "support/raw_socket_base.h"

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

constexpr std::string_view endOfHead = "\r\n\r\n";
constexpr std::size_t longUpload = 32'000'000; ///< Bytes; more than socket buffers hold, so that it is being written while the answer comes.
constexpr int rounds = 20; ///< Of a case whose course depends on the order of events.
constexpr std::chrono::milliseconds pause{20}; ///< Between two steps of a server, for the client to see the first one alone.

using serve_function = std::function<void(raw_socket &)>;

struct sent_request {
    std::string method = "GET";
    std::size_t bodyBytes = 0;
};

/** Sends a request to a server. @return Its outcome; the test fails if there is none in time. */
http_result exchangeWith(const serve_function &serve, const sent_request &sent, bool acceptsUnframed = true)
{
    io_threads io;
    raw_server server(serve);
    http_limits limits;
    limits.maxBodyBytes = 100;
    cicadamux::http_client client(io.context, server.address(), limits);
    std::promise<http_result> ended;
    cicadamux::http_request request;
    request.method = sent.method;
    request.target = "/";
    request.body = std::string(sent.bodyBytes, 'u');
    http_answer_rules rules;
    rules.acceptsUnframed = acceptsUnframed;
    const auto pending = client.send(
        std::move(request),
        [&ended](http_result result) {
            ended.set_value(std::move(result));
        },
        std::move(rules));
    auto outcome = ended.get_future();
    if (outcome.wait_for(std::chrono::seconds(3)) != std::future_status::ready) {
        pending->abandon();
        FAIL("no outcome");
    }
    return outcome.get();
}

/** A server that sends an answer as soon as it has a request's head. */
serve_function answerAtOnce(const std::string &answer, std::function<void(raw_socket &)> ending)
{
    return [answer, ending = std::move(ending)](raw_socket &connection) {
        if (connection.receiveUntil(endOfHead).empty()) {
            return; // The client has closed the connection.
        }
        connection.send(answer);
        ending(connection);
    };
}

void resetAtOnce(raw_socket &connection)
{
    connection.reset();
}

void resetLater(raw_socket &connection)
{
    std::this_thread::sleep_for(pause);
    connection.reset();
}

/** Ends the answer, reads what the client still sends, and closes. */
void endAndReadOn(raw_socket &connection)
{
    connection.finishSending();
    connection.receiveAll();
}

void endThenReset(raw_socket &connection)
{
    connection.finishSending();
    connection.reset();
}

void endThenResetLater(raw_socket &connection)
{
    connection.finishSending();
    std::this_thread::sleep_for(pause);
    connection.reset();
}

void checkBroken(const serve_function &serve, const sent_request &sent)
{
    CHECK(std::string(describe(exchangeWith(serve, sent).failure)) == "broken_answer");
}

void checkWhole(const serve_function &serve, const sent_request &sent, std::string_view body)
{
    const http_result result = exchangeWith(serve, sent);
    CHECK(std::string(describe(result.failure)) == "none");
    CHECK(result.response.status == 200);
    CHECK(result.response.body == body);
}

const std::string unframedHead = "HTTP/1.1 200 OK\r\n\r\n";
const std::string interimHead = "HTTP/1.1 100 Continue\r\n\r\n";

/** The start of a good answer of a backend server, without its length. */
std::string signedStart(std::string_view status, std::string_view id)
{
    return "HTTP/1.1 " + std::string(status) + " x\r\nx-id: " + std::string(id) + "\r\nx-signature: signed\r\n";
}

} // namespace

TEST_CASE("an answer without a length that is reset while the request is still written is broken (MIXED)")
{
    const sent_request upload{"PUT", longUpload};
    for (int round = 0; round < rounds; ++round) {
        checkBroken(answerAtOnce(unframedHead + "part", resetAtOnce), upload);
        checkBroken(answerAtOnce(unframedHead + "part", resetLater), upload);
        checkBroken(answerAtOnce(interimHead + unframedHead + "part", resetLater), upload);
    }
    checkBroken(answerAtOnce(unframedHead, resetLater), upload);
}

TEST_CASE("an answer without a length that is reset after the request was written is broken (MIXED)")
{
    for (int round = 0; round < rounds; ++round) {
        checkBroken(answerAtOnce(unframedHead + "part", resetAtOnce), {});
    }
    checkBroken(answerAtOnce(unframedHead + "part", resetLater), {});
    checkBroken(answerAtOnce(interimHead + unframedHead + "part", resetLater), {});
    checkBroken(answerAtOnce("HTTP/1.0 200 OK\r\n\r\npart", resetLater), {});
    checkBroken(answerAtOnce(unframedHead + "part", resetLater), {"PUT", 1'000});
}

TEST_CASE("an answer without a length that ends while the request is still written is whole")
{
    const sent_request upload{"PUT", longUpload};
    const std::string answer = unframedHead + "whole";
    checkWhole(answerAtOnce(answer, endAndReadOn), upload, "whole");
    checkWhole(answerAtOnce(interimHead + answer, endAndReadOn), upload, "whole");
    std::promise<void> answered;
    const auto isAnswered = answered.get_future().share();
    const auto holdOpen = [isAnswered](raw_socket &connection) {
        connection.finishSending();
        isAnswered.wait();
    };
    std::thread release([&answered] {
        std::this_thread::sleep_for(std::chrono::seconds(1));
        answered.set_value();
    });
    checkWhole(answerAtOnce(answer, holdOpen), upload, "whole");
    release.join();
    for (int round = 0; round < rounds; ++round) { // The end came first, so the reset cuts off only the request.
        checkWhole(answerAtOnce(answer, endThenReset), upload, "whole");
        checkWhole(answerAtOnce(answer, endThenResetLater), upload, "whole");
    }
}

TEST_CASE("a sound answer without a length and one that needs none is whole")
{
    checkWhole(answerAtOnce(unframedHead + "whole", endAndReadOn), {}, "whole");
    checkWhole(answerAtOnce(unframedHead, endAndReadOn), {}, "");
    checkWhole(answerAtOnce("HTTP/1.0 200 OK\r\n\r\nwhole", endAndReadOn), {}, "whole");
    checkWhole(answerAtOnce(interimHead + unframedHead + "whole", endAndReadOn), {}, "whole");
    checkWhole(answerAtOnce(unframedHead + "whole", endAndReadOn), {"PUT", 1'000}, "whole");
    checkWhole(answerAtOnce(unframedHead, resetLater), {"HEAD"}, ""); // Ends with its head.
    checkWhole(answerAtOnce("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", resetLater), {"PUT", longUpload}, "whole");
    checkWhole(answerAtOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", resetLater), {"PUT", longUpload}, "whole");
}

TEST_CASE("a long upload that is answered early and reset gets 502 from its sidecar and a sound early answer passes whole (MIXED)")
{
    constexpr std::size_t uploadBytes = 12'000'000;
    for (const bool isReset : {true, false}) {
        sidecar_fleet fleet;
        sidecar_host &host = fleet.add("feebox");
        route_configuration configuration = makeRoutes(3, {"feebox"}, false, 2);
        configuration.limits.maxBodyBytes = 2 * uploadBytes;
        fleet.configure(std::move(configuration));
        fleet.beat(host, "i-1", 4);
        REQUIRE(fleet.ready());
        host.server.reset();
        const raw_server upstream(host.settings.backendAddress, [isReset](raw_socket &connection) {
            const std::string head = connection.receiveUntil(endOfHead);
            const std::size_t name = head.find("x-id: ");
            if (name == std::string::npos) {
                return;
            }
            const std::size_t id = name + std::string_view("x-id: ").size();
            connection.send(signedStart("200", head.substr(id, head.find('\r', id) - id)) + "\r\nbody");
            (isReset ? resetLater : endAndReadOn)(connection);
        });
        const auto reply = fleet.send(host, "/feebox/", clock_ms{4'000}, std::string(uploadBytes, 'u'));
        REQUIRE(fleet.eventually([&reply] {
            return reply->has_value();
        }));
        CHECK((*reply)->message.status == (isReset ? 502 : 200));
        CHECK((*reply)->message.body.starts_with("body") == !isReset);
    }
}
