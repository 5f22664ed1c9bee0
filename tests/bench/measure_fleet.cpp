/** @file measure_fleet.cpp Changes of configuration, planned stops under load, and what a call costs a daemon. */

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

/** Sums of the generations in force, by daemon, with the falls seen. */
class force_watch
{
public:
    explicit force_watch(const test_fleet &fleet)
        : m_fleet(fleet)
        , m_highest(fleet.hosts().size(), 0)
    {
    }

    /** @return Whether each daemon has reached the sum. */
    bool reached(double sum)
    {
        bool all = true;
        for (std::size_t host = 0; host < m_highest.size(); ++host) {
            const double now = metricAt(m_fleet.hosts()[host].admin, "generations_in_force_sum");
            reverts += now < m_highest[host] ? 1 : 0;
            m_highest[host] = std::max(m_highest[host], now);
            all = all && now >= sum;
        }
        return all;
    }

    std::uint64_t reverts = 0;

private:
    const test_fleet &m_fleet;
    std::vector<double> m_highest;
};

/** @return The value below which a part of the sorted values lie. */
double partOf(const std::vector<double> &sorted, double part)
{
    return sorted.at(std::min(sorted.size() - 1, static_cast<std::size_t>(part * static_cast<double>(sorted.size()))));
}
} // namespace

void measureConfig(const measure_options &options)
{
    fleet_options made = twoServiceOptions();
    made.services[1].dataCenters = {"tbs-1", "tbs-2", "bat-1", "bat-1"};
    test_fleet fleet(made);
    force_watch watch(fleet);
    constexpr double otherGenerations = 2; // The rank table and pitchdesk.
    constexpr clock_ms longest{30'000};
    std::vector<double> inForce;
    std::uint64_t late = 0;
    for (std::uint64_t change = 2; change < options.changes + 2; ++change) {
        const clock_ms start = steadyNow();
        writeChange(fleet, change);
        late += waitUntil(
                    [&] {
                        return watch.reached(static_cast<double>(change) + otherGenerations);
                    },
                    longest)
            ? 0
            : 1;
        inForce.push_back(static_cast<double>((steadyNow() - start).count) / second);
    }
    std::sort(inForce.begin(), inForce.end());
    report_line line;
    line.add("scenario", "config").add("daemons", std::uint64_t{fleet.hosts().size()}).add("changes", std::uint64_t{inForce.size()});
    line.add("in_force_s_p50", partOf(inForce, 0.5)).add("in_force_s_p99", partOf(inForce, 0.99)).add("in_force_s_max", inForce.back());
    line.add("not_within_30_s", late).add("reverts", watch.reverts);
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
            : 1; // As an operator would, before the next one.
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
        fleet_options made = twoServiceOptions();
        made.services[0].slots = 100;
        made.services[1].slots = 100;
        test_fleet fleet(made);
        load_options load;
        load.operations = {{"feebox", "charge", "charge", rate, {2'000}, 0, false}};
        load.entries["feebox"] = {fleet.hosts()[0].edge}; // Beside a pitchdesk: each call passes through two daemons.
        load.duration = options.phase;
        const auto processor = [&](std::size_t host) {
            return processorSeconds(fleet.daemon(host).pid());
        };
        const double edgeBefore = processor(0);
        const double gatesBefore = processor(2) + processor(3);
        const load_count total = load_run(load).finish().total();
        constexpr double microseconds = 1e6;
        const double calls = static_cast<double>(total.good);
        report_line line;
        line.add("scenario", "call-cost").add("calls_per_s", calls * second / static_cast<double>(options.phase.count)).add("answered", total.good);
        line.add("edge_us_per_call", microseconds * (processor(0) - edgeBefore) / calls);
        line.add("gate_us_per_call", microseconds * (processor(2) + processor(3) - gatesBefore) / calls);
        line.add("edge_resident_mb", residentMegabytes(fleet.daemon(0).pid()));
        line.print();
        lines.push_back(line);
    }
    printTable(lines);
}

} // namespace cicadamux::test
