/** @file gossip_cost_main.cpp What gossip costs a daemon, in virtual time: bytes and processor time for each member and second. */

#include "support/membership_network_base.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <string>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{
constexpr std::int64_t second = 1'000; // Milliseconds.
constexpr int warmUpSeconds = 40;
constexpr int measuredSeconds = 20;
constexpr int hostStride = 37; ///< Between the numbers of two hosts that restart one after the other.
constexpr double microsPerSecond = 1e6;

void clearCounts(gossip_network &network)
{
    for (auto &[host, node] : network.nodes) {
        node.bytesSent = 0;
        node.datagramsSent = 0;
        node.comparisonBytesSent = 0;
    }
}

/** Restarts a daemon and announces a change. */
void disturb(gossip_network &network, std::size_t members, int elapsed)
{
    const std::string host = "host-" + std::to_string(static_cast<std::size_t>(elapsed * hostStride) % members);
    network.start(host, network.nodes.at(host).dataCenter);
    network.nodes.begin()->second.table->announce({"service_policy", "pitchdesk", static_cast<std::uint64_t>(elapsed) + 1, 1}, network.now);
}

void report(const gossip_network &network, std::size_t members, bool isBusy, double micros)
{
    std::uint64_t gossip = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t compared = 0;
    std::uint64_t greatest = 0;
    for (const auto &[host, node] : network.nodes) {
        gossip += node.bytesSent;
        datagrams += node.datagramsSent;
        compared += node.comparisonBytesSent;
        greatest = std::max(greatest, node.bytesSent + node.comparisonBytesSent);
    }
    const double share = static_cast<double>(members) * measuredSeconds;
    std::cout << "gossip_cost members=" << members << " load=" << (isBusy ? "restart_and_change_each_second" : "idle")
              << " gossip_bytes_per_s=" << static_cast<double>(gossip) / share << " datagrams_per_s=" << static_cast<double>(datagrams) / share
              << " comparison_bytes_per_s=" << static_cast<double>(compared) / share
              << " greatest_member_bytes_per_s=" << static_cast<double>(greatest) / measuredSeconds << " cpu_us_per_s=" << micros / share << std::endl;
}

void measure(std::size_t members, std::size_t dataCenters, bool isBusy)
{
    gossip_network network(1);
    for (std::size_t number = 0; number < members; ++number) {
        network.start("host-" + std::to_string(number), "dc-" + std::to_string(number % dataCenters));
    }
    network.run({warmUpSeconds * second});
    clearCounts(network);
    network.onChangeAnnounced = [&](network_node &node, const change_announcement &change) {
        if (node.generation < change.generation) {
            node.generation = change.generation;
            node.table->announce(change, network.now);
        }
    };
    const std::clock_t start = std::clock();
    for (int elapsed = 0; elapsed < measuredSeconds; ++elapsed) {
        if (isBusy) {
            disturb(network, members, elapsed);
        }
        network.run({second});
    }
    report(network, members, isBusy, microsPerSecond * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC);
}
} // namespace

/** Arguments: sizes of the fleet. Each is measured in three data centres, idle and busy. The processor time includes the network of the test. */
int main(int count, char **arguments)
{
    constexpr std::size_t dataCenters = 3;
    constexpr int decimal = 10;
    for (int number = 1; number < count; ++number) {
        const std::size_t members = std::strtoull(arguments[number], nullptr, decimal);
        measure(members, dataCenters, false);
        measure(members, dataCenters, true);
    }
    return 0;
}
