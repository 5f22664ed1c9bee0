/** @file peer_test.cpp Messages between daemons: detection of unsent and lost messages, and of malformed ones. */

#include "http/http_server_base.h"
#include "peer/peer_client_base.h"
#include "peer/peer_codec_func.h"
#include "peer/peer_server_base.h"
#include "support/raw_socket_base.h"

#include <doctest/doctest.h>

#include <future>
#include <random>
#include <thread>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

constexpr std::size_t messageBytes = 1'000'000;
constexpr clock_ms timeLimit{500};

peer_call makeCall()
{
    peer_call call;
    call.attempt = call_id{7};
    call.request.context.root = root_id{9};
    call.request.context.rank = rank_id{1};
    call.request.context.callClass = "browse";
    call.request.context.deadline = steadyNow() + clock_ms{1'000};
    call.request.service = "mapview";
    call.request.operation = "browse";
    call.request.method = "GET";
    call.request.target = "/";
    call.request.headers = {{"accept", "text/html"}};
    call.request.body = "body";
    return call;
}

/** Sends a call to an address. @return Its failure, if any, and the reply. */
std::pair<peer_failure, peer_reply> callOnce(const std::string &address)
{
    peer_client client(messageBytes);
    std::promise<std::pair<peer_failure, peer_reply>> ended;
    client.call(address, makeCall(), timeLimit, [&ended](peer_failure failure, peer_reply reply) {
        ended.set_value({failure, std::move(reply)});
    });
    return ended.get_future().get();
}

/** A peer listener that replies to each call through the given function. */
class replying_server
{
public:
    explicit replying_server(std::function<void(peer_call, std::function<void(peer_reply)>)> reply)
        : m_address(unusedAddress())
        , m_server(m_address, messageBytes, hooksFor(std::move(reply)))
    {
    }

    const std::string &address() const
    {
        return m_address;
    }

private:
    static peer_server_hooks hooksFor(std::function<void(peer_call, std::function<void(peer_reply)>)> reply)
    {
        peer_server_hooks hooks;
        hooks.call = [reply = std::move(reply)](peer_call call, std::function<void(peer_reply)> handler) {
            reply(std::move(call), std::move(handler));
            return std::function<void()>();
        };
        return hooks;
    }

    std::string m_address;
    peer_server m_server;
};

} // namespace

TEST_CASE("a message to a host that isn't there is surely not sent, one without a reply is lost")
{
    CHECK(callOnce(unusedAddress()).first == peer_failure::not_sent);

    std::function<void(peer_reply)> sendReply;
    replying_server silent([&sendReply](const peer_call &call, std::function<void(peer_reply)> handler) {
        sendReply = [handler = std::move(handler), attempt = call.attempt](peer_reply reply) {
            reply.attempt = attempt;
            handler(std::move(reply));
        };
    });
    CHECK(callOnce(silent.address()).first == peer_failure::lost);
    sendReply({});
}

TEST_CASE("a message whose receiver ends while it works on it is lost")
{
    std::promise<void> received;
    std::function<void(peer_reply)> sendReply;
    auto server = std::make_unique<replying_server>([&](const peer_call &, std::function<void(peer_reply)> handler) {
        sendReply = std::move(handler);
        received.set_value();
    });
    peer_client client(messageBytes);
    std::promise<peer_failure> ended;
    client.call(server->address(), makeCall(), clock_ms{5'000}, [&ended](peer_failure failure, const peer_reply &) {
        ended.set_value(failure);
    });
    received.get_future().wait();
    std::thread stopping([&server] {
        server.reset();
    });
    CHECK(ended.get_future().get() == peer_failure::lost);
    sendReply({});
    stopping.join();
}

