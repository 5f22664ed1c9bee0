/** @file membership_spread_test.cpp Randomised tests of gossip dissemination in virtual time, with loss, late and duplicate datagrams, restarts, pauses and partitions. */

#include "core/error_type.h"
#include "core/invariant_func.h"
#include "support/membership_network_base.h"
#include "support/seeds_func.h"

#include <doctest/doctest.h>

#include <random>
#include <set>
#include <span>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{
/** Turns a violated invariant into an exception while in scope. */
struct invariant_guard {
    invariant_guard()
    {
        setInvariantHook([](invariant which, std::string_view detail) {
            throw invariant_error(std::string(toString(which)) + ' ' + std::string(detail));
        });
    }
    ~invariant_guard()
    {
        setInvariantHook(nullptr);
    }
};

std::string hostOf(std::uint64_t number)
{
    return (number < 10 ? "a" : "b") + std::to_string(number % 10);
}

/** Injects one random fault or state change. */
void injectRandomEvent(gossip_network &network, std::mt19937_64 &engine)
{
    constexpr std::uint64_t hosts = 15; // a0 to a9, b0 to b4
    network_node &node = network.nodes.at(hostOf(engine() % hosts));
    switch (engine() % 6) {
    case 0:
        if (!node.isRunning) {
            network.start(node.host, node.dataCenter);
        } else if (node.host != "a0" && node.host != "b0") { // When the last member of a data centre dies, the others keep its last record.
            network.kill(node.host);
        }
        break;
    case 1:
        network.pause(node.host, clock_ms{static_cast<std::int64_t>(engine() % 9'000)});
        break;
    case 2:
        network.canReach = [one = hostOf(engine() % hosts), other = hostOf(engine() % hosts)](const std::string &from, const std::string &to) {
            return !(from == one || to == other);
        };
        break;
    case 3:
        network.canReach = [](const std::string &from, const std::string &to) {
            return from.front() == to.front();
        };
        break;
    case 4:
        network.canReach = nullptr;
        break;
    default:
        if (node.isRunning && node.pausedUntil <= network.now) {
            node.table->updateSelf(
                [&](member_record &record) {
                    record.server = record.server == server_state::serving ? server_state::draining : server_state::serving;
                },
                network.now);
        }
    }
}
} // namespace

TEST_CASE("all views match the running daemons soon after the faults stop")
{
    const invariant_guard guard;
    for (std::uint64_t seed = 1; seed <= seedCount(12); ++seed) {
        CAPTURE(seed);
        std::mt19937_64 engine(seed);
        gossip_network network(seed);
        network.startMany("a", 10, "tbs-1");
        network.startMany("b", 5, "tbs-2");
        network.faults = {.loss = 0.2, .duplication = 0.1, .lateDuplication = 0.05, .delay = 150};
        for (int event = 0; event < 30; ++event) {
            injectRandomEvent(network, engine);
            network.run(clock_ms{static_cast<std::int64_t>(engine() % 3'000)});
        }
        network.faults = {};
        network.canReach = nullptr;
        network.run({25'000});
        CHECK(network.difference() == "");
        for (const std::string dataCenter : {"tbs-1", "tbs-2"}) {
            const std::size_t running = network.count([&](const network_node &node) {
                return node.dataCenter == dataCenter;
            });
            CHECK(network.count([&](const network_node &node) {
                return node.dataCenter == dataCenter && node.table->holdsDuty("watch", 2);
            }) == std::min<std::size_t>(2, running));
        }
    }
}

TEST_CASE("a member that leaves is known as leaving everywhere within 3 s while a fifth of the datagrams is lost")
{
    const invariant_guard guard;
    for (std::uint64_t seed = 1; seed <= seedCount(3); ++seed) {
        CAPTURE(seed);
        gossip_network network(seed);
        network.startMany("a", 100, "tbs-1");
        network.startMany("b", 30, "tbs-2");
        network.run({10'000});
        network.faults = {.loss = 0.2, .duplication = 0, .lateDuplication = 0, .delay = 20};
        network.nodes.at("a7").table->updateSelf(
            [](member_record &record) {
                record.state = member_state::leaving;
            },
            network.now);
        network.run({3'000});
        CHECK(network.count([](const network_node &node) {
            const auto record = recordHeldBy(node, "a7");
            return record && record->state == member_state::leaving;
        }) == 130);
    }
}

TEST_CASE("a leaving member is known to its data centre within one probe period, and abroad without comparisons")
{
    gossip_network network(1);
    network.startMany("a", 60, "tbs-1");
    network.startMany("b", 20, "tbs-2");
    network.run({10'000});
    network.comparesDigests = false;
    network.nodes.at("a7").table->updateSelf(
        [](member_record &record) {
            record.state = member_state::leaving;
        },
        network.now);
    const auto informedCount = [&](const std::string &dataCenter) {
        return network.count([&](const network_node &node) {
            const auto record = recordHeldBy(node, "a7");
            return node.dataCenter == dataCenter && record && record->state == member_state::leaving;
        });
    };
    network.run(network.settings.probePeriod);
    CHECK(informedCount("tbs-1") >= 54);
    network.run({2'500});
    CHECK(informedCount("tbs-1") == 60);
    CHECK(informedCount("tbs-2") == 20);
}

TEST_CASE("updates reach nearly all members by gossip alone and the rest by comparisons")
{
    for (std::uint64_t seed = 1; seed <= seedCount(3); ++seed) {
        CAPTURE(seed);
        gossip_network network(seed);
        network.startMany("a", 60, "tbs-1");
        network.run({10'000});
        network.comparesDigests = false;
        network.faults = {.loss = 0.2, .duplication = 0, .lateDuplication = 0, .delay = 20};
        member_record stranger;
        stranger.host = "x1";
        stranger.dataCenter = "tbs-9";
        stranger.peerAddress = "x1";
        stranger.incarnation.value = 1;
        network.nodes.at("a7").table->merge(std::span(&stranger, 1), network.now);
        const auto informedCount = [&] {
            return network.count([](const network_node &node) {
                return recordHeldBy(node, "x1").has_value();
            });
        };
        network.run({10'000});
        CHECK(informedCount() >= 57);
        network.comparesDigests = true;
        network.run({20'000});
        CHECK(informedCount() == 60);
    }
}

TEST_CASE("an announced change reaches all members of a data centre within a second")
{
    gossip_network network(1);
    network.startMany("a", 150, "tbs-1");
    network.run({10'000});
    const change_announcement change{"service_policy", "pitchdesk", 2, 1};
    std::set<std::string> informed{"a0"};
    network.onChangeAnnounced = [&](network_node &node, const change_announcement &announced) {
        if (announced == change && informed.insert(node.host).second) {
            node.table->announce(change, network.now);
        }
    };
    network.nodes.at("a0").table->announce(change, network.now);
    network.run({1'000});
    CHECK(informed.size() == 150);
}

TEST_CASE("gossip stays within the control budget while members drain, serve and restart all the time")
{
    constexpr std::uint64_t members = 90;
    constexpr std::uint64_t bytesPerSecond = 12'000 / 2; // Budget of 12 kB/s for control traffic, half of it for sending.
    constexpr std::uint64_t seconds = 10;
    constexpr std::uint64_t eventsPerSecond = 40;
    gossip_network network(1);
    network.startMany("a", members, "tbs-1");
    network.run({10'000});
    for (auto &[host, node] : network.nodes) {
        node.bytesSent = 0;
    }
    for (std::uint64_t event = 0; event < seconds * eventsPerSecond; ++event) {
        const std::string host = "a" + std::to_string(event * 7 % members);
        if (event % 8 == 0) {
            network.start(host, "tbs-1");
        }
        network.nodes.at(host).table->updateSelf(
            [&](member_record &record) {
                record.server = record.server == server_state::serving ? server_state::draining : server_state::serving;
            },
            network.now);
        network.run({1'000 / eventsPerSecond});
    }
    CHECK(network.count([](const network_node &node) {
        return node.bytesSent <= seconds * bytesPerSecond;
    }) == members);
}
