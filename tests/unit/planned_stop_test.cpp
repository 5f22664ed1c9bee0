/** @file planned_stop_test.cpp Requests that come late in the planned stop of a sidecar. */

#include "link/host_link_base.h"
#include "sidecar_fleet_fake.h"
#include "support/raw_socket_base.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

constexpr clock_ms lateInStop{3'300}; ///< After the signal; the process ends 5.3 seconds after it by the default bounds.

/** A host whose backend server serves `feebox` and whose sidecar can be told to stop. */
struct stopping_host {
    explicit stopping_host(bool idempotent)
        : host(fleet.add("feebox"))
    {
        fleet.configure(makeRoutes(3, {"feebox"}, idempotent, 2));
        fleet.beat(host, "i-1", 4);
        REQUIRE(fleet.ready());
    }

    void stop()
    {
        host.running->drain([] {});
    }

    sidecar_fleet fleet;
    sidecar_host &host;
};

/** Runs the fleet until the client's socket has had time to get its answer. @return Its head. */
std::string answerOn(sidecar_fleet &fleet, raw_socket &client)
{
    fleet.runFor(clock_ms{200});
    return client.receiveUntil("\r\n\r\n");
}

std::string headOf(const std::string &id, int deadlineMs, int bodyBytes)
{
    return "PUT /feebox/ HTTP/1.1\r\nHost: shop.example\r\nx-id: " + id + "\r\nx-deadline: " + std::to_string(deadlineMs)
        + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

} // namespace

TEST_CASE("a request that is read late in a planned stop is refused as not run instead of being cut off (LOST)")
{
    two_hosts hosts(false);
    auto &[fleet, entry, target] = hosts;
    raw_socket client(entry.settings.edgeAddress);
    client.send(headOf("r-late", 5'000, 4) + "bo");
    fleet.runFor(clock_ms{50});
    bool isEnded = false;
    entry.running->drain([&isEnded] {
        isEnded = true;
    });
    fleet.runFor(lateInStop);
    client.send("dy");
    const std::string answer = answerOn(fleet, client);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(target.served.empty());
    CHECK_FALSE(isEnded);
}

TEST_CASE("a request that comes late in a planned stop behind a longer one is refused and the longer one is answered (LOST)")
{
    stopping_host stopping(true);
    std::shared_ptr<test::http_exchange> held;
    stopping.host.serve = [&held](const std::shared_ptr<test::http_exchange> &exchange) {
        held = exchange;
    };
    raw_socket client(stopping.host.settings.edgeAddress);
    client.send(headOf("r-long", 5'000, 0));
    REQUIRE(stopping.fleet.eventually([&held] {
        return held != nullptr;
    }));
    stopping.stop();
    stopping.fleet.runFor(lateInStop);
    client.send(headOf("r-late", 5'000, 0));
    stopping.fleet.runFor(clock_ms{100});
    CHECK(stopping.host.served.size() == 1);
    sidecar_fleet::answerWell(held);
    CHECK(answerOn(stopping.fleet, client).starts_with("HTTP/1.1 200"));
}

TEST_CASE("a request that is read in a planned stop and ends before the process is served")
{
    stopping_host stopping(false);
    raw_socket early(stopping.host.settings.edgeAddress);
    raw_socket brief(stopping.host.settings.edgeAddress);
    early.send(headOf("r-early", 5'000, 4) + "bo");
    brief.send(headOf("r-brief", 1'000, 4) + "bo");
    stopping.fleet.runFor(clock_ms{50});
    stopping.stop();
    stopping.fleet.runFor(clock_ms{2'700}); // The listener is closed.
    early.send("dy");
    CHECK(answerOn(stopping.fleet, early).starts_with("HTTP/1.1 200"));
    stopping.fleet.runFor(lateInStop - clock_ms{2'900});
    brief.send("dy");
    CHECK(answerOn(stopping.fleet, brief).starts_with("HTTP/1.1 200"));
}

TEST_CASE("a call that another host sends late in a planned stop is refused as not run (LOST)")
{
    stopping_host stopping(false);
    auto &fleet = stopping.fleet;
    host_link_hooks hooks;
    hooks.reported = [](const host_report &) {};
    hooks.changed = [](bool, std::string_view) {};
    const auto link = std::make_shared<host_link>(fleet.context, stopping.host.settings.peerAddress, host_link_settings{}, std::move(hooks));
    link->start();
    REQUIRE(fleet.eventually([&link] {
        return link->health() == link_health::up;
    }));
    const auto call = [&fleet, &link](clock_ms remaining) {
        link_call sent;
        sent.service = "feebox";
        sent.requestId = "r-link";
        sent.route = "feebox";
        sent.method = "GET";
        sent.target = "/feebox/";
        sent.remaining = remaining;
        sent.maxWait = clock_ms{100};
        std::optional<link_reply> reply;
        link->call(std::move(sent), [&reply](link_reply got) {
            reply = std::move(got);
        });
        REQUIRE(fleet.eventually([&reply] {
            return reply.has_value();
        }));
        return *reply;
    };
    CHECK((call(clock_ms{5'000}).outcome == call_outcome::answered));
    stopping.stop();
    fleet.runFor(lateInStop);
    const link_reply late = call(clock_ms{5'000});
    CHECK((late.outcome == call_outcome::not_run));
    CHECK((late.reason == outcome_reason::draining));
    CHECK((call(clock_ms{1'000}).outcome == call_outcome::answered));
    CHECK(stopping.host.served.size() == 2);
    link->stop();
}
