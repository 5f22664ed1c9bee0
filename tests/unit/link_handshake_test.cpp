/** @file link_handshake_test.cpp Links with a key: strangers can't open one, and both ends prove that they have it. */

#include "link/host_link_base.h"
#include "link/link_codec_func.h"
#include "link/link_handshake_base.h"
#include "link/link_server_base.h"
#include "support/raw_socket_base.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

constexpr const char *fleetKey = "a key of the fleet";

/** A server with a key and a link that connects to it. */
struct keyed_pair {
    explicit keyed_pair(const std::string &linkKey, const std::string &serverKey = fleetKey)
        : server(context, "127.0.0.1:0", 1'000'000, hooks(), serverKey)
    {
        host_link_settings settings;
        settings.key = linkKey;
        settings.disconnectAfter = {300};
        host_link_hooks linkHooks;
        linkHooks.reported = [this](const host_report &) {
            isReported = true;
        };
        linkHooks.changed = [](bool, std::string_view) {};
        link = std::make_shared<host_link>(context, server.boundAddress(), settings, std::move(linkHooks));
        link->start();
    }

    link_server_hooks hooks()
    {
        link_server_hooks hooks;
        hooks.call = [this](const link_call &, const link_responder &responder) {
            ++calls;
            link_reply reply;
            reply.outcome = call_outcome::not_run;
            responder(std::move(reply));
            return [] {};
        };
        hooks.report = [] {
            return host_report();
        };
        hooks.configuration = [] {
            return configuration_offer{9, "nine"};
        };
        hooks.configurationOffered = [this](const configuration_offer &) {
            ++offers;
        };
        hooks.hostsIntroduced = [this](const host_introduction &) {
            ++offers;
        };
        return hooks;
    }

    void runFor(int milliseconds)
    {
        for (int elapsed = 0; elapsed < milliseconds; elapsed += 20) {
            context.restart();
            context.run_for(std::chrono::milliseconds(20));
            link->tick(steadyNow());
        }
    }

    boost::asio::io_context context;
    int calls = 0;
    int offers = 0;
    bool isReported = false;
    link_server server;
    std::shared_ptr<host_link> link;
};

} // namespace

TEST_CASE("ends with the same key open a link and calls pass")
{
    keyed_pair pair(fleetKey);
    pair.runFor(200);
    CHECK(pair.isReported);
    const bool isUp = pair.link->health() == link_health::up;
    REQUIRE(isUp);
    CHECK(pair.link->call(link_call(), [](const link_reply &) {}).isValid());
    pair.runFor(100);
    CHECK(pair.calls == 1);
}

TEST_CASE("ends with different keys or one key open no link")
{
    struct key_pair {
        std::string link;
        std::string server;
    };
    for (const key_pair &keys : {key_pair{"another key of a fleet", fleetKey}, key_pair{"", fleetKey}, key_pair{fleetKey, ""}}) {
        CAPTURE(keys.link);
        keyed_pair pair(keys.link, keys.server);
        pair.runFor(600);
        CHECK_FALSE(pair.isReported);
        CHECK(pair.calls == 0);
    }
}

TEST_CASE("a stranger on the link port reads no configuration and offers none and sends no call")
{
    keyed_pair pair(fleetKey);
    pair.runFor(100);
    link_call call;
    call.service = "feebox";
    for (const link_message &message :
         {link_message(configuration_request{0}), link_message(configuration_offer{99, "x"}), link_message(host_introduction{{"{}"}}), link_message(call)}) {
        raw_socket stranger(pair.server.boundAddress());
        stranger.send(encodeFrame(message));
        pair.runFor(100);
        CHECK(stranger.receiveAll().empty());
    }
    CHECK(pair.calls == 0);
    CHECK(pair.offers == 0);
}

TEST_CASE("a proof is of no use on another link or in the other direction")
{
    link_handshake first(fleetKey, link_end::connecting);
    link_handshake accepting(fleetKey, link_end::accepting);
    const auto challenge = accepting.receive(*first.begin());
    REQUIRE(challenge);
    const auto proof = first.receive(*challenge);
    REQUIRE(proof);
    CHECK_FALSE(accepting.receive(*proof));
    CHECK(accepting.isComplete());
    link_handshake second(fleetKey, link_end::accepting);
    CHECK(second.receive(*link_handshake(fleetKey, link_end::connecting).begin()));
    CHECK_THROWS_AS(second.receive(*proof), link_error);
    link_handshake mirrored(fleetKey, link_end::accepting);
    const auto answered = mirrored.receive(link_hello{std::string(16, 'n')});
    REQUIRE(answered);
    CHECK_THROWS_AS(mirrored.receive(link_proof{std::get<link_challenge>(*answered).proof}), link_error);
}
