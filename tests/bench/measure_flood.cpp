/** @file measure_flood.cpp What protected and other work keeps while one kind of work floods in. */

#include "bench/measure_scenario.h"

#include <algorithm>

namespace cicadamux::test
{

namespace
{
constexpr double usualFactor = 0.5; ///< Of the capacity, for the work that doesn't flood.
constexpr double floodFactor = 5; ///< Of the capacity, for the work that floods.

double servedRatio(const load_count &count)
{
    return count.tried == 0 ? 1 : static_cast<double>(count.good) / static_cast<double>(count.tried);
}

bool floods(const deployment_request &request, bool isHigh)
{
    return isHigh ? request.isProtected && request.operation.atMostOnce : request.isLeast;
}

/** Measures the usual load, then the same with the flood. */
report_line floodOf(const std::string &name, const std::string &mode, bool isHigh, const measure_options &options)
{
    deployment made = makeDeployment(name, options);
    made.fleet.mode = parseMode(mode);
    test_fleet fleet(made.fleet);
    const cpu_meter meter;
    load_run usualRun(makeLoad(fleet, made, made.fleet.mode, usualFactor, options.phase));
    const load_result usual = usualRun.finish();
    load_options load = makeLoad(fleet, made, made.fleet.mode, usualFactor, options.phase + options.phase);
    for (std::size_t index = 0; index < made.requests.size(); ++index) {
        if (floods(made.requests[index], isHigh)) {
            load.operations[index].perSecond *= floodFactor / usualFactor;
        }
    }
    load_run run(load);
    load_result result = run.finish();

    report_line line;
    line.add("scenario", isHigh ? "flood-high" : "flood-low").add("deployment", name).add("scale", options.scale).add("mode", mode);
    load_count urgent;
    for (const deployment_request &request : made.requests) {
        if (request.isProtected) {
            urgent.add(result.byLabel[request.operation.label]);
        }
    }
    line.add("protected_served_ratio", servedRatio(urgent)).add("protected_tried", urgent.tried).add("protected_not_run", urgent.notRun);
    line.add("refused_before_lesser", sumGauge(fleet, "violations_rank_order"));
    line.add("protected_reasons", formatReasons(urgent.reasons));
    for (const deployment_request &request : made.requests) {
        const std::string &label = request.operation.label;
        const bool isFlood = floods(request, isHigh);
        const double before = servedRatio(usual.byLabel.at(label));
        line.add((isFlood ? "flood_served_" : "kept_") + label, before > 0 ? servedRatio(result.byLabel[label]) / (isFlood ? 1 : before) : 0);
    }
    line.add("goodput", static_cast<double>(result.total().good) / result.seconds).add("wrong_answers", result.total().wrongAnswers);
    line.add("not_sent", result.total().notSent).add("violations", sumGauge(fleet, "violations_")).add("cpu_busy", meter.busy());
    return line;
}

void measureFlood(bool isHigh, const measure_options &options)
{
    for (const std::string &name : options.deployments) {
        std::vector<report_line> lines;
        for (const std::string &mode : options.modes) {
            lines.push_back(floodOf(name, mode, isHigh, options));
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
