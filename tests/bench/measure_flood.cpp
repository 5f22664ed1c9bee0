/** @file measure_flood.cpp Fractions of protected and other requests that are served while one kind of request far exceeds the capacity. */

#include "bench/measure_scenario.h"

#include <algorithm>

namespace cicadamux::test
{

namespace
{
constexpr double usualFactor = 0.5; ///< Load relative to the capacity, for requests that don't flood.
constexpr double floodFactor = 5; ///< Load relative to the capacity, for requests that flood.

double servedRatio(const load_count &count)
{
    return count.tried == 0 ? 1 : static_cast<double>(count.good) / static_cast<double>(count.tried);
}

bool isFlooding(const deployment_request &request, bool isHigh)
{
    return isHigh ? request.isProtected && request.operation.atMostOnce : request.isLeastUrgent;
}

/** Runs the usual load, then the same load with the flood. */
report_line runFlood(const std::string &name, const std::string &mode, bool isHigh, const measure_options &options)
{
    deployment setup = makeDeployment(name, options);
    setup.fleet.mode = parseMode(mode);
    test_fleet fleet(setup.fleet);
    const cpu_meter meter;
    load_run usualRun(makeLoadOptions(fleet, setup, setup.fleet.mode, usualFactor, options.phase));
    const load_result usual = usualRun.finish();
    load_options load = makeLoadOptions(fleet, setup, setup.fleet.mode, usualFactor, options.phase + options.phase);
    for (std::size_t index = 0; index < setup.requests.size(); ++index) {
        if (isFlooding(setup.requests[index], isHigh)) {
            load.operations[index].perSecond *= floodFactor / usualFactor;
        }
    }
    load_run run(load);
    load_result result = run.finish();

    report_line line;
    line.add("scenario", isHigh ? "flood-high" : "flood-low").add("deployment", name).add("scale", options.scale).add("mode", mode);
    load_count protectedRequests;
    for (const deployment_request &request : setup.requests) {
        if (request.isProtected) {
            protectedRequests.add(result.byLabel[request.operation.label]);
        }
    }
    line.add("protected_served_ratio", servedRatio(protectedRequests))
        .add("protected_tried", protectedRequests.tried)
        .add("protected_not_run", protectedRequests.notRun);
    line.add("refused_before_lesser", sumMetric(fleet, "violations_rank_order"));
    line.add("protected_reasons", formatReasons(protectedRequests.reasons));
    for (const deployment_request &request : setup.requests) {
        const std::string &label = request.operation.label;
        const bool isFlood = isFlooding(request, isHigh);
        const double before = servedRatio(usual.byLabel.at(label));
        line.add((isFlood ? "flood_served_" : "kept_") + label, before > 0 ? servedRatio(result.byLabel[label]) / (isFlood ? 1 : before) : 0);
    }
    line.add("goodput", static_cast<double>(result.total().good) / result.seconds).add("wrong_answers", result.total().wrongAnswers);
    line.add("not_sent", result.total().notSent).add("violations", sumMetric(fleet, "violations_")).add("cpu_busy", meter.utilisation());
    return line;
}

void measureFlood(bool isHigh, const measure_options &options)
{
    for (const std::string &name : options.deployments) {
        std::vector<report_line> lines;
        for (const std::string &mode : options.modes) {
            lines.push_back(runFlood(name, mode, isHigh, options));
            lines.back().print();
        }
        printTable(lines);
    }
}
} // namespace

void measureFloodLow(const measure_options &options)
{
    measureFlood(false, options);
}

void measureFloodHigh(const measure_options &options)
{
    measureFlood(true, options);
}

} // namespace cicadamux::test
