/** @file membership_table_test.cpp Tests of the view: joining, death, leaving, duties. */

#include "membership_network.h"

#include <doctest/doctest.h>

using namespace cicadamux;
using namespace cicadamux::test;

TEST_CASE("daemons find each other through one seed and agree on the holders of a duty")
{
    gossip_network network(1);
    network.startMany("a", 8, "tbs-1");
    network.startMany("b", 4, "tbs-2");
    network.run({ 10'000 });
    CHECK(network.isSettled());
    const auto holders = [&](const std::string &dataCenter) {
        return network.count([&](const network_node &node) { return node.dataCenter == dataCenter && node.table->holdsDuty("watch", 2); });
    };
    CHECK(holders("tbs-1") == 2);
    CHECK(holders("tbs-2") == 2);
}

TEST_CASE("a daemon that is killed is dead everywhere, and its next life is alive")
{
    gossip_network network(2);
    network.startMany("a", 8, "tbs-1");
    network.run({ 5'000 });
    network.kill("a5");
    network.run({ 15'000 });
    CHECK(network.isSettled());
    network.start("a5", "tbs-1");
    network.run({ 3'000 });
    CHECK(network.isSettled());
}
