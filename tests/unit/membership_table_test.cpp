/** @file membership_table_test.cpp Tests of the membership table: joining, failure, refutation, process pauses, partitions and duties. */

#include "membership/member_wire_func.h"
#include "support/membership_network_base.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{
std::string gossipWith(const member_record &record)
{
    wire::Gossip message;
    message.set_kind(wire::Gossip::NEWS);
    message.set_sender("stranger");
    message.set_incarnation(1);
    detail::writeMember(record, *message.add_members());
    return message.SerializeAsString();
}

std::uint64_t sumOf(const gossip_network &network, std::uint64_t member_counters::*counter)
{
    std::uint64_t sum = 0;
    for (const auto &[host, node] : network.nodes) {
        sum += node.table->counters().*counter;
    }
    return sum;
}

std::size_t holderCount(const gossip_network &network, const std::string &dataCenter)
{
    return network.count([&](const network_node &node) {
        return node.dataCenter == dataCenter && node.table->holdsDuty("watch", 2);
    });
}
} // namespace

TEST_CASE("daemons find each other through one seed and agree on the holders of a duty")
{
    gossip_network network(1);
    network.startMany("a", 8, "tbs-1");
    network.startMany("b", 4, "tbs-2");
    network.run({10'000});
    CHECK(network.difference() == "");
    CHECK(holderCount(network, "tbs-1") == 2);
    CHECK(holderCount(network, "tbs-2") == 2);
}

TEST_CASE("a killed daemon is declared dead everywhere and its next incarnation is alive")
{
    gossip_network network(2);
    network.startMany("a", 8, "tbs-1");
    network.startMany("b", 4, "tbs-2");
    network.run({5'000});
    network.kill("a5");
    network.run({10'000});
    CHECK(network.difference() == "");
    network.start("a5", "tbs-1");
    network.run({3'000});
    CHECK(network.difference() == "");
}

TEST_CASE("an old record doesn't bring a dead member back")
{
    gossip_network network(3);
    network.startMany("a", 6, "tbs-1");
    network.run({5'000});
    const member_record old = network.nodes.at("a3").table->self();
    network.kill("a3");
    network.run({15'000});
    REQUIRE(network.difference() == "");
    network.nodes.at("a1").table->receive("a3", gossipWith(old), network.now);
    CHECK_FALSE(recordHeldBy(network.nodes.at("a1"), "a3").has_value());
}

TEST_CASE("a record of an earlier incarnation is rejected however high its revision")
{
    gossip_network network(4);
    network.startMany("a", 4, "tbs-1");
    network.run({5'000});
    member_record old = network.nodes.at("a3").table->self();
    old.revision = 1'000;
    network.kill("a3");
    network.run({2'000});
    const incarnation_id present = network.start("a3", "tbs-1").table->self().incarnation;
    network.run({3'000});
    network.nodes.at("a1").table->receive("a3", gossipWith(old), network.now);
    REQUIRE(recordHeldBy(network.nodes.at("a1"), "a3").has_value());
    CHECK(recordHeldBy(network.nodes.at("a1"), "a3")->incarnation == present);
}

TEST_CASE("a daemon refutes a suspicion and exceeds a reported incarnation of its own that it never had")
{
    gossip_network network(5);
    network.startMany("a", 6, "tbs-1");
    network.run({5'000});
    member_record suspicion = network.nodes.at("a2").table->self();
    suspicion.state = member_state::suspect;
    network.nodes.at("a1").table->receive("a4", gossipWith(suspicion), network.now);
    network.run({10'000});
    CHECK(network.difference() == "");
    CHECK(sumOf(network, &member_counters::declaredDead) == 0);
    suspicion.incarnation.value += 1'000;
    suspicion.state = member_state::alive;
    network.nodes.at("a1").table->receive("a4", gossipWith(suspicion), network.now);
    network.run({5'000});
    CHECK(network.difference() == "");
    CHECK(network.nodes.at("a2").table->self().incarnation > suspicion.incarnation);
}

TEST_CASE("a daemon that resumes after a pause refutes its suspicion and holds no duty until a peer answers")
{
    gossip_network network(6);
    network.startMany("a", 3, "tbs-1");
    network.run({5'000});
    const auto holder = std::ranges::find_if(network.nodes, [](const auto &item) {
        return item.second.table->holdsDuty("watch", 1);
    });
    REQUIRE(holder != network.nodes.end());
    member_table &table = *holder->second.table;
    const std::uint64_t before = table.self().revision;
    table.tick(network.now + clock_ms{20'000});
    CHECK_FALSE(table.holdsDuty("watch", 1));
    CHECK(table.self().revision > before);
    CHECK(table.counters().processPauses == 1);
    CHECK(table.view().size() == 3);
}

TEST_CASE("members that one side can't reach directly are reached through others")
{
    gossip_network network(7);
    network.startMany("a", 8, "tbs-1");
    network.run({5'000});
    network.canReach = [](const std::string &from, const std::string &to) {
        return !(from == "a1" && to == "a2");
    };
    network.run({20'000});
    CHECK(sumOf(network, &member_counters::suspicions) == 0);
    CHECK(network.difference() == "");
}

TEST_CASE("a data centre that was cut in two for longer than dead records are kept heals by itself")
{
    gossip_network network(8);
    network.startMany("a", 12, "tbs-1");
    network.run({5'000});
    network.canReach = [](const std::string &from, const std::string &to) {
        const auto side = [](const std::string &host) {
            return host.back() % 2 == 0;
        };
        return side(from) == side(to);
    };
    network.run({120'000});
    CHECK(network.count([](const network_node &node) {
        return node.table->view().size() == 6;
    }) == 12);
    network.canReach = nullptr;
    network.run({10'000});
    CHECK(network.difference() == "");
    CHECK(holderCount(network, "tbs-1") == 2);
}

TEST_CASE("an isolated daemon doesn't declare the others dead at once")
{
    gossip_network network(9);
    network.startMany("a", 10, "tbs-1");
    network.run({5'000});
    network.canReach = [](const std::string &from, const std::string &to) {
        return from != "a1" && to != "a1";
    };
    network.run({6'000});
    CHECK(network.nodes.at("a1").table->counters().declaredDead == 0);
    network.canReach = nullptr;
    network.run({5'000});
    CHECK(network.difference() == "");
}

TEST_CASE("members that forgot each other during a partition rejoin through another data centre")
{
    gossip_network network(12);
    network.startMany("a", 4, "tbs-1");
    network.startMany("b", 6, "tbs-2");
    network.run({5'000});
    network.canReach = [](const std::string &from, const std::string &to) {
        const auto side = [](const std::string &host) {
            return host.front() == 'b' ? host.back() % 2 : 2;
        };
        return side(from) == side(to) || side(from) == 2 || side(to) == 2;
    };
    network.run({700'000});
    network.canReach = nullptr;
    network.run({25'000});
    CHECK(network.difference() == "");
}

TEST_CASE("a daemon stores of other data centres the services of its interest and a few contacts and duty holders store all members")
{
    gossip_network network(10);
    network.settings.interests = {"feebox"};
    network.startMany("a", 6, "tbs-1");
    network.startMany("b", 12, "tbs-2");
    for (std::size_t number = 0; number < 12; ++number) {
        network.nodes.at("b" + std::to_string(number))
            .table->updateSelf(
                [&](member_record &record) {
                    record.service = number < 2 ? "feebox" : "pitchdesk";
                    record.server = server_state::serving;
                },
                network.now);
    }
    network.run({20'000});
    for (const auto &item : network.nodes) {
        const network_node &node = item.second;
        const std::vector<member_record> view = node.table->view();
        CAPTURE(node.host);
        CHECK(std::ranges::count(view, node.dataCenter, &member_record::dataCenter) == (node.dataCenter == "tbs-1" ? 6 : 12));
        if (node.dataCenter == "tbs-1") {
            CHECK(recordHeldBy(node, "b0").has_value());
            CHECK(recordHeldBy(node, "b1").has_value());
            CHECK((node.table->holdsDuty(digestDuty, digestHolders) ? view.size() == 18 : view.size() <= 11));
        }
    }
}

TEST_CASE("malformed datagrams are counted and dropped")
{
    gossip_network network(11);
    network.startMany("a", 2, "tbs-1");
    member_table &table = *network.nodes.at("a0").table;
    table.receive("a1", "\xff\xff nonsense", network.now);
    member_record broken = table.self();
    broken.host = "a9";
    broken.state = static_cast<member_state>(17);
    table.receive("a1", gossipWith(broken), network.now);
    CHECK(table.counters().malformed == 2);
    CHECK(table.view().size() == 1);
}
