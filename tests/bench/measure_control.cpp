/** @file measure_control.cpp What a daemon spends on control while no calls come, by the size of the fleet. */

#include "bench/measure_process.h"
#include "bench/measure_scenario.h"

#include <algorithm>
#include <thread>

namespace cicadamux::test
{

namespace
{
constexpr std::int64_t settleMs = 4'000; ///< Until the views have settled and the backend servers are announced.

report_line controlOf(std::size_t hosts, const measure_options &options)
{
    deployment made = makeDeployment("stallgrid", options);
    fleet_service service = made.fleet.services.back();
    service.dataCenters.clear();
    constexpr std::size_t dataCenters = 3;
    for (std::size_t number = 0; number < hosts; ++number) {
        service.dataCenters.push_back("dc-" + std::to_string(number % dataCenters + 1));
    }
    made.fleet.services = {service};
    test_fleet fleet(made.fleet);
    std::this_thread::sleep_for(std::chrono::milliseconds(settleMs));
    const auto sumProcessor = [&] {
        double sum = 0;
        for (std::size_t host = 0; host < hosts; ++host) {
            sum += processorSeconds(fleet.daemon(host).pid());
        }
        return sum;
    };
    const auto platformCalls = [&] {
        return fleet.counters(fleet.platformAddress()).at("calls").to_number<double>();
    };
    const double processorBefore = sumProcessor();
    const double sentBefore = sumGauge(fleet, "gossip_bytes_sent");
    const double exchangedBefore = sumGauge(fleet, "exchange_bytes_sent");
    const double callsBefore = platformCalls();
    const clock_ms start = steadyNow();
    std::this_thread::sleep_for(std::chrono::milliseconds(options.phase.count * 2));
    constexpr double second = 1'000;
    const double seconds = static_cast<double>((steadyNow() - start).count) / second;
    const double daemonSeconds = seconds * static_cast<double>(hosts);
    double resident = 0;
    for (std::size_t host = 0; host < hosts; ++host) {
        resident = std::max(resident, residentMegabytes(fleet.daemon(host).pid()));
    }
    constexpr double percent = 100;
    report_line line;
    line.add("scenario", "control-cost").add("daemons", std::uint64_t{hosts});
    line.add("core_percent", percent * (sumProcessor() - processorBefore) / daemonSeconds).add("resident_mb_max", resident);
    const double exchanged = sumGauge(fleet, "exchange_bytes_sent") - exchangedBefore;
    line.add("exchange_bytes_per_s", exchanged / daemonSeconds);
    line.add("gossip_bytes_per_s", (sumGauge(fleet, "gossip_bytes_sent") - sentBefore) / daemonSeconds);
    line.add("platform_calls_per_s_fleet", (platformCalls() - callsBefore) / seconds);
    line.add("waiting_watches", fleet.counters(fleet.platformAddress()).at("waiting_watches").to_number<std::uint64_t>());
    return line;
}
} // namespace

void measureControlCost(const measure_options &options)
{
    std::vector<report_line> lines;
    for (const std::string &size : options.sizes) {
        lines.push_back(controlOf(std::stoul(size), options));
        lines.back().print();
    }
    printTable(lines);
}

} // namespace cicadamux::test
