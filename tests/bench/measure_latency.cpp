/** @file measure_latency.cpp Latency that two daemons add to a call. */

#include "bench/measure_scenario.h"

namespace cicadamux::test
{

namespace
{
constexpr double offeredFraction = 0.25; ///< Load relative to the capacity; half of it through daemons, half direct.
constexpr double latencyServiceMs = 4;
constexpr std::uint32_t latencySlots = 8;

/** @return The backend servers of feebox, and stallfind on other hosts, whose daemons receive the calls. */
deployment makeLatencyDeployment(const measure_options &options)
{
    deployment setup = makeDeployment("stallgrid", options);
    std::vector<fleet_service> services;
    for (fleet_service service : setup.fleet.services) {
        if (service.name == "feebox" || service.name == "stallfind") {
            service.serviceMs = latencyServiceMs;
            service.slots = latencySlots;
            services.push_back(service);
        }
    }
    setup.fleet.services = services;
    return setup;
}
} // namespace

void measureAddedLatency(const measure_options &options)
{
    constexpr double second = 1'000;
    const deployment setup = makeLatencyDeployment(options);
    test_fleet fleet(setup.fleet);
    const auto servers = fleet.hostsOf("feebox");
    const double capacity = static_cast<double>(servers.size() * latencySlots) * second / latencyServiceMs;

    load_options daemonLoad;
    daemonLoad.operations = {{"feebox", "fee-table", "through", capacity * offeredFraction / 2, {1'000}, 0, false}};
    for (const fleet_host &host : fleet.hostsOf("stallfind")) {
        daemonLoad.entries["feebox"].push_back(host.edge);
    }
    daemonLoad.duration = options.phase + options.phase;
    daemonLoad.threads = 1;
    load_options directLoad = daemonLoad;
    directLoad.operations[0].label = "direct";
    directLoad.entries["feebox"].clear();
    for (const fleet_host &host : servers) {
        directLoad.entries["feebox"].push_back(host.backend);
    }
    directLoad.useTickets = false;

    const cpu_meter meter;
    load_run daemonRun(daemonLoad);
    load_run directRun(directLoad);
    const load_count viaDaemons = daemonRun.finish().total();
    const load_count direct = directRun.finish().total();
    const auto added = [&](double fraction) {
        return percentile(viaDaemons.latencies, fraction) - percentile(direct.latencies, fraction);
    };
    report_line line;
    line.add("scenario", "added-latency").add("added_ms_p50", added(0.5)).add("added_ms_p99", added(0.99));
    line.add("direct_ms_p50", percentile(direct.latencies, 0.5)).add("direct_ms_p99", percentile(direct.latencies, 0.99));
    line.add("calls", viaDaemons.tried)
        .add("good", viaDaemons.good)
        .add("direct_good", direct.good)
        .add("capacity_part", offeredFraction)
        .add("cpu_busy", meter.utilisation());
    line.print();
    printTable({line});
    const std::string problems = fleet.stop();
    if (!problems.empty()) {
        throw process_error(problems);
    }
}

} // namespace cicadamux::test
