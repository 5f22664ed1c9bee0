/** @file sidecar_state_test.cpp State that a sidecar keeps: backend server incarnations, routes, run times and host entries. */

#include "route/route_table_base.h"
#include "routing/run_times_base.h"
#include "sidecar/host_directory_base.h"
#include "sidecar/server_registry_base.h"

#include <doctest/doctest.h>

#include <map>

using namespace cicadamux;

namespace
{
constexpr clock_ms now{50'000};

server_announcement makeHeartbeat(const std::string &id, std::int64_t born, std::uint64_t sequence, bool draining = false)
{
    return {id, clock_ms{born}, sequence, "feebox", "10.0.0.1:8080", draining, 50, clock_ms{0}};
}

std::shared_ptr<route_configuration> makeConfiguration(std::uint64_t version)
{
    auto configuration = std::make_shared<route_configuration>();
    configuration->version = version;
    configuration->routes.push_back({"wide", "shop.example", "/a/", true, {1'000}, {500}, 1, 2, {{"mapview", 1}}});
    configuration->routes.push_back({"narrow", "shop.example", "/a/b/", true, {1'000}, {500}, 1, 2, {{"feebox", 90}, {"pitchdesk", 10}}});
    return configuration;
}
} // namespace

TEST_CASE("a late heartbeat of an earlier incarnation is ignored (reuse of an address and of an id)")
{
    server_registry registry("feebox", "10.0.0.1:8080");
    CHECK(registry.heartbeat(makeHeartbeat("i-1", 1'000, 7), now) == heartbeat_verdict::accepted);
    CHECK(registry.heartbeat(makeHeartbeat("i-1", 1'000, 6), now) == heartbeat_verdict::stale);
    CHECK(registry.heartbeat(makeHeartbeat("i-1", 2'000, 1), now) == heartbeat_verdict::accepted); // Restarted under the same id.
    CHECK(registry.heartbeat(makeHeartbeat("i-1", 1'000, 8), now) == heartbeat_verdict::stale);
    CHECK(registry.heartbeat(makeHeartbeat("i-0", 1'500, 9), now) == heartbeat_verdict::stale);
    CHECK(registry.current().startedAt == clock_ms{2'000});
}

TEST_CASE("draining and departure are final for an incarnation whatever heartbeats follow (DRAIN)")
{
    server_registry registry("feebox", "10.0.0.1:8080");
    registry.heartbeat(makeHeartbeat("i-1", 1'000, 1), now);
    registry.heartbeat(makeHeartbeat("i-1", 1'000, 2, true), now);
    registry.heartbeat(makeHeartbeat("i-1", 1'000, 3), now);
    CHECK((registry.current().state == server_state::draining));
    registry.departure("i-1", std::nullopt, now);
    CHECK(registry.heartbeat(makeHeartbeat("i-1", 1'000, 4), now) == heartbeat_verdict::stale);
    CHECK((registry.current().state == server_state::absent));
    CHECK(registry.heartbeat(makeHeartbeat("i-1", 3'000, 1), now) == heartbeat_verdict::accepted);
}

TEST_CASE("a departure that was heard before any heartbeat keeps late heartbeats from reviving the server")
{
    server_registry registry("feebox", "10.0.0.1:8080");
    registry.departure("i-1", clock_ms{1'000}, now);
    CHECK(registry.heartbeat(makeHeartbeat("i-1", 1'000, 9), now) == heartbeat_verdict::stale);
    CHECK(registry.heartbeat(makeHeartbeat("i-1", 2'000, 1), now) == heartbeat_verdict::accepted);
    registry.departure("i-1", clock_ms{1'000}, now); // Late, of the earlier incarnation.
    CHECK((registry.current().state == server_state::serving));
}

TEST_CASE("heartbeats of another service or address or without slots or a start time are ignored")
{
    server_registry registry("feebox", "10.0.0.1:8080");
    server_announcement other = makeHeartbeat("i-1", 1'000, 1);
    other.service = "mapview";
    CHECK(registry.heartbeat(other, now) == heartbeat_verdict::foreign);
    other = makeHeartbeat("i-1", 1'000, 1);
    other.address = "10.0.0.2:8080";
    CHECK(registry.heartbeat(other, now) == heartbeat_verdict::foreign);
    other = makeHeartbeat("i-1", 1'000, 1);
    other.startedAt.reset();
    CHECK(registry.heartbeat(other, now) == heartbeat_verdict::foreign);
    other = makeHeartbeat("i-1", 1'000, 1);
    other.slots = 0;
    CHECK(registry.heartbeat(other, now) == heartbeat_verdict::foreign);
    CHECK((registry.current().state == server_state::absent));
}

TEST_CASE("the longest prefix decides hosts are compared without case and port and versions only rise (CONFIG)")
{
    route_table table;
    CHECK(table.version() == 0);
    CHECK(table.replace(makeConfiguration(5)));
    CHECK_FALSE(table.replace(makeConfiguration(4)));
    CHECK_FALSE(table.replace(makeConfiguration(5)));
    REQUIRE(table.find("Shop.Example:8080", "/a/b/c?x=1") != nullptr);
    CHECK(table.find("shop.example", "/a/b/c")->name == "narrow");
    CHECK(table.find("shop.example", "/a/bc")->name == "wide");
    CHECK(table.find("shop.example", "/b/") == nullptr);
    CHECK(table.find("other.example", "/a/") == nullptr);
}

TEST_CASE("a split route gives each service its share at any time")
{
    route_table table;
    table.replace(makeConfiguration(1));
    const route_rule *route = table.find("shop.example", "/a/b/");
    std::map<std::string, int> drawn;
    for (int index = 0; index < 200; ++index) {
        ++drawn[table.selectService(*route)];
    }
    CHECK(drawn["feebox"] >= 178);
    CHECK(drawn["feebox"] <= 182);
}

TEST_CASE("run times that weren't renewed for a while are forgotten so that a server that was slow is tried again")
{
    run_times times;
    for (int index = 0; index < 10; ++index) {
        times.record("browse", clock_ms{300}, now);
    }
    CHECK(times.mean("browse", now) == doctest::Approx(300));
    CHECK(times.mean("other", now) == 0);
    CHECK(times.mean("browse", now + clock_ms{7'000}) == 0);
}

TEST_CASE("a host's entry in the store survives writing and reading and something else isn't taken for one")
{
    const host_entry entry{"sidecar-1", "tbs-a", "feebox", "10.0.0.1:7000"};
    CHECK(parseHostEntry(formatHostEntry(entry)) == entry);
    CHECK_FALSE(parseHostEntry("{}").has_value());
    CHECK_FALSE(parseHostEntry("null").has_value());
    CHECK_FALSE(parseHostEntry("{\"host\":1}").has_value());
}
