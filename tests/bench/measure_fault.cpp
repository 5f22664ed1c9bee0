/** @file measure_fault.cpp Attempts per request with a failing downstream service, and correctness of reported outcomes with faulty answers. */

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
constexpr std::uint64_t chainAllowance = 3; ///< `retries` in the policies of makeChain().

/** @return The number of runs by request id of one operation, over all backend servers of its service. */
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

report_line runRetryStorm(const std::string &mode, const measure_options &options)
{
    deployment setup = makeChain(stormDepth, stormSlots);
    setup.fleet.mode = parseMode(mode);
    test_fleet fleet(setup.fleet);
    for (const fleet_host &host : fleet.hostsOf(setup.downstreamService)) {
        fleet.control(host.backend, {{"fault", "fail"}});
    }
    const cpu_meter meter;
    const std::uint64_t receivedBefore = sumCounter(fleet, "received");
    load_run run(makeLoadOptions(fleet, setup, setup.fleet.mode, 1, options.phase));
    const load_count total = run.finish().total();
    const std::uint64_t received = sumCounter(fleet, "received") - receivedBefore;
    std::uint64_t firstLayerMax = 0;
    for (const auto &[id, runs] : runsById(fleet, "layer-1", "work")) {
        firstLayerMax = std::max(firstLayerMax, runs);
    }
    // Each layer appends a part to the request id and repeats keep the id, so a count in the last layer belongs to one root.
    std::uint64_t lastLayerMax = 0;
    for (const auto &[id, runs] : runsById(fleet, setup.downstreamService, "work")) {
        lastLayerMax = std::max(lastLayerMax, runs);
    }
    const auto callsPerRoot = static_cast<double>(received) / static_cast<double>(std::max<std::uint64_t>(total.tried, 1));
    report_line line;
    line.add("scenario", "retry-storm").add("mode", mode).add("depth", std::uint64_t{stormDepth}).add("roots", total.tried);
    line.add("attempts_max", std::max(firstLayerMax, lastLayerMax)).add("attempts_bound", 1 + chainAllowance);
    line.add("amplification", callsPerRoot / stormDepth)
        .add("calls_for_each_root", callsPerRoot)
        .add("violations", sumMetric(fleet, "violations_"))
        .add("cpu_busy", meter.utilisation());
    return line;
}

/** Differences between the reported outcomes of requests and the runs that took place. */
struct outcome_errors {
    std::uint64_t duplicates = 0; ///< At-most-once requests that ran several times.
    std::uint64_t notRunButRan = 0; ///< Requests that ran although they were reported as not run.
};

outcome_errors countOutcomeErrors(const test_fleet &fleet, const deployment &setup, const load_result &result)
{
    outcome_errors errors;
    for (const deployment_request &request : setup.requests) {
        const auto counted = result.byLabel.find(request.operation.label);
        if (counted == result.byLabel.end()) {
            continue;
        }
        const auto runs = runsById(fleet, request.operation.service, request.operation.operation);
        for (const std::string &id : counted->second.notRunIds) {
            errors.notRunButRan += runs.contains(id) ? 1 : 0;
        }
        for (const std::string &id : counted->second.sentIds) {
            const auto found = runs.find(id);
            errors.duplicates += found != runs.end() && found->second > 1 ? 1 : 0;
        }
    }
    return errors;
}

report_line runLateAnswers(const std::string &name, const std::string &mode, const measure_options &options)
{
    deployment setup = makeDeployment(name, options);
    setup.fleet.mode = parseMode(mode);
    test_fleet fleet(setup.fleet);
    for (const fleet_host &host : fleet.hosts()) {
        fleet.control(host.backend, {{"fault", "late_answer"}, {"ratio", 0.02}, {"delay_ms", 2'500}});
        fleet.control(host.backend, {{"fault", "double_answer"}, {"ratio", 0.02}});
        fleet.control(host.backend, {{"fault", "half_answer"}, {"ratio", 0.02}});
        fleet.control(host.backend, {{"fault", "no_answer"}, {"ratio", 0.02}});
        fleet.control(host.backend, {{"fault", "shed"}, {"ratio", 0.02}});
    }
    constexpr double factor = 0.5;
    const cpu_meter meter;
    load_run run(makeLoadOptions(fleet, setup, setup.fleet.mode, factor, options.phase + options.phase));
    const load_result result = run.finish();
    const load_count total = result.total();
    const outcome_errors errors = countOutcomeErrors(fleet, setup, result);
    report_line line;
    line.add("scenario", "late-answers").add("deployment", name).add("scale", options.scale).add("mode", mode).add("calls", total.tried);
    line.add("wrong_answers", total.wrongAnswers + sumCounter(fleet, "wrong_answers")).add("duplicates", errors.duplicates);
    line.add("not_run_but_ran", errors.notRunButRan).add("good", total.good).add("failed", total.failed).add("not_run", total.notRun);
    line.add("unknown", total.unknown).add("late", total.late).add("reasons", formatReasons(total.reasons));
    line.add("violations", sumMetric(fleet, "violations_")).add("cpu_busy", meter.utilisation());
    return line;
}
} // namespace

void measureRetryStorm(const measure_options &options)
{
    std::vector<report_line> lines;
    for (const std::string &mode : options.modes) {
        lines.push_back(runRetryStorm(mode, options));
        lines.back().print();
    }
    printTable(lines);
}

void measureLateAnswers(const measure_options &options)
{
    for (const std::string &name : options.deployments) {
        std::vector<report_line> lines;
        for (const std::string &mode : options.modes) {
            lines.push_back(runLateAnswers(name, mode, options));
            lines.back().print();
        }
        printTable(lines);
    }
}

} // namespace cicadamux::test
