/** @file server_leaving_test.cpp Tests of backend servers that state in their answers that they leave. */

#include "sidecar_fleet_fake.h"

#include <doctest/doctest.h>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{
served_handler answerLeaving(const std::string &value)
{
    return [value](const std::shared_ptr<test::http_exchange> &exchange) {
        http_message answer = sidecar_fleet::goodAnswer(exchange->request());
        answer.headers.push_back({"x-leaving", value});
        exchange->answer(answer);
    };
}
} // namespace

// Requests went to a server that had said in its answers that it leaves, since only heartbeats were believed.
TEST_CASE("a backend server that states that it leaves gets no more requests whatever its heartbeats say (DRAIN)")
{
    two_hosts hosts(true, answerLeaving("1"));
    auto &[fleet, entry, target] = hosts;
    CHECK(fleet.call(entry, "/feebox/").message.status == 200);
    fleet.beat(target, "i-1", 4);
    for (int number = 0; number < 5; ++number) {
        CHECK(fleet.call(entry, "/feebox/").message.status == 503);
        CHECK(fleet.call(target, "/feebox/").message.status == 503);
    }
    CHECK(target.served.size() == 1);
    CHECK(fleet.eventually([&hosts] {
        return hosts.fleet.platform.holds("cicadamux-departures", "host-2");
    }));
}

// The host where a request begins is bound by what it has passed on, in touch with the store or not.
TEST_CASE("a leaving backend server gets no more requests after its sidecar has restarted while the store is away (DRAIN)")
{
    two_hosts hosts(true, answerLeaving("1"));
    auto &[fleet, entry, target] = hosts;
    fleet.platform.isDown = true;
    CHECK(fleet.call(entry, "/feebox/").message.status == 200);
    fleet.restart(target);
    fleet.beat(target, "i-1", 4);
    fleet.runFor(clock_ms{2'500}); // Until the link is up again and the restarted host has a configuration.
    for (int number = 0; number < 5; ++number) {
        CHECK(fleet.call(entry, "/feebox/").message.status == 503);
        CHECK(fleet.call(target, "/feebox/").message.status == 503); // Told by the other host.
    }
    CHECK(target.served.size() == 1);
    fleet.platform.isDown = false;
    CHECK(fleet.eventually([&hosts] {
        return hosts.fleet.platform.holds("cicadamux-departures", "host-2");
    }));
}

TEST_CASE("a new incarnation of a server that has left is used and other values of the header say nothing")
{
    two_hosts hosts(true, answerLeaving("1"));
    auto &[fleet, entry, target] = hosts;
    CHECK(fleet.call(entry, "/feebox/").message.status == 200);
    CHECK(fleet.call(entry, "/feebox/").message.status == 503);
    for (const std::string value : {"0", "true", "yes", "", "11", "1;"}) {
        CAPTURE(value);
        target.serve = answerLeaving(value);
        if (target.served.size() == 1) {
            fleet.beat(target, "i-1", 4, "gone");
            fleet.beat(target, "i-2", 4);
            fleet.beat(target, "i-2", 4); // Its start time isn't later, so that one heartbeat isn't enough.
        }
        CHECK(fleet.eventually([&hosts] {
            return hosts.fleet.call(hosts.entry, "/feebox/").message.status == 200;
        }));
    }
}
