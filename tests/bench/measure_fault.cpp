/** @file measure_fault.cpp Attempts under a failing deep service, and the truth of outcomes under broken answers. */

#include "bench/measure_scenario.h"

#include "support/http_client_base.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <unordered_map>

namespace cicadamux::test
{

namespace
{
constexpr std::size_t stormDepth = 8;
constexpr std::uint32_t stormSlots = 64;
constexpr std::uint64_t chainAllowance = 3; ///< `retries` in makeChain()'s policies.

/** @return Runs of each request id of one operation, over all backend servers of its service. */
std::unordered_map<std::string, std::uint64_t> runsById(const test_fleet &fleet, const std::string &service, const std::string &operation)
{
    constexpr clock_ms timeout{10'000};
    std::unordered_map<std::string, std::uint64_t> runs;
    http_message request;
    request.method = "GET";
    request.target = "/control/runs?operation=" + operation;
    for (const fleet_host &host : fleet.hostsOf(service)) {
        const auto parsed = boost::json::parse(callHttp(host.backend, request, timeout).message.body);
        for (const auto &[id, count] : parsed.as_object()) {
            runs[id] += count.to_number<std::uint64_t>();
        }
    }
    return runs;
}

report_line stormOf(const std::string &mode, const measure_options &options)
{
    deployment made = makeChain(stormDepth, stormSlots);
    made.fleet.mode = parseMode(mode);
    test_fleet fleet(made.fleet);
    for (const fleet_host &host : fleet.hostsOf(made.deepService)) {
        fleet.control(host.backend, {{"fault", "fail"}});
    }
    const cpu_meter meter;
    const std::uint64_t receivedBefore = sumCounter(fleet, "received");
    load_run run(makeLoad(fleet, made, made.fleet.mode, 1, options.phase));
    const load_count total = run.finish().total();
    const std::uint64_t received = sumCounter(fleet, "received") - receivedBefore;
    std::uint64_t most = 0;
    for (const auto &[id, runs] : runsById(fleet, "layer-1", "work")) {
        most = std::max(most, runs);
    }
    // The ids of deeper layers grow by a part for each layer, and repeats keep theirs: the deepest count is the most of one root.
    std::uint64_t deepest = 0;
    for (const auto &[id, runs] : runsById(fleet, made.deepService, "work")) {
        deepest = std::max(deepest, runs);
    }
    const auto perRoot = static_cast<double>(received) / static_cast<double>(std::max<std::uint64_t>(total.tried, 1));
    report_line line;
    line.add("scenario", "retry-storm").add("mode", mode).add("depth", std::uint64_t{stormDepth}).add("roots", total.tried);
    line.add("attempts_max", std::max(most, deepest)).add("attempts_bound", 1 + chainAllowance);
    line.add("amplification", perRoot / stormDepth)
        .add("calls_for_each_root", perRoot)
        .add("violations", sumGauge(fleet, "violations_"))
        .add("cpu_busy", meter.busy());
    return line;
}

/** Counts what was said of at-most-once requests against what ran. */
struct truth_count {
    std::uint64_t duplicates = 0;
    std::uint64_t notRunButRan = 0;
};

truth_count checkTruth(const test_fleet &fleet, const deployment &made, const load_result &result)
{
    truth_count truth;
    for (const deployment_request &request : made.requests) {
        const auto counted = result.byLabel.find(request.operation.label);
        if (counted == result.byLabel.end()) {
            continue;
        }
        const auto runs = runsById(fleet, request.operation.service, request.operation.operation);
        for (const std::string &id : counted->second.notRunIds) {
            truth.notRunButRan += runs.contains(id) ? 1 : 0;
        }
        for (const std::string &id : counted->second.sentIds) {
            const auto found = runs.find(id);
            truth.duplicates += found != runs.end() && found->second > 1 ? 1 : 0;
        }
    }
    return truth;
}

report_line lateAnswersOf(const std::string &name, const std::string &mode, const measure_options &options)
{
    deployment made = makeDeployment(name, options);
    made.fleet.mode = parseMode(mode);
    test_fleet fleet(made.fleet);
    for (const fleet_host &host : fleet.hosts()) {
        fleet.control(host.backend, {{"fault", "late_answer"}, {"ratio", 0.02}, {"delay_ms", 2'500}});
        fleet.control(host.backend, {{"fault", "double_answer"}, {"ratio", 0.02}});
        fleet.control(host.backend, {{"fault", "half_answer"}, {"ratio", 0.02}});
        fleet.control(host.backend, {{"fault", "no_answer"}, {"ratio", 0.02}});
        fleet.control(host.backend, {{"fault", "shed"}, {"ratio", 0.02}});
    }
    constexpr double factor = 0.5;
    const cpu_meter meter;
    load_run run(makeLoad(fleet, made, made.fleet.mode, factor, options.phase + options.phase));
    const load_result result = run.finish();
    const load_count total = result.total();
    const truth_count truth = checkTruth(fleet, made, result);
    report_line line;
    line.add("scenario", "late-answers").add("deployment", name).add("scale", options.scale).add("mode", mode).add("calls", total.tried);
    line.add("wrong_answers", total.wrongAnswers + sumCounter(fleet, "wrong_answers")).add("duplicates", truth.duplicates);
    line.add("not_run_but_ran", truth.notRunButRan).add("good", total.good).add("failed", total.failed).add("not_run", total.notRun);
    line.add("unknown", total.unknown).add("late", total.late).add("reasons", formatReasons(total.reasons));
    line.add("violations", sumGauge(fleet, "violations_")).add("cpu_busy", meter.busy());
    return line;
}
} // namespace

void measureRetryStorm(const measure_options &options)
{
    std::vector<report_line> lines;
    for (const std::string &mode : options.modes) {
        lines.push_back(stormOf(mode, options));
        lines.back().print();
    }
    printTable(lines);
}

void measureLateAnswers(const measure_options &options)
{
    for (const std::string &name : options.deployments) {
        std::vector<report_line> lines;
        for (const std::string &mode : options.modes) {
            lines.push_back(lateAnswersOf(name, mode, options));
            lines.back().print();
        }
        printTable(lines);
    }
}

} // namespace cicadamux::test
