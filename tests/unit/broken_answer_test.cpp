/** @file broken_answer_test.cpp Answers that end early or in a reset, or whose head HTTP doesn't allow, are treated as lost. */

#include "http/http_client_base.h"
#include "sidecar_fleet_fake.h"
#include "support/io_threads_base.h"
#include "support/raw_socket_base.h"

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <optional>
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

const std::vector<std::string> impossibleStatuses = {"000", "001", "099", "600", "999"};

/** Heads with a field whose name holds a blank or a control byte, or is empty. */
std::vector<std::string> malformedHeads()
{
    const std::vector<std::string> lines = {"X A: b",
                                            "X-A : b",
                                            "X-A\t: b",
                                            " X-A: b",
                                            "\tX-A: b",
                                            "Content-Length : 4",
                                            " Content-Length: 4",
                                            "\tContent-Length: 4",
                                            "Content Length: 4",
                                            std::string("X\0A: b", 6),
                                            "X\001A: b",
                                            "X\177A: b",
                                            "X\rA: b",
                                            "X\nA: b",
                                            ": b",
                                            " : b",
                                            "X-A"};
    std::vector<std::string> heads;
    for (const std::string &line : lines) {
        heads.push_back("HTTP/1.1 200 OK\r\n" + line + "\r\n"); // Directly below the status line.
        heads.push_back("HTTP/1.1 200 OK\r\nx-first: 1\r\n" + line + "\r\n"); // Below another field.
        heads.push_back("HTTP/1.1 200 OK\r\nx-empty:\r\n" + line + "\r\nx-last: 1\r\n");
    }
    return heads;
}

/** The start of a good answer of a backend server, without its length. */
std::string signedStart(std::string_view status, std::string_view id)
{
    return "HTTP/1.1 " + std::string(status) + " x\r\nx-id: " + std::string(id) + "\r\nx-signature: signed\r\n";
}

/** A backend server's handler that sends a signed answer of its own making, given the request's id. */
served_handler answerBytesOf(std::function<std::string(std::string_view id)> make)
{
    return [make = std::move(make)](const std::shared_ptr<test::http_exchange> &exchange) {
        exchange->answerBytes(make(headerOf(exchange->request(), "x-id")), false);
    };
}

