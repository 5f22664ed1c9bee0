/** @file measure_scenario.cpp Functions shared by the measurement scenarios. */

#include "bench/measure_scenario.h"

#include "support/http_client_base.h"

#include <sstream>

namespace cicadamux::test
{

deployment makeDeployment(std::string_view name, const measure_options &options)
{
    if (name == "stallgrid") {
        return makeStallgrid(options.scale, options.examples);
    }
    if (name == "guild") {
        return makeGuild(options.scale, options.examples);
    }
    throw error("unknown deployment: " + std::string(name) + "; expected stallgrid or guild");
}

fleet_mode parseMode(std::string_view name)
{
    if (name == "full") {
        return fleet_mode::full;
    }
    if (name == "no-admission") {
        return fleet_mode::no_admission;
    }
    if (name == "direct") {
        return fleet_mode::direct;
    }
    throw error("unknown mode: " + std::string(name) + "; expected full, no-admission or direct");
}

load_options makeLoadOptions(const test_fleet &fleet, const deployment &setup, fleet_mode mode, double factor, clock_ms duration)
{
    static int runCount = 0;
    load_options load;
    load.operations = scaledMix(setup, factor);
    for (const fleet_service &service : setup.fleet.services) {
        load.entries[service.name] = fleet.entryAddresses(service.name);
    }
    load.duration = duration;
    load.useTickets = mode != fleet_mode::direct;
    load.idPrefix = "run" + std::to_string(++runCount) + "-";
    return load;
}

std::uint64_t sumCounter(const test_fleet &fleet, std::string_view key)
{
    std::uint64_t sum = 0;
    for (const fleet_host &host : fleet.hosts()) {
        sum += fleet.counters(host.backend).at(key).to_number<std::uint64_t>();
    }
    return sum;
}

double sumMetric(const test_fleet &fleet, std::string_view name)
{
    constexpr clock_ms timeout{5'000};
    http_message request;
    request.method = "GET";
    request.target = "/metrics";
    double sum = 0;
    for (const fleet_host &host : fleet.hosts()) {
        if (host.admin.empty()) {
            continue;
        }
        std::istringstream lines(callHttp(host.admin, request, timeout).message.body);
        std::string line;
        while (std::getline(lines, line)) {
            const auto separator = line.rfind(' ');
            if (separator != std::string::npos && line[0] != '#' && line.substr(0, separator).find(name) != std::string::npos) {
                sum += std::stod(line.substr(separator + 1));
            }
        }
    }
    return sum;
}

} // namespace cicadamux::test
