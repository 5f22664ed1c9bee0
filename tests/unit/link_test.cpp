/** @file link_test.cpp Links between sidecars: outcomes of calls, silent peers, cancellation. */

#include "link/host_link_base.h"
#include "link/link_codec_func.h"
#include "link/link_server_base.h"
#include "support/raw_socket_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <thread>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

/** A link and its server on one event loop. */
class linked_pair
{
public:
    linked_pair()
    {
        link_server_hooks hooks;
        hooks.call = [this](link_call call, link_responder responder) {
            calls.push_back(std::move(call));
            responders.push_back(std::move(responder));
            return [this] {
                ++cancelled;
            };
        };
        hooks.report = [] {
            host_report report;
            report.limit = 7;
            report.runs = {{"browse", {120}}};
            return report;
        };
        hooks.configuration = [] {
            return configuration_offer{9, "nine"};
        };
        hooks.configurationOffered = [this](const configuration_offer &offer) {
            serverOffered = offer;
        };
        hooks.hostsIntroduced = [this](const host_introduction &hosts) {
            introduced = hosts;
        };
        server = std::make_unique<link_server>(context, "127.0.0.1:0", 1'000'000, std::move(hooks));
        link = connectTo(server->boundAddress());
    }

    std::shared_ptr<host_link> connectTo(const std::string &address)
    {
        host_link_settings settings;
        settings.suspectAfter = {100};
        settings.disconnectAfter = {400};
        settings.probePeriod = {50};
        host_link_hooks hooks;
        hooks.reported = [this](const host_report &report) {
            reported = report;
        };
        hooks.configurationOffered = [this](const configuration_offer &offer) {
            offered = offer;
        };
        hooks.changed = [](bool, std::string_view) {};
        auto made = std::make_shared<host_link>(context, address, settings, std::move(hooks));
        made->start();
        return made;
    }

