/** @file host_directory_test.cpp Discovery of hosts with and without the store. */

#include "link/link_server_base.h"
#include "sidecar/host_directory_base.h"
#include "support/address_func.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <array>
#include <memory>

using namespace cicadamux;
using cicadamux::test::freeAddress;

namespace
{

/** A store that answers no call by itself; tests answer a listing through `listing`. */
class silent_store : public object_store
{
public:
    void get(std::string_view, std::string_view, store_handler<stored_object>) override { }
    void put(std::string_view, std::string_view, std::string_view, std::uint64_t, store_handler<std::uint64_t>) override { }
    void remove(std::string_view, std::string_view name, std::uint64_t, store_handler<std::uint64_t>) override
    {
        removed.emplace_back(name);
    }

    void watch(std::string_view, std::uint64_t, clock_ms, store_handler<store_changes>) override { }

    void list(std::string_view, store_handler<store_changes> handler) override
    {
        listing = std::move(handler);
    }

    store_handler<store_changes> listing;
    std::vector<std::string> removed;
};

daemon_settings makeSettings()
{
    daemon_settings settings;
    settings.host = "host-0";
    settings.dataCenter = "tbs-1";
    return settings;
}

sidecar_adapter makeAdapter()
{
    sidecar_adapter adapter;
    adapter.readBounds = [](std::string_view) {
        return fleet_bounds();
    };
    return adapter;
}

host_entry makeEntry(const std::string &host)
{
    return {host, "tbs-1", "feebox", "127.0.0.1:1"};
}

/** Hooks of a host without a configuration; counts the introductions that it receives. */
link_server_hooks makeNewHost(int &introductions)
{
    link_server_hooks hooks;
    hooks.call = [](const link_call &, const link_responder &) {
        return [] {};
    };
    hooks.report = [] {
        return host_report();
    };
    hooks.configuration = [] {
        return configuration_offer();
    };
    hooks.configurationOffered = [](const configuration_offer &) {};
    hooks.hostsIntroduced = [&introductions](const host_introduction &) {
        ++introductions;
    };
    return hooks;
}

host_directory_hooks makeHooks()
{
    host_directory_hooks hooks;
    hooks.changed = [] {};
    hooks.linkChanged = [](const std::string &, link_health) {};
    hooks.configurationOffered = [](const configuration_offer &) {};
    hooks.configuration = [] {
        return configuration_offer();
    };
    hooks.remoteVersionSeen = [](std::uint64_t, const std::string &) {};
    hooks.restarted = [] {};
    return hooks;
}

} // namespace

TEST_CASE("a host that starts while the store is away learns the others from one that connects until the store lists them")
{
    boost::asio::io_context context;
    sidecar_core core(context, makeSettings(), makeAdapter());
    silent_store store;
    host_directory directory(core, store, makeEntry("host-0"), makeHooks());
    directory.start();
    CHECK(directory.hostCount() == 1);
    directory.receiveIntroduction(
        {{formatHostEntry(makeEntry("host-0")), formatHostEntry(makeEntry("host-1")), formatHostEntry(makeEntry("host-2")), "rubbish"}});
    CHECK(directory.hostCount() == 3);
    store_changes listed;
    listed.cursor = 7;
    listed.items.push_back({"kind", "host-2", 5, formatHostEntry(makeEntry("host-2"))});
    store.listing({store_failure::none, 0, listed});
    CHECK(directory.hostCount() == 2);
    directory.receiveIntroduction({{formatHostEntry(makeEntry("host-1"))}});
    CHECK(directory.hostCount() == 2);
    directory.stop();
}

