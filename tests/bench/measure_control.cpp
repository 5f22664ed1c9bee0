/** @file measure_control.cpp Cost of control traffic for a daemon without calls, by fleet size. */

#include "bench/measure_process.h"
#include "bench/measure_scenario.h"

#include <algorithm>
#include <thread>

namespace cicadamux::test
{

namespace
{
constexpr std::int64_t settleMs = 4'000; ///< Time for the membership views to converge and for the backend servers to be announced.

report_line runControlCost(std::size_t hosts, const measure_options &options)
{
    deployment setup = makeDeployment("stallgrid", options);
    fleet_service service = setup.fleet.services.back();
    service.dataCenters.clear();
    constexpr std::size_t dataCenters = 3;
    for (std::size_t number = 0; number < hosts; ++number) {
        service.dataCenters.push_back("dc-" + std::to_string(number % dataCenters + 1));
    }
    setup.fleet.services = {service};
    test_fleet fleet(setup.fleet);
    std::this_thread::sleep_for(std::chrono::milliseconds(settleMs));
    const auto sumCpuSeconds = [&] {
        double sum = 0;
        for (std::size_t host = 0; host < hosts; ++host) {
            sum += cpuSeconds(fleet.daemon(host).pid());
        }
        return sum;
    };
    const auto platformCalls = [&] {
        return fleet.counters(fleet.platformAddress()).at("calls").to_number<double>();
    };
    const double cpuBefore = sumCpuSeconds();
    const double gossipBefore = sumMetric(fleet, "gossip_bytes_sent");
    const double exchangeBefore = sumMetric(fleet, "exchange_bytes_sent");
    const double callsBefore = platformCalls();
    const clock_ms start = steadyNow();
    std::this_thread::sleep_for(std::chrono::milliseconds(options.phase.count * 2));
    constexpr double second = 1'000;
    const double seconds = static_cast<double>((steadyNow() - start).count) / second;
    const double daemonSeconds = seconds * static_cast<double>(hosts);
    double maxResident = 0;
    for (std::size_t host = 0; host < hosts; ++host) {
        maxResident = std::max(maxResident, residentMegabytes(fleet.daemon(host).pid()));
    }
    constexpr double percent = 100;
    report_line line;
    line.add("scenario", "control-cost").add("daemons", std::uint64_t{hosts});
    line.add("core_percent", percent * (sumCpuSeconds() - cpuBefore) / daemonSeconds).add("resident_mb_max", maxResident);
    const double exchangeBytes = sumMetric(fleet, "exchange_bytes_sent") - exchangeBefore;
    line.add("exchange_bytes_per_s", exchangeBytes / daemonSeconds);
    line.add("gossip_bytes_per_s", (sumMetric(fleet, "gossip_bytes_sent") - gossipBefore) / daemonSeconds);
    line.add("platform_calls_per_s_fleet", (platformCalls() - callsBefore) / seconds);
    line.add("waiting_watches", fleet.counters(fleet.platformAddress()).at("waiting_watches").to_number<std::uint64_t>());
    return line;
}
} // namespace

void measureControlCost(const measure_options &options)
{
    std::vector<report_line> lines;
    for (const std::string &size : options.sizes) {
        lines.push_back(runControlCost(std::stoul(size), options));
        lines.back().print();
    }
    printTable(lines);
}

} // namespace cicadamux::test
