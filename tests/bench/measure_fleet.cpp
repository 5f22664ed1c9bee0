/** @file measure_fleet.cpp Propagation of configuration changes, planned stops under load, and CPU cost of a call in a daemon. */

#include "bench/measure_process.h"
#include "bench/measure_scenario.h"
#include "support/two_service_fleet_func.h"

#include <algorithm>

namespace cicadamux::test
{

namespace
{
constexpr double second = 1'000; ///< Milliseconds.

/** Writes one change of feebox's policy. */
void writeChange(test_fleet &fleet, std::uint64_t generation)
{
    const std::string number = std::to_string(generation);
    fleet.putObject("service_policy",
                    "feebox",
                    R"({"generation":)" + number + R"(,"operation_id":"change-)" + number + R"(","service":"feebox","operations":[
        {"name":"charge","class":"fee-payment","rank":"urgent","passes_through":[],"deadline_ms":)"
                        + std::to_string(1'000 + generation) + R"(,"deadline_kind":"strict","retries":2,"at_most_once":false}]})");
}

/** Reads the sum of the generations in force at each daemon, and counts its decreases. */
class generation_monitor
{
public:
    explicit generation_monitor(const test_fleet &fleet)
        : m_fleet(fleet)
        , m_highest(fleet.hosts().size(), 0)
    {
    }

    /** @return Whether every daemon has reached the sum. */
    bool allReached(double sum)
    {
        bool areAllThere = true;
        for (std::size_t host = 0; host < m_highest.size(); ++host) {
            const double now = metricAt(m_fleet.hosts()[host].admin, "generations_in_force_sum");
            decreases += now < m_highest[host] ? 1 : 0;
            m_highest[host] = std::max(m_highest[host], now);
            areAllThere = areAllThere && now >= sum;
        }
        return areAllThere;
    }

    std::uint64_t decreases = 0;

private:
    const test_fleet &m_fleet;
    std::vector<double> m_highest;
};

/** @return A quantile of the sorted values; `fraction` is 0.5 for the median. */
double quantile(const std::vector<double> &sorted, double fraction)
{
    return sorted.at(std::min(sorted.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()))));
}
} // namespace

void measureConfig(const measure_options &options)
{
    fleet_options fleetOptions = twoServiceOptions();
    fleetOptions.services[1].dataCenters = {"tbs-1", "tbs-2", "bat-1", "bat-1"};
    test_fleet fleet(fleetOptions);
    generation_monitor monitor(fleet);
    constexpr double otherGenerations = 2; // The rank table and pitchdesk.
    constexpr clock_ms longestWait{30'000};
    std::vector<double> secondsToForce;
    std::uint64_t late = 0;
    for (std::uint64_t change = 2; change < options.changes + 2; ++change) {
        const clock_ms start = steadyNow();
        writeChange(fleet, change);
        late += waitUntil(
                    [&] {
                        return monitor.allReached(static_cast<double>(change) + otherGenerations);
                    },
                    longestWait)
            ? 0
            : 1;
        secondsToForce.push_back(static_cast<double>((steadyNow() - start).count) / second);
    }
    std::sort(secondsToForce.begin(), secondsToForce.end());
    report_line line;
    line.add("scenario", "config").add("daemons", std::uint64_t{fleet.hosts().size()}).add("changes", std::uint64_t{secondsToForce.size()});
    line.add("in_force_s_p50", quantile(secondsToForce, 0.5))
        .add("in_force_s_p99", quantile(secondsToForce, 0.99))
        .add("in_force_s_max", secondsToForce.back());
    line.add("not_within_30_s", late).add("reverts", monitor.decreases);
    line.print();
    printTable({line});
}

void measureDrain(const measure_options &options)
{
    test_fleet fleet(twoServiceOptions());
    load_options load;
    load.operations = {{"pitchdesk", "pay", "pay", 100, {2'000}, 0, false}};
    for (const fleet_host &host : fleet.hosts()) {
        load.entries["pitchdesk"].push_back(host.edge);
    }
    load.duration = {options.phase.count * 4};
    load_run run(load);
    constexpr clock_ms stopLimit{20'000};
    std::uint64_t badExits = 0;
    std::uint64_t notBack = 0;
    for (std::size_t host = 0; host < fleet.hosts().size(); ++host) {
        badExits += fleet.daemon(host).stop(stopLimit) == 0 ? 0 : 1;
        fleet.restartDaemon(host);
        notBack += waitUntil(
                       [&] {
                           return allAnswer(fleet, "pay");
                       },
                       stopLimit)
            ? 0
            : 1; // An operator, too, waits for this before the next restart.
    }
    const load_count total = run.finish().total();
    report_line line;
    line.add("scenario", "drain").add("restarts", std::uint64_t{fleet.hosts().size()}).add("bad_exits", badExits).add("not_back", notBack);
    line.add("calls", total.tried).add("answered", total.good).add("requests_cut", total.unknown).add("wrong_answers", total.wrongAnswers);
    line.add("reasons", formatReasons(total.reasons)).add("violations", violations(fleet));
    line.print();
    printTable({line});
}

void measureCallCost(const measure_options &options)
{
    std::vector<report_line> lines;
    for (const double rate : {200.0, 400.0, 800.0}) {
        fleet_options fleetOptions = twoServiceOptions();
        fleetOptions.services[0].slots = 100;
        fleetOptions.services[1].slots = 100;
        test_fleet fleet(fleetOptions);
        load_options load;
        load.operations = {{"feebox", "charge", "charge", rate, {2'000}, 0, false}};
        load.entries["feebox"] = {fleet.hosts()[0].edge}; // A host of pitchdesk, so that each call passes through two daemons.
        load.duration = options.phase;
        const auto cpuOf = [&](std::size_t host) {
            return cpuSeconds(fleet.daemon(host).pid());
        };
        const double edgeBefore = cpuOf(0);
        const double gateBefore = cpuOf(2) + cpuOf(3);
        const load_count total = load_run(load).finish().total();
        constexpr double microseconds = 1e6;
        const double calls = static_cast<double>(total.good);
        report_line line;
        line.add("scenario", "call-cost").add("calls_per_s", calls * second / static_cast<double>(options.phase.count)).add("answered", total.good);
        line.add("edge_us_per_call", microseconds * (cpuOf(0) - edgeBefore) / calls);
        line.add("gate_us_per_call", microseconds * (cpuOf(2) + cpuOf(3) - gateBefore) / calls);
        line.add("edge_resident_mb", residentMegabytes(fleet.daemon(0).pid()));
        line.print();
        lines.push_back(line);
    }
    printTable(lines);
}

} // namespace cicadamux::test
