/** @file server_limit_test.cpp Tests of backend servers that state in their answers the rate that they take. */

#include "sidecar/server_memory_base.h"
#include "sidecar_fleet_fake.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{
constexpr double statedRate = 4; ///< Requests a second.
/** Requests that the server may get in four seconds: one and a half times its rate, and five. */
constexpr std::size_t allowedInWindow = 29;

served_handler answerWithRate(const std::string &rate)
{
    return [rate](const std::shared_ptr<test::http_exchange> &exchange) {
        http_message answer = sidecar_fleet::goodAnswer(exchange->request());
        answer.headers.push_back({"x-rate", rate});
        exchange->answer(answer);
    };
}

/** Sends requests for two seconds, many more than the stated rate. @return Their replies. */
std::vector<std::shared_ptr<std::optional<http_reply>>> flood(sidecar_fleet &fleet, sidecar_host &entry)
{
    constexpr int requests = 100;
    std::vector<std::shared_ptr<std::optional<http_reply>>> replies;
    replies.reserve(requests);
    for (int sent = 0; sent < requests; ++sent) {
        replies.push_back(fleet.send(entry, "/feebox/", clock_ms{5'000}));
        fleet.runFor(clock_ms{20});
    }
    const bool areAnswered = fleet.eventually([&replies] {
        return std::ranges::all_of(replies, [](const auto &reply) {
            return reply->has_value();
        });
    });
    CHECK(areAnswered);
    return replies;
}

long countStatus(const std::vector<std::shared_ptr<std::optional<http_reply>>> &replies, unsigned status)
{
    return std::ranges::count_if(replies, [status](const auto &reply) {
        return reply->has_value() && (*reply)->message.status == status;
    });
}
} // namespace

// A server got several times the rate that it stated, since its gate admitted by slots alone.
TEST_CASE("a backend server gets no more requests than the rate that it states (LIMIT)")
{
    two_hosts hosts(true, answerWithRate(std::to_string(statedRate)));
    auto &[fleet, entry, target] = hosts;
    REQUIRE(fleet.call(entry, "/feebox/").message.status == 200);
    const auto replies = flood(fleet, entry);
    CHECK(target.served.size() <= allowedInWindow);
    CHECK(countStatus(replies, 200) == static_cast<long>(target.served.size()) - 1);
    CHECK(countStatus(replies, 503) == static_cast<long>(replies.size()) - countStatus(replies, 200));
}

// The host where a request begins is bound by the rate that it has passed on, also if the gate has forgotten it.
TEST_CASE("a stated rate holds after the sidecar beside the backend server has restarted (LIMIT)")
{
    two_hosts hosts(true, answerWithRate(std::to_string(statedRate)));
    auto &[fleet, entry, target] = hosts;
    REQUIRE(fleet.call(entry, "/feebox/").message.status == 200);
    target.serve = [&context = hosts.fleet.context,
                    answer = target.serve](const std::shared_ptr<test::http_exchange> &exchange) { // Slow, so that many requests arrive before an answer.
        const auto timer = std::make_shared<boost::asio::steady_timer>(context, std::chrono::milliseconds(300));
        timer->async_wait([timer, exchange, answer](boost::system::error_code) {
            answer(exchange);
        });
    };
    fleet.restart(target);
    fleet.beat(target, "i-1", 60);
    REQUIRE(fleet.ready());
    fleet.runFor(clock_ms{1'500}); // Until the link is up again; no answer has come since the restart.
    const std::size_t before = target.served.size();
    std::vector<std::shared_ptr<std::optional<http_reply>>> replies;
    constexpr int requests = 60;
    replies.reserve(requests);
    for (int sent = 0; sent < requests; ++sent) {
        replies.push_back(fleet.send(entry, "/feebox/", clock_ms{5'000}));
    }
    fleet.runFor(clock_ms{1'500});
    CHECK(target.served.size() > before);
    CHECK(target.served.size() - before <= allowedInWindow);
}

TEST_CASE("a rate is a decimal number and any other text states none")
{
    CHECK(parseRate("17.8") == 17.8);
    CHECK(parseRate("0") == 0.0);
    CHECK(parseRate("250") == 250.0);
    for (const std::string text : {"", ".", "-1", "+4", "4 ", "1e3", "0x10", "nan", "inf", "4,5", "4.5.6", "four", "4;5"}) {
        CAPTURE(text);
        CHECK_FALSE(parseRate(text));
    }
    CHECK_FALSE(parseRate(std::string(400, '9'))); // Beyond the range of a double.
}

TEST_CASE("an unreadable rate changes nothing and an answer without one lifts it")
{
    two_hosts hosts(true, answerWithRate("1"));
    auto &[fleet, entry, target] = hosts;
    REQUIRE(fleet.call(entry, "/feebox/").message.status == 200);
    for (const std::string text : {"-4", "1e9", "many", ""}) {
        CAPTURE(text);
        target.serve = answerWithRate(text);
        fleet.runFor(clock_ms{1'000});
        CHECK(fleet.call(entry, "/feebox/").message.status == 200);
        CHECK(fleet.call(entry, "/feebox/").message.status == 503); // Still one a second.
    }
    target.serve = sidecar_fleet::answerWell;
    fleet.runFor(clock_ms{1'000});
    for (int number = 0; number < 10; ++number) {
        CHECK(fleet.call(entry, "/feebox/").message.status == 200);
    }
}

TEST_CASE("a new incarnation of a backend server isn't bound by the rate of the earlier one")
{
    two_hosts hosts(true, answerWithRate("1"));
    auto &[fleet, entry, target] = hosts;
    REQUIRE(fleet.call(entry, "/feebox/").message.status == 200); // States the rate.
    REQUIRE(fleet.call(entry, "/feebox/").message.status == 200); // Takes the one turn.
    CHECK(fleet.call(entry, "/feebox/").message.status == 503);
    std::vector<std::shared_ptr<test::http_exchange>> held;
    target.serve = [&held](const std::shared_ptr<test::http_exchange> &exchange) {
        held.push_back(exchange);
    };
    fleet.beat(target, "i-1", 4, "gone");
    fleet.beat(target, "i-2", 4);
    fleet.beat(target, "i-2", 4); // Its start time isn't later, so that one heartbeat isn't enough.
    fleet.runFor(clock_ms{100}); // Until the other host has heard of it.
    const std::vector replies = {fleet.send(entry, "/feebox/", clock_ms{5'000}), fleet.send(entry, "/feebox/", clock_ms{5'000})};
    fleet.runFor(clock_ms{500});
    CHECK(held.size() == replies.size()); // Both before its first answer.
}

TEST_CASE("what is remembered of backend servers is bounded and an answer without a rate ends it")
{
    server_memory memory;
    constexpr std::uint64_t servers = 10'000;
    for (std::uint64_t number = 1; number <= servers; ++number) {
        memory.record({server_incarnation{number}, true, 5.0});
    }
    CHECK(memory.find(server_incarnation{1}) == nullptr);
    REQUIRE(memory.find(server_incarnation{servers}) != nullptr);
    CHECK(memory.find(server_incarnation{servers})->maxRate == 5.0);
    memory.record({server_incarnation{servers}, true, std::nullopt});
    CHECK(memory.find(server_incarnation{servers}) == nullptr);
}
