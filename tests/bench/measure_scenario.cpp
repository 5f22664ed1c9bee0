/** @file measure_scenario.cpp What the measurements share. */

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
    throw error("no such deployment: " + std::string(name));
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
    throw error("no such mode: " + std::string(name));
}

load_options makeLoad(const test_fleet &fleet, const deployment &subject, fleet_mode mode, double factor, clock_ms duration)
{
    static int runs = 0;
    load_options load;
    load.operations = mixOf(subject, factor);
    for (const fleet_service &service : subject.fleet.services) {
        load.entries[service.name] = fleet.entryAddresses(service.name);
    }
    load.duration = duration;
    load.useTickets = mode != fleet_mode::direct;
    load.idPrefix = "run" + std::to_string(++runs) + "-";
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

double sumGauge(const test_fleet &fleet, std::string_view name)
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
            const auto blank = line.rfind(' ');
            if (blank != std::string::npos && line[0] != '#' && line.substr(0, blank).find(name) != std::string::npos) {
                sum += std::stod(line.substr(blank + 1));
            }
        }
    }
    return sum;
}

} // namespace cicadamux::test