/** The answers that the tests of whole sidecars send: each has to end as a lost one. */
std::vector<std::function<std::string(std::string_view id)>> brokenAnswers()
{
    std::vector<std::function<std::string(std::string_view id)>> answers;
    answers.reserve(2 * impossibleStatuses.size());
    for (const std::string &status : impossibleStatuses) {
        answers.emplace_back([status](std::string_view id) {
            return signedStart(status, id) + "Content-Length: 4\r\n\r\nbody";
        });
    }
    answers.emplace_back([](std::string_view id) { // The answer that seems to follow is none of the upstream's.
        return "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n" + signedStart("200", id) + "Content-Length: 4\r\n\r\nbody";
    });
    for (const std::string line : {"X A: b", "X-A : b", " X-A: b", "X\001A: b"}) {
        answers.emplace_back([line](std::string_view id) {
            return signedStart("200", id) + line + "\r\nContent-Length: 4\r\n\r\nbody";
        });
    }
    return answers;
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

TEST_CASE("an answer with a status that HTTP doesn't have is broken at once (MIXED)")
{
    std::promise<void> never;
    const auto holdOpen = [wait = never.get_future().share()](raw_socket &) {
        wait.wait_for(std::chrono::seconds(4));
    };
    for (const std::string &status : impossibleStatuses) {
        CAPTURE(status);
        const std::string start = "HTTP/1.1 " + status + " x\r\n";
        checkBroken(answerAtOnce(start + "Content-Length: 4\r\n\r\nbody", endAndReadOn), {});
        checkBroken(answerAtOnce(start + "\r\nbody", endAndReadOn), {});
        checkBroken(answerAtOnce(start + "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", endAndReadOn), {});
        checkBroken(answerAtOnce(interimHead + start + "Content-Length: 4\r\n\r\nbody", endAndReadOn), {});
        checkBroken(answerAtOnce(start + "Content-Length: 4\r\n\r\nbody", endAndReadOn), {"HEAD"});
        checkBroken(answerAtOnce(start + "Content-Length: 4\r\n\r\nbody", endAndReadOn), {"PUT", longUpload});
    }
    checkBroken(answerAtOnce("HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n", holdOpen), {});
    checkBroken(answerAtOnce("HTTP/1.1 20 x\r\nContent-Length: 0\r\n\r\n", endAndReadOn), {});
    checkBroken(answerAtOnce("HTTP/1.1 -20 x\r\nContent-Length: 0\r\n\r\n", endAndReadOn), {});
    checkBroken(answerAtOnce("HTTP/1.1 2000 x\r\nContent-Length: 0\r\n\r\n", endAndReadOn), {});
}

TEST_CASE("an answer with a blank or a control byte in the name of a field is broken (MIXED)")
{
    for (const std::string &head : malformedHeads()) {
        CAPTURE(head);
        checkBroken(answerAtOnce(head + "\r\nbody and more", endAndReadOn), {});
        checkBroken(answerAtOnce(head + "Content-Length: 4\r\n\r\nbody", endAndReadOn), {});
        checkBroken(answerAtOnce(interimHead + head + "Content-Length: 4\r\n\r\nbody", endAndReadOn), {});
        checkBroken(answerAtOnce(head + "Content-Length: 4\r\n\r\n", endAndReadOn), {"HEAD"});
    }
    checkBroken(answerAtOnce("HTTP/1.1 103 Early Hints\r\nx-first: 1\r\n X-A: b\r\n\r\n" + unframedHead + "body", endAndReadOn), {});
}

TEST_CASE("a sidecar answers a broken answer with 502 and repeats only what may be repeated (MIXED)")
{
    two_hosts hosts(false);
    auto &[fleet, entry, target] = hosts;
    for (const auto &broken : brokenAnswers()) {
        CAPTURE(broken("r"));
        target.serve = answerBytesOf(broken);
        for (const bool viaLink : {false, true}) {
            target.served.clear();
            const http_reply reply = fleet.call(viaLink ? entry : target, "/feebox/", clock_ms{1'000});
            CHECK(reply.message.status == 502);
            CHECK(std::string(headerOf(reply.message, "x-signature")).empty());
            CHECK(target.served.size() == 1);
        }
    }
}

TEST_CASE("a request that may be repeated gets a second server's answer in place of a broken one (MIXED)")
{
    sidecar_fleet fleet;
    sidecar_host &first = fleet.add("feebox");
    sidecar_host &second = fleet.add("feebox");
    fleet.configure(makeRoutes(3, {"feebox"}, true, 2));
    fleet.beat(first, "i-1", 4);
    fleet.beat(second, "i-2", 4);
    REQUIRE(fleet.ready());
    for (const auto &broken : brokenAnswers()) {
        CAPTURE(broken("r"));
        bool isFirst = true;
        const served_handler brokenOnce = [&isFirst, &broken](const std::shared_ptr<test::http_exchange> &exchange) {
            if (std::exchange(isFirst, false)) {
                answerBytesOf(broken)(exchange);
            } else {
                sidecar_fleet::answerWell(exchange);
            }
        };
        first.serve = brokenOnce;
        second.serve = brokenOnce;
        first.served.clear();
        second.served.clear();
        const http_reply reply = fleet.call(first, "/feebox/", clock_ms{1'000});
        CHECK(reply.message.status == 200);
        CHECK(reply.message.body == "answer to /feebox/");
        CHECK(first.served.size() + second.served.size() == 2);
    }
}

TEST_CASE("a broken answer over a link costs no other request of the link")
{
    std::shared_ptr<test::http_exchange> held;
    two_hosts hosts(false, [&held](const std::shared_ptr<test::http_exchange> &exchange) {
        held = exchange;
    });
    auto &[fleet, entry, target] = hosts;
    const auto other = fleet.send(entry, "/feebox/other", clock_ms{4'000});
    REQUIRE(fleet.eventually([&held] {
        return held != nullptr;
    }));
    for (const auto &broken : brokenAnswers()) {
        CAPTURE(broken("r"));
        target.serve = answerBytesOf(broken);
        CHECK(fleet.call(entry, "/feebox/", clock_ms{300}).message.status == 502);
    }
    sidecar_fleet::answerWell(held);
    REQUIRE(fleet.eventually([&other] {
        return other->has_value();
    }));
    CHECK((*other)->message.status == 200);
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

TEST_CASE("an answer that is cut inside its head is none at each byte (MIXED)")
{
    const std::vector<std::string> fields = {"Content-Length: 4\r\n", "Content-Length: 0\r\n", "", "Transfer-Encoding: chunked\r\n"};
    for (const std::string &framing : fields) {
        const std::string head = "HTTP/1.1 200 OK\r\nx-id: r-1\r\n" + framing + "\r\n";
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            CAPTURE(head.substr(0, cut));
            for (const sent_request &sent : {sent_request{"GET"}, sent_request{"POST", 10}}) {
                for (const auto &ending : {endAndReadOn, resetAtOnce}) {
                    const std::string failure(describe(exchangeWith(answerAtOnce(head.substr(0, cut), ending), sent).failure));
                    CHECK((failure == "broken_answer" || failure == "lost"));
                }
            }
        }
        checkBroken(answerAtOnce(head.substr(0, head.size() - 1), endAndReadOn), {"PUT", longUpload});
        checkBroken(answerAtOnce(interimHead + head.substr(0, head.size() - 1), endAndReadOn), {});
    }
}

TEST_CASE("a sidecar answers an answer that is cut inside its head with 502 (MIXED)")
{
    std::string head;
    std::size_t cut = 0;
    bool isReset = false;
    std::optional<raw_server> upstream; // Outlives the hosts, whose connections keep its thread.
    two_hosts hosts(false);
    auto &[fleet, entry, target] = hosts;
    target.server.reset();
    upstream.emplace(target.settings.backendAddress, [&](raw_socket &connection) {
        if (!connection.receiveUntil(endOfHead).empty()) {
            connection.send(head.substr(0, cut));
            (isReset ? resetAtOnce : endAndReadOn)(connection);
        }
    });
    const std::vector<std::string> framings = {"Content-Length: 4\r\n", "", "Transfer-Encoding: chunked\r\n"};
    for (const std::string &framing : framings) {
        head = "HTTP/1.1 200 OK\r\nx-signature: signed\r\n" + framing + "\r\n";
        for (cut = 0; cut < head.size(); ++cut) {
            for (const bool viaLink : {false, true}) {
                for (const std::string body : {"", "body"}) {
                    isReset = !isReset;
                    CAPTURE(head.substr(0, cut));
                    CAPTURE(viaLink);
                    CAPTURE(body);
                    CAPTURE(isReset);
                    const auto reply = fleet.send(viaLink ? entry : target, "/feebox/", clock_ms{2'000}, body);
                    REQUIRE(fleet.eventually([&reply] {
                        return reply->has_value();
                    }));
                    CHECK((*reply)->message.status == 502);
                    CHECK(std::string(headerOf((*reply)->message, "x-signature")).empty());
                }
            }
        }
    }
}