TEST_CASE("an entry whose host nobody reaches is removed and that of a reachable host stays")
{
    boost::asio::io_context context;
    sidecar_core core(context, makeSettings(), makeAdapter());
    silent_store store;
    int introductions = 0;
    const std::string address = freeAddress();
    link_server reached(context, address, 1'000'000, makeNewHost(introductions));
    bool isUp = false;
    host_directory_hooks hooks = makeHooks();
    hooks.linkChanged = [&isUp](const std::string &host, link_health health) {
        isUp = isUp || (host == "host-1" && health == link_health::up);
    };
    host_directory directory(core, store, makeEntry("host-0"), hooks);
    directory.start();
    store_changes listed;
    listed.cursor = 7;
    host_entry live = makeEntry("host-1");
    live.linkAddress = address;
    listed.items.push_back({"kind", "host-1", 5, formatHostEntry(live)});
    listed.items.push_back({"kind", "host-2", 6, formatHostEntry(makeEntry("host-2"))});
    store.listing({store_failure::none, 0, listed});
    for (int round = 0; round < 1'000 && !isUp; ++round) {
        context.run_one_for(std::chrono::milliseconds(10));
    }
    REQUIRE(isUp);
    directory.tick(steadyNow());
    CHECK(store.removed.empty());
    directory.tick(steadyNow() + clock_ms{200'000});
    CHECK(store.removed == std::vector<std::string>{"host-2"});
    directory.stop();
    reached.stop();
}

TEST_CASE("a host that reaches none of the others removes none of their entries")
{
    boost::asio::io_context context;
    sidecar_core core(context, makeSettings(), makeAdapter());
    silent_store store;
    host_directory directory(core, store, makeEntry("host-0"), makeHooks());
    directory.start();
    store_changes listed;
    listed.cursor = 7;
    listed.items.push_back({"kind", "host-1", 5, formatHostEntry(makeEntry("host-1"))});
    listed.items.push_back({"kind", "host-2", 6, formatHostEntry(makeEntry("host-2"))});
    store.listing({store_failure::none, 0, listed});
    directory.tick(steadyNow() + clock_ms{200'000});
    CHECK(store.removed.empty());
    directory.stop();
}

namespace
{
/** A directory of many hosts in one data centre, two of which answer probes and count them. */
struct large_directory {
    large_directory()
        : directory(core, store, makeEntry("host-0"), makeHooks())
    {
        store_changes listed;
        listed.cursor = 7;
        for (int host = 1; host <= hostCount; ++host) {
            host_entry entry = makeEntry("host-" + std::to_string(host));
            if (host <= 2) {
                entry.linkAddress = servers[static_cast<std::size_t>(host - 1)]->boundAddress();
            }
            listed.items.push_back({"kind", entry.host, 5, formatHostEntry(entry)});
        }
        directory.start();
        store.listing({store_failure::none, 0, listed});
    }

    std::unique_ptr<link_server> makeServer(int &probes)
    {
        link_server_hooks hooks = makeNewHost(introductions);
        hooks.report = [&probes] {
            ++probes;
            host_report report;
            report.configurationVersion = 1;
            return report;
        };
        return std::make_unique<link_server>(context, "127.0.0.1:0", 1'000'000, std::move(hooks));
    }

    void runFor(int milliseconds)
    {
        constexpr int step = 50;
        for (int elapsed = 0; elapsed < milliseconds; elapsed += step) {
            context.restart();
            context.run_for(std::chrono::milliseconds(step));
            directory.tick(steadyNow());
        }
    }

    static constexpr int hostCount = 200;
    boost::asio::io_context context;
    int introductions = 0;
    std::array<int, 2> probes{};
    std::array<std::unique_ptr<link_server>, 2> servers{makeServer(probes[0]), makeServer(probes[1])};
    sidecar_core core{context, makeSettings(), makeAdapter()};
    silent_store store;
    host_directory directory;
};
} // namespace

TEST_CASE("in a large fleet an idle link is probed seldom (probes of a host stay flat while the fleet grows)")
{
    large_directory hosts;
    hosts.runFor(600);
    CHECK(hosts.probes[0] == 1); // At the start of the link.
    hosts.runFor(2'500);
    CHECK(hosts.probes[0] == 1);
    hosts.directory.stop();
}

TEST_CASE("when one host falls silent the others of its data centre are probed at once (a data centre that is cut off)")
{
    large_directory hosts;
    hosts.runFor(600);
    REQUIRE(hosts.probes[1] == 1);
    hosts.servers[0]->stop();
    hosts.runFor(300);
    CHECK(hosts.probes[1] == 2);
    hosts.directory.stop();
}

TEST_CASE("a host that the store lists no more is kept while its link is up and forgotten when it breaks")
{
    boost::asio::io_context context;
    sidecar_core core(context, makeSettings(), makeAdapter());
    silent_store store;
    int introductions = 0;
    const std::string address = freeAddress();
    link_server reached(context, address, 1'000'000, makeNewHost(introductions));
    bool isUp = false;
    host_directory_hooks hooks = makeHooks();
    hooks.linkChanged = [&isUp](const std::string &, link_health health) {
        isUp = health == link_health::up;
    };
    host_directory directory(core, store, makeEntry("host-0"), hooks);
    directory.start();
    host_entry live = makeEntry("host-1");
    live.linkAddress = address;
    const auto runUntil = [&](bool wanted) {
        for (int round = 0; round < 1'000 && isUp != wanted; ++round) {
            context.run_one_for(std::chrono::milliseconds(10));
        }
        CHECK(isUp == wanted);
        directory.tick(steadyNow());
    };
    store.listing({store_failure::none, 0, {7, {{"kind", "host-1", 5, formatHostEntry(live)}}, {}}});
    runUntil(true);
    directory.refresh(); // The store has come back from a copy that lacks the host.
    store.listing({store_failure::none, 0, {3, {}, {}}});
    directory.tick(steadyNow());
    CHECK(directory.hostCount() == 2);
    CHECK(isUp);
    reached.stop();
    runUntil(false);
    CHECK(directory.hostCount() == 1);
    directory.stop();
}