TEST_CASE("a reply to another attempt isn't a reply")
{
    replying_server mismatching([](const peer_call &, const std::function<void(peer_reply)> &handler) {
        peer_reply reply;
        reply.attempt = call_id{8};
        reply.result.outcome = call_outcome::answered;
        reply.result.status = 200;
        handler(std::move(reply));
    });
    CHECK(callOnce(mismatching.address()).first == peer_failure::lost);

    replying_server matching([](const peer_call &call, const std::function<void(peer_reply)> &handler) {
        peer_reply reply;
        reply.attempt = call.attempt;
        reply.result.outcome = call_outcome::answered;
        reply.result.status = 200;
        reply.result.body = call.request.body;
        handler(std::move(reply));
    });
    const auto ended = callOnce(matching.address());
    CHECK(ended.first == peer_failure::none);
    CHECK(ended.second.result.body == "body");
}

TEST_CASE("a call survives its message")
{
    const peer_call call = makeCall();
    const clock_ms now = steadyNow();
    const peer_call decoded = decodeCall(encodeCall(call, now), now);
    CHECK(decoded.attempt == call.attempt);
    CHECK(decoded.request.context.deadline == call.request.context.deadline);
    CHECK(decoded.request.body == call.request.body);
    CHECK(decoded.request.headers.at(0).value == "text/html");
}

TEST_CASE("messages out of range are typed errors")
{
    const clock_ms now = steadyNow();
    const auto checkRejected = [now](const std::function<void(wire::Call_Request &)> &change) {
        wire::Call_Request message = encodeCall(makeCall(), now);
        change(message);
        CHECK_THROWS_AS(decodeCall(message, now), peer_format_error);
    };
    checkRejected([](auto &message) {
        message.set_rank(255);
    });
    checkRejected([](auto &message) {
        message.set_depth(200);
    });
    checkRejected([](auto &message) {
        message.set_retry_allowance(1'000'000);
    });
    checkRejected([](auto &message) {
        message.set_root(0);
    });
    checkRejected([](auto &message) {
        message.set_attempt(0);
    });
    wire::Call_Reply reply;
    reply.set_outcome(77);
    CHECK_THROWS_AS(decodeReply(std::move(reply)), peer_format_error);
    wire::Call_Reply inconsistent; // Outcome `not run` with a reason that implies `unknown`.
    inconsistent.set_outcome(static_cast<std::uint32_t>(call_outcome::not_run));
    inconsistent.set_reason(static_cast<std::uint32_t>(outcome_reason::connection_lost));
    CHECK_THROWS_AS(decodeReply(std::move(inconsistent)), peer_format_error);
}

TEST_CASE("an answer with a status or a header that HTTP doesn't allow is a typed error (MIXED)")
{
    const auto decode = [](unsigned status, const http_field &field) {
        peer_reply reply;
        reply.result.outcome = call_outcome::answered;
        reply.result.status = status;
        reply.result.headers = {field};
        return decodeReply(encodeReply(reply));
    };
    const http_field sound{"x-sound", "value"};
    CHECK(decode(200, sound).result.status == 200);
    CHECK(decode(599, sound).result.status == 599);
    for (const unsigned status : {0U, 99U, 100U, 199U, 600U, 999U}) {
        CAPTURE(status);
        CHECK_THROWS_AS(decode(status, sound), peer_format_error);
    }
    for (const std::string name : {"x y", " x", "x ", "x\x01", "x\r\n", ""}) {
        CAPTURE(name);
        CHECK_THROWS_AS(decode(200, {name, "value"}), peer_format_error);
    }
    CHECK_THROWS_AS(decode(200, {"x", "a\r\nb: c"}), peer_format_error);
}

TEST_CASE("mutated messages decode or are typed errors and nothing else")
{
    const clock_ms now = steadyNow();
    const std::string original = encodeCall(makeCall(), now).SerializeAsString();
    std::mt19937_64 random(1);
    for (int round = 0; round < 20'000; ++round) {
        CAPTURE(round);
        std::string bytes = original;
        for (std::uint64_t change = random() % 4 + 1; change > 0; --change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        wire::Call_Request message;
        if (!message.ParseFromString(bytes)) {
            continue;
        }
        try {
            const peer_call decoded = decodeCall(message, now);
            CHECK(decoded.request.context.rank.value < maxRanks);
        } catch (const peer_format_error &) {
            continue;
        }
    }
}
