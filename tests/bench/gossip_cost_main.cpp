/** @file gossip_cost_main.cpp Cost of gossip in virtual time: bytes sent and CPU time per member and second. */

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
constexpr int hostStride = 37; ///< Distance between the numbers of hosts that restart in succession.
constexpr double microsecondsPerSecond = 1e6;

void clearCounts(gossip_network &network)
{
    for (auto &[host, node] : network.nodes) {
        node.bytesSent = 0;
        node.datagramsSent = 0;
        node.comparisonBytesSent = 0;
    }
}

/** Restarts one daemon and announces one configuration change. */
void restartAndAnnounce(gossip_network &network, std::size_t members, int elapsed)
{
    const std::string host = "host-" + std::to_string(static_cast<std::size_t>(elapsed * hostStride) % members);
    network.start(host, network.nodes.at(host).dataCenter);
    network.nodes.begin()->second.table->announce({"service_policy", "pitchdesk", static_cast<std::uint64_t>(elapsed) + 1, 1}, network.now);
}

void report(const gossip_network &network, std::size_t members, bool hasChurn, double cpuMicroseconds)
{
    std::uint64_t sent = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t compared = 0;
    std::uint64_t mostByMember = 0;
    for (const auto &[host, node] : network.nodes) {
        sent += node.bytesSent;
        datagrams += node.datagramsSent;
        compared += node.comparisonBytesSent;
        mostByMember = std::max(mostByMember, node.bytesSent + node.comparisonBytesSent);
    }
    const double memberSeconds = static_cast<double>(members) * measuredSeconds;
    std::cout << "gossip_cost members=" << members << " load=" << (hasChurn ? "restart_and_change_each_second" : "idle")
              << " gossip_bytes_per_s=" << static_cast<double>(sent) / memberSeconds << " datagrams_per_s=" << static_cast<double>(datagrams) / memberSeconds
              << " comparison_bytes_per_s=" << static_cast<double>(compared) / memberSeconds
              << " greatest_member_bytes_per_s=" << static_cast<double>(mostByMember) / measuredSeconds << " cpu_us_per_s=" << cpuMicroseconds / memberSeconds
              << std::endl;
}

void measure(std::size_t members, std::size_t dataCenters, bool hasChurn)
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
        if (hasChurn) {
            restartAndAnnounce(network, members, elapsed);
        }
        network.run({second});
    }
    report(network, members, hasChurn, microsecondsPerSecond * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC);
}
} // namespace

/**
 * Arguments: fleet sizes. Each fleet has three data centres and is measured idle, then with a restart and a change each second.
 * The CPU time includes that of the simulated network.
 */
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
