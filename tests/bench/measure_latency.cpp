/** @file measure_latency.cpp What two daemons add to a call. */

#include "bench/measure_scenario.h"

namespace cicadamux::test
{

namespace
{
constexpr double quarter = 0.25;
constexpr double latencyServiceMs = 4;
constexpr std::uint32_t latencySlots = 8;

/** One service's servers and, on other hosts, the daemons at which calls enter. */
deployment makeLatencyDeployment(const measure_options &options)
{
    deployment made = makeDeployment("stallgrid", options);
    std::vector<fleet_service> services;
    for (fleet_service service : made.fleet.services) {
        if (service.name == "feebox" || service.name == "stallfind") {
            service.serviceMs = latencyServiceMs;
            service.slots = latencySlots;
            services.push_back(service);
        }
    }
    made.fleet.services = services;
    return made;
}
} // namespace

void measureAddedLatency(const measure_options &options)
{
    constexpr double second = 1'000;
    const deployment made = makeLatencyDeployment(options);
    test_fleet fleet(made.fleet);
    const auto servers = fleet.hostsOf("feebox");
    const double capacity = static_cast<double>(servers.size() * latencySlots) * second / latencyServiceMs;

    load_options load;
    load.operations = {{"feebox", "fee-table", "through", capacity * quarter / 2, {1'000}, 0, false}};
    for (const fleet_host &host : fleet.hostsOf("stallfind")) {
        load.entries["feebox"].push_back(host.edge);
    }
    load.duration = options.phase + options.phase;
    load.threads = 1;
    load_options direct = load;
    direct.operations[0].label = "direct";
    direct.entries["feebox"].clear();
    for (const fleet_host &host : servers) {
        direct.entries["feebox"].push_back(host.backend);
    }
    direct.useTickets = false;

    const cpu_meter meter;
    load_run throughRun(load);
    load_run directRun(direct);
    const load_count through = throughRun.finish().total();
    const load_count plain = directRun.finish().total();
    const auto added = [&](double part) {
        return percentile(through.latencies, part) - percentile(plain.latencies, part);
    };
    report_line line;
    line.add("scenario", "added-latency").add("added_ms_p50", added(0.5)).add("added_ms_p99", added(0.99));
    line.add("direct_ms_p50", percentile(plain.latencies, 0.5)).add("direct_ms_p99", percentile(plain.latencies, 0.99));
    line.add("calls", through.tried).add("good", through.good).add("direct_good", plain.good).add("capacity_part", quarter).add("cpu_busy", meter.busy());
    line.print();
    printTable({line});
    const std::string problems = fleet.stop();
    if (!problems.empty()) {
        throw process_error(problems);
    }
}

} // namespace cicadamux::test
