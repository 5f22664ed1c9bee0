/** @file sidecar_test.cpp Complete sidecars: responses to callers under failures of backend servers, hosts and the store. */

#include "sidecar_fleet_fake.h"

#include <doctest/doctest.h>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

served_handler answerWith(unsigned status)
{
    return [status](const std::shared_ptr<test::http_exchange> &exchange) {
        exchange->answer(sidecar_fleet::goodAnswer(exchange->request(), status));
    };
}

} // namespace

TEST_CASE("a request goes to another host's backend server and its whole answer comes back")
{
    two_hosts hosts(true);
    auto &[fleet, entry, target] = hosts;
    const http_reply reply = fleet.call(entry, "/feebox/a?b=c");
    CHECK(reply.message.status == 200);
    CHECK(reply.message.body == "answer to /feebox/a?b=c");
    CHECK(headerOf(reply.message, "x-signature") == "signed");
    REQUIRE(target.served.size() == 1);
    CHECK(headerOf(target.served[0], "x-expected") == "i-1");
    CHECK(headerOf(target.served[0], "x-caller") == "mapview");
    CHECK(headerOf(target.served[0], "x-id") == headerOf(reply.message, "x-id"));
}

TEST_CASE("an unknown path gets 404 and a service without a server 503 with a time to come back")
{
    sidecar_fleet fleet;
    sidecar_host &entry = fleet.add("mapview");
    CHECK(fleet.call(entry, "/feebox/").message.status == 503); // Not 404 before the first configuration.
    fleet.configure(makeRoutes(3, {"feebox"}, true, 2));
    REQUIRE(fleet.ready());
    CHECK(fleet.call(entry, "/nowhere/").message.status == 404);
    const http_reply refused = fleet.call(entry, "/feebox/");
    CHECK(refused.message.status == 503);
    CHECK_FALSE(headerOf(refused.message, "retry-after").empty());
}

TEST_CASE("a backend server's failure is delivered where no other attempt is allowed (MIXED)")
{
    sidecar_fleet fleet;
    sidecar_host &entry = fleet.add("feebox", answerWith(500));
    fleet.configure(makeRoutes(3, {"feebox"}, true, 1));
    fleet.beat(entry, "i-1", 4);
    REQUIRE(fleet.ready());
    const http_reply reply = fleet.call(entry, "/feebox/");
    CHECK(reply.message.status == 500);
    CHECK(headerOf(reply.message, "x-signature") == "signed");
}

TEST_CASE("an idempotent request that failed is sent to a second server and one that isn't runs once (TWICE)")
{
    for (const bool idempotent : {true, false}) {
        sidecar_fleet fleet;
        sidecar_host &first = fleet.add("feebox", answerWith(500));
        sidecar_host &second = fleet.add("feebox", answerWith(500));
        fleet.configure(makeRoutes(3, {"feebox"}, idempotent, 2));
        fleet.beat(first, "i-1", 4);
        fleet.beat(second, "i-2", 4);
        REQUIRE(fleet.ready());
        CHECK(fleet.call(first, "/feebox/").message.status == 500);
        CHECK(first.served.size() + second.served.size() == (idempotent ? 2 : 1));
    }
}

TEST_CASE("an answer that breaks off promises nothing and one that says not run lets another server run it (REFUSED)")
{
    sidecar_fleet fleet;
    sidecar_host &first = fleet.add("feebox");
    sidecar_host &second = fleet.add("feebox");
    fleet.configure(makeRoutes(3, {"feebox"}, false, 2));
    fleet.beat(first, "i-1", 4);
    fleet.beat(second, "i-2", 4);
    REQUIRE(fleet.ready());
    bool isFirst = true;
    const served_handler breakOff = [](const std::shared_ptr<test::http_exchange> &exchange) {
        exchange->answerBytes("HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\nhalf", true);
    };
    first.serve = breakOff;
    second.serve = breakOff;
    CHECK(fleet.call(first, "/feebox/").message.status == 502);
    CHECK(first.served.size() + second.served.size() == 1);
    const served_handler rejectOnce = [&isFirst](const std::shared_ptr<test::http_exchange> &exchange) {
        http_message answer = sidecar_fleet::goodAnswer(exchange->request(), isFirst ? 503 : 200);
        if (isFirst) {
            answer.headers.push_back({"x-not-run", "full"});
        }
        isFirst = false;
        exchange->answer(answer);
    };
    first.serve = rejectOnce;
    second.serve = rejectOnce;
    CHECK(fleet.call(first, "/feebox/").message.status == 200);
    CHECK(first.served.size() + second.served.size() == 3);
}

TEST_CASE("nothing is sent to a server after its departure was acknowledged and the caller hears that nothing ran (DRAIN)")
{
    two_hosts hosts(false);
    auto &[fleet, entry, target] = hosts;
    CHECK(fleet.call(entry, "/feebox/").message.status == 200);
    fleet.beat(target, "i-1", 4, "draining");
    CHECK(fleet.call(entry, "/feebox/").message.status == 503);
    fleet.beat(target, "i-1", 4); // Serving again with a higher sequence number: draining is final for an incarnation.
    CHECK(fleet.call(target, "/feebox/").message.status == 503); // The request enters on the host of the backend server, where the change is known at once.
    CHECK(fleet.call(entry, "/feebox/").message.status == 503);
    CHECK(target.served.size() == 1);
}

TEST_CASE("a request without an answer ends at its limit with a status that promises nothing (CONFIG)")
{
    holding_host host(4);
    auto &[fleet, held, entry] = host;
    const http_reply reply = fleet.call(entry, "/feebox/", clock_ms{200});
    CHECK(reply.message.status == 504);
    CHECK(headerOf(reply.message, "retry-after").empty());
}

TEST_CASE("a request that waits for a slot when its server's time is over is told as not run (REFUSED)")
{
    holding_host host(1);
    auto &[fleet, held, entry] = host;
    const auto running = fleet.send(entry, "/feebox/", clock_ms{3'000});
    REQUIRE(host.holds(1));
    CHECK(fleet.call(entry, "/feebox/", clock_ms{80}).message.status == 503);
    CHECK(fleet.call(entry, "/feebox/", clock_ms{2'000}).message.status == 503);
    CHECK(held.size() == 1);
}

TEST_CASE("a host that starts while the store is away is told the configuration and the other hosts by those that connect to it")
{
    two_hosts hosts(true);
    auto &[fleet, entry, target] = hosts;
    REQUIRE(fleet.call(entry, "/feebox/").message.status == 200);
    fleet.platform.isDown = true;
    fleet.restart(entry);
    REQUIRE(fleet.ready());
    CHECK(fleet.eventually([&hosts] {
        return hosts.fleet.call(hosts.entry, "/feebox/").message.status == 200;
    }));
}

TEST_CASE("a host that starts again at its address writes nothing into the store")
{
    sidecar_fleet fleet;
    sidecar_host &entry = fleet.add("mapview");
    fleet.configure(makeRoutes(3, {"feebox"}, true, 2));
    REQUIRE(fleet.ready());
    REQUIRE(fleet.eventually([&fleet] {
        return fleet.platform.holds("cicadamux-hosts", "host-1");
    }));
    const std::uint64_t before = fleet.platform.writes;
    fleet.restart(entry);
    REQUIRE(fleet.ready());
    fleet.runFor(clock_ms{500});
    CHECK(fleet.platform.writes == before);
}