    /** Runs the event loop until a condition holds, for at most two seconds. */
    template<typename Condition>
    bool runUntil(Condition holds)
    {
        const clock_ms end = steadyNow() + clock_ms{2'000};
        while (!holds() && steadyNow() < end) {
            context.run_for(std::chrono::milliseconds(10));
            context.restart();
            link->tick(steadyNow());
        }
        return holds();
    }

    void send()
    {
        link_call call;
        call.requestId = "id-1";
        call.body = std::string(5'000, 'b');
        call.repeatWeight = 0.25;
        sent = link->call(std::move(call), [this](link_reply answered) {
            reply = std::move(answered);
        });
    }

    /** Sends a call and runs until the server has it. */
    bool sendAndArrive()
    {
        const std::size_t before = calls.size();
        send();
        return runUntil([this, before] {
            return calls.size() > before;
        });
    }

    boost::asio::io_context context;
    std::vector<link_call> calls;
    std::vector<link_responder> responders;
    int cancelled = 0;
    std::optional<link_reply> reply;
    std::optional<host_report> reported;
    std::optional<configuration_offer> offered;
    std::optional<configuration_offer> serverOffered;
    std::optional<host_introduction> introduced;
    call_id sent;
    std::unique_ptr<link_server> server;
    std::shared_ptr<host_link> link;
};

} // namespace

TEST_CASE("a call and its reply pass a link whole; probes bring reports and configurations")
{
    linked_pair pair;
    REQUIRE(pair.runUntil([&] {
        return pair.link->health() == link_health::up && pair.reported;
    }));
    CHECK(pair.reported->runs.front().route == "browse");
    pair.send();
    REQUIRE(pair.runUntil([&] {
        return !pair.calls.empty();
    }));
    CHECK(pair.calls.front().body.size() == 5'000);
    CHECK(pair.calls.front().repeatWeight == doctest::Approx(0.25));
    link_reply answer;
    answer.outcome = call_outcome::answered;
    answer.status = 200;
    answer.body = "whole";
    pair.responders.front()(answer);
    REQUIRE(pair.runUntil([&] {
        return pair.reply.has_value();
    }));
    CHECK(pair.reply->body == "whole");
    pair.link->requestConfiguration(8);
    CHECK(pair.runUntil([&] {
        return pair.offered && pair.offered->version == 9;
    }));
}

TEST_CASE("a refusal that a link delivers once more answers no other call (REFUSED)")
{
    linked_pair pair;
    REQUIRE(pair.runUntil([&] {
        return pair.link->health() == link_health::up;
    }));
    link_reply refusal;
    refusal.outcome = call_outcome::not_run;
    refusal.reason = outcome_reason::shed;
    link_reply answer;
    answer.outcome = call_outcome::answered;
    answer.status = 200;
    constexpr int rounds = 3; // The copy comes while idle, during the next call, and with its answer.
    for (int round = 0; round < rounds; ++round) {
        CAPTURE(round);
        REQUIRE(pair.sendAndArrive());
        const link_responder first = pair.responders.back();
        first(refusal);
        REQUIRE(pair.runUntil([&] {
            return pair.reply.has_value();
        }));
        if (round == 0) {
            first(refusal);
            pair.context.run_for(std::chrono::milliseconds(20));
            pair.context.restart();
        }
        pair.reply.reset();
        REQUIRE(pair.sendAndArrive());
        first(refusal);
        if (round == 1) {
            pair.context.run_for(std::chrono::milliseconds(20));
            pair.context.restart();
            CHECK_FALSE(pair.reply.has_value());
        }
        pair.responders.back()(answer);
        REQUIRE(pair.runUntil([&] {
            return pair.reply.has_value();
        }));
        CHECK((pair.reply->outcome == call_outcome::answered));
        pair.reply.reset();
    }
}

TEST_CASE("a link server that ends sending delivers what is queued and its peers close their links (LOST)")
{
    linked_pair pair;
    REQUIRE(pair.runUntil([&] {
        return pair.link->health() == link_health::up;
    }));
    pair.link->setProbePeriod({60'000}); // An unanswered probe would close the link, too.
    REQUIRE(pair.sendAndArrive());
    link_reply answer;
    answer.outcome = call_outcome::answered;
    answer.status = 200;
    answer.body = std::string(800'000, 'b');
    pair.responders.back()(answer);
    pair.server->finishSending();
    pair.server->announce({}); // Dropped, as the sending direction has ended.
    REQUIRE(pair.runUntil([&] {
        return pair.reply.has_value() && pair.server->count() == 0;
    }));
    CHECK((pair.reply->outcome == call_outcome::answered));
    CHECK(pair.reply->body.size() == answer.body.size());
    CHECK(pair.server->backlog() == 0);
}

TEST_CASE("a host is told the configuration and the hosts by one that connects to it")
{
    linked_pair pair;
    REQUIRE(pair.runUntil([&] {
        return pair.link->health() == link_health::up;
    }));
    pair.link->sendIntroduction({4, "four"}, {{"one", "two"}});
    REQUIRE(pair.runUntil([&] {
        return pair.introduced.has_value();
    }));
    CHECK(pair.introduced->entries == std::vector<std::string>{"one", "two"});
    REQUIRE(pair.serverOffered.has_value());
    CHECK(pair.serverOffered->version == 4);
}

TEST_CASE("an announced report arrives without a probe")
{
    linked_pair pair;
    REQUIRE(pair.runUntil([&] {
        return pair.link->health() == link_health::up && pair.reported;
    }));
    pair.link->setProbePeriod({60'000});
    pair.reported.reset();
    host_report report;
    report.limit = 9;
    report.leaving = true;
    pair.server->announce(report);
    REQUIRE(pair.runUntil([&] {
        return pair.reported.has_value();
    }));
    CHECK(pair.reported->limit == 9);
    CHECK(pair.reported->leaving);
}

TEST_CASE("a cancelled call is cancelled at the gate; one whose link breaks may have run (REFUSED)")
{
    linked_pair pair;
    REQUIRE(pair.runUntil([&] {
        return pair.link->health() == link_health::up;
    }));
    pair.send();
    REQUIRE(pair.runUntil([&] {
        return !pair.calls.empty();
    }));
    pair.link->cancel(pair.sent);
    CHECK(pair.runUntil([&] {
        return pair.cancelled == 1;
    }));
    pair.server->closeLinks();
    REQUIRE(pair.runUntil([&] {
        return pair.reply.has_value();
    }));
    CHECK((pair.reply->outcome == call_outcome::unknown));
}

TEST_CASE("a link that can't be made takes no call so that nothing is sent")
{
    linked_pair pair;
    pair.link->stop();
    pair.link = pair.connectTo(unusedAddress());
    pair.runUntil([] {
        return false;
    });
    CHECK((pair.link->health() == link_health::down));
    pair.send();
    CHECK_FALSE(pair.sent.isValid());
}

TEST_CASE("a peer that accepts and stays silent makes the link suspect then breaks it (connections that go silent)")
{
    linked_pair pair;
    std::atomic<bool> ended{false};
    raw_server silent([&ended](raw_socket &) {
        while (!ended) {
            std::this_thread::yield();
        }
    });
    pair.link->stop();
    pair.link = pair.connectTo(silent.address());
    CHECK(pair.runUntil([&] {
        return pair.link->health() == link_health::suspect;
    }));
    pair.send();
    REQUIRE(pair.runUntil([&] {
        return pair.reply.has_value();
    }));
    CHECK((pair.reply->outcome == call_outcome::unknown));
    pair.link->stop();
    ended = true;
}

TEST_CASE("bytes that aren't a link message are rejected with an error")
{
    CHECK_THROWS_AS(decodeMessage("\xff\xff\xff"), link_error);
    CHECK_THROWS_AS(decodeMessage(""), link_error);
}

TEST_CASE("a reply with a header that HTTP doesn't allow is rejected with an error (MIXED)")
{
    link_reply reply;
    reply.outcome = call_outcome::answered;
    reply.status = 200;
    reply.headers = {{"x-sound!", "a\tb \xe9"}};
    CHECK_NOTHROW(decodeMessage(encodeFrame(reply).substr(frameHeaderSize)));
    const std::vector<http_field> malformed
        = {{"x a", "b"}, {"x ", "b"}, {" x", "b"}, {"x\t", "b"}, {"x\001", "b"}, {"x\r\ny", "b"}, {"x:", "b"}, {"", "b"}, {"x\177", "b"}, {"x", "a\r\nb: c"}};
    for (const http_field &field : malformed) {
        CAPTURE(field.name);
        reply.headers = {{"x-first", "a"}, field};
        CHECK_THROWS_AS(decodeMessage(encodeFrame(reply).substr(frameHeaderSize)), link_error);
    }
}
