/** @file measure_overload.cpp Goodput during a surge, and recovery after a downstream service was slow. */

#include "bench/measure_scenario.h"

#include <iostream>
#include <thread>

namespace cicadamux::test
{

namespace
{
constexpr double warmUpFactor = 0.5; ///< Load relative to the capacity that opens connections and adapts limits before a measurement.

double goodput(const load_result &result)
{
    return static_cast<double>(result.total().good) / result.seconds;
}

load_result runLoad(const test_fleet &fleet, const deployment &setup, fleet_mode mode, double factor, clock_ms duration)
{
    load_run run(makeLoadOptions(fleet, setup, mode, factor, duration));
    return run.finish();
}

report_line runSurge(const std::string &name, const std::string &mode, const measure_options &options)
{
    deployment setup = makeDeployment(name, options);
    setup.fleet.mode = parseMode(mode);
    keepDownstreamCallers(setup);
    test_fleet fleet(setup.fleet);
    const cpu_meter meter;
    const clock_ms surge = options.phase + options.phase;
    runLoad(fleet, setup, setup.fleet.mode, warmUpFactor, options.phase);
    const load_result atCapacity = runLoad(fleet, setup, setup.fleet.mode, 1, options.phase);
    const load_result twice = runLoad(fleet, setup, setup.fleet.mode, 2, surge);
    const load_result five = runLoad(fleet, setup, setup.fleet.mode, 5, surge);
    report_line line;
    line.add("scenario", "surge").add("deployment", name).add("scale", options.scale).add("mode", mode);
    line.add("goodput_1x", goodput(atCapacity)).add("goodput_2x", goodput(twice)).add("goodput_5x", goodput(five));
    line.add("goodput_ratio_2x", goodput(twice) / goodput(atCapacity)).add("goodput_ratio_5x", goodput(five) / goodput(atCapacity));
    line.add("offered_1x", static_cast<double>(atCapacity.total().tried) / atCapacity.seconds);
    line.add("reasons_1x", formatReasons(atCapacity.total().reasons)).add("reasons_5x", formatReasons(five.total().reasons));
    line.add("not_sent", five.total().notSent)
        .add("wrong_answers", five.total().wrongAnswers)
        .add("violations", sumMetric(fleet, "violations_"))
        .add("cpu_busy", meter.utilisation());
    return line;
}

/** @return The sum of `count` steps of a series; steps beyond its end count as zero. */
double sumSteps(const std::vector<std::uint32_t> &series, std::size_t from, std::size_t count)
{
    double sum = 0;
    for (std::size_t step = from; step < from + count && step < series.size(); ++step) {
        sum += series[step];
    }
    return sum;
}

/**
 * A short burst of answers isn't a recovery: each later second must also reach 80% of the target.
 * Random variation alone leaves a second of a few hundred answers well above that.
 * @return Seconds after `from` until half a second reaches the target goodput and it stays up; -1 if it never does.
 */
double recoverySeconds(const std::vector<std::uint32_t> &series, std::size_t from, std::size_t end, double targetPerStep, double stepSeconds)
{
    constexpr std::size_t window = 5; // Steps.
    constexpr std::size_t second = 10; // Steps.
    constexpr double sustainedFraction = 0.8;
    std::size_t recovered = end;
    for (std::size_t step = end - second; step + 1 > from; --step) {
        if (sumSteps(series, step, second) < sustainedFraction * targetPerStep * second) {
            break;
        }
        if (sumSteps(series, step, window) >= targetPerStep * window) {
            recovered = step;
        }
        if (step == from) {
            break;
        }
    }
    return recovered == end ? -1 : static_cast<double>(recovered - from) * stepSeconds;
}

report_line runSlowDownstream(const std::string &name, const std::string &mode, const measure_options &options)
{
    constexpr double usualFactor = 0.7;
    constexpr double targetFraction = 0.95;
    constexpr std::int64_t slowFactor = 10;
    deployment setup = makeDeployment(name, options);
    setup.fleet.mode = parseMode(mode);
    test_fleet fleet(setup.fleet);
    const cpu_meter meter;
    const clock_ms before = options.phase;
    const clock_ms slow{options.phase.count * 2};
    const clock_ms after{options.phase.count * 2};
    load_options load = makeLoadOptions(fleet, setup, setup.fleet.mode, usualFactor, before + slow + after);
    const clock_ms step = load.seriesStep;
    load_run run(load);
    std::this_thread::sleep_for(std::chrono::milliseconds(before.count));
    for (const fleet_host &host : fleet.hostsOf(setup.downstreamService)) {
        fleet.control(host.backend, {{"fault", "slow"}, {"factor", slowFactor}, {"for_ms", slow.count}});
    }
    const load_result result = run.finish();
    const auto series = result.total().series;
    const auto steps = [&](clock_ms span) {
        return static_cast<std::size_t>(span.count / step.count);
    };
    const auto meanOf = [&](std::size_t from, std::size_t to) {
        return sumSteps(series, from, to - from) / static_cast<double>(to - from);
    };
    const double usual = meanOf(steps(before) / 2, steps(before));
    const std::size_t slowEnd = steps(before + slow);
    const std::size_t end = slowEnd + steps(after);
    const double stepSeconds = static_cast<double>(step.count) / 1'000;
    report_line line;
    line.add("scenario", "slow-deep").add("deployment", name).add("scale", options.scale).add("mode", mode);
    line.add("recovery_s", recoverySeconds(series, slowEnd, end, targetFraction * usual, stepSeconds));
    line.add("slow_s", static_cast<double>(slow.count) / 1'000).add("goodput_before", usual / stepSeconds);
    line.add("goodput_slow", meanOf(steps(before) + 5, slowEnd) / stepSeconds).add("goodput_last_2s", meanOf(end - 20, end) / stepSeconds);
    line.add("reasons", formatReasons(result.total().reasons));
    line.add("wrong_answers", result.total().wrongAnswers).add("violations", sumMetric(fleet, "violations_")).add("cpu_busy", meter.utilisation());
    return line;
}

using scenario_run = report_line (*)(const std::string &, const std::string &, const measure_options &);

void runInAllModes(scenario_run runOne, const measure_options &options)
{
    for (const std::string &name : options.deployments) {
        std::vector<report_line> lines;
        for (const std::string &mode : options.modes) {
            lines.push_back(runOne(name, mode, options));
            lines.back().print();
        }
        printTable(lines);
    }
}
} // namespace

void measureSurge(const measure_options &options)
{
    runInAllModes(runSurge, options);
}

void measureSlowDeep(const measure_options &options)
{
    runInAllModes(runSlowDownstream, options);
}

} // namespace cicadamux::test
