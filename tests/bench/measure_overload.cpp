/** @file measure_overload.cpp Goodput under a surge, and recovery after a slow deep service. */

#include "bench/measure_scenario.h"

#include <iostream>
#include <thread>

namespace cicadamux::test
{

namespace
{
constexpr double warmFactor = 0.5; ///< Load that warms connections and limits before a measurement.

double goodput(const load_result &result)
{
    return static_cast<double>(result.total().good) / result.seconds;
}

load_result runLoad(const test_fleet &fleet, const deployment &made, fleet_mode mode, double factor, clock_ms duration)
{
    load_run run(makeLoad(fleet, made, mode, factor, duration));
    return run.finish();
}

report_line surgeOf(const std::string &name, const std::string &mode, const measure_options &options)
{
    deployment made = makeDeployment(name, options);
    made.fleet.mode = parseMode(mode);
    keepDeepRequests(made);
    test_fleet fleet(made.fleet);
    const cpu_meter meter;
    const clock_ms surge = options.phase + options.phase;
    runLoad(fleet, made, made.fleet.mode, warmFactor, options.phase);
    const load_result atCapacity = runLoad(fleet, made, made.fleet.mode, 1, options.phase);
    const load_result twice = runLoad(fleet, made, made.fleet.mode, 2, surge);
    const load_result five = runLoad(fleet, made, made.fleet.mode, 5, surge);
    report_line line;
    line.add("scenario", "surge").add("deployment", name).add("scale", options.scale).add("mode", mode);
    line.add("goodput_1x", goodput(atCapacity)).add("goodput_2x", goodput(twice)).add("goodput_5x", goodput(five));
    line.add("goodput_ratio_2x", goodput(twice) / goodput(atCapacity)).add("goodput_ratio_5x", goodput(five) / goodput(atCapacity));
    line.add("offered_1x", static_cast<double>(atCapacity.total().tried) / atCapacity.seconds);
    line.add("reasons_1x", formatReasons(atCapacity.total().reasons)).add("reasons_5x", formatReasons(five.total().reasons));
    line.add("not_sent", five.total().notSent)
        .add("wrong_answers", five.total().wrongAnswers)
        .add("violations", sumGauge(fleet, "violations_"))
        .add("cpu_busy", meter.busy());
    return line;
}

/** @return Sum of a series' steps, those beyond its end counted as zero. */
double sumSteps(const std::vector<std::uint32_t> &series, std::size_t from, std::size_t count)
{
    double sum = 0;
    for (std::size_t step = from; step < from + count && step < series.size(); ++step) {
        sum += series[step];
    }
    return sum;
}

/**
 * A short burst of answers isn't a recovery: from then on each second has to bring 80% of it, where chance leaves
 * a second of a few hundred answers well above that.
 * @return Seconds after `from` until half a second brings the wanted goodput, and it stays up; minus one if it never does.
 */
double recoveryOf(const std::vector<std::uint32_t> &series, std::size_t from, std::size_t end, double wantedPerStep, double stepSeconds)
{
    constexpr std::size_t window = 5; // Steps.
    constexpr std::size_t second = 10; // Steps.
    constexpr double keptPart = 0.8;
    std::size_t recovered = end;
    for (std::size_t step = end - second; step + 1 > from; --step) {
        if (sumSteps(series, step, second) < keptPart * wantedPerStep * second) {
            break;
        }
        if (sumSteps(series, step, window) >= wantedPerStep * window) {
            recovered = step;
        }
        if (step == from) {
            break;
        }
    }
    return recovered == end ? -1 : static_cast<double>(recovered - from) * stepSeconds;
}

report_line slowDeepOf(const std::string &name, const std::string &mode, const measure_options &options)
{
    constexpr double usualFactor = 0.7;
    constexpr double wantedPart = 0.95;
    constexpr std::int64_t slowFactor = 10;
    deployment made = makeDeployment(name, options);
    made.fleet.mode = parseMode(mode);
    test_fleet fleet(made.fleet);
    const cpu_meter meter;
    const clock_ms before = options.phase;
    const clock_ms slow{options.phase.count * 2};
    const clock_ms after{options.phase.count * 2};
    load_options load = makeLoad(fleet, made, made.fleet.mode, usualFactor, before + slow + after);
    const clock_ms step = load.seriesStep;
    load_run run(load);
    std::this_thread::sleep_for(std::chrono::milliseconds(before.count));
    for (const fleet_host &host : fleet.hostsOf(made.deepService)) {
        fleet.control(host.backend, {{"fault", "slow"}, {"factor", slowFactor}, {"for_ms", slow.count}});
    }
    const load_result result = run.finish();
    const auto series = result.total().series;
    const auto steps = [&](clock_ms span) {
        return static_cast<std::size_t>(span.count / step.count);
    };
    const auto sumOf = [&](std::size_t from, std::size_t to) {
        return sumSteps(series, from, to - from) / static_cast<double>(to - from);
    };
    const double usual = sumOf(steps(before) / 2, steps(before));
    const std::size_t slowEnd = steps(before + slow);
    const std::size_t end = slowEnd + steps(after);
    const double stepSeconds = static_cast<double>(step.count) / 1'000;
    report_line line;
    line.add("scenario", "slow-deep").add("deployment", name).add("scale", options.scale).add("mode", mode);
    line.add("recovery_s", recoveryOf(series, slowEnd, end, wantedPart * usual, stepSeconds));
    line.add("slow_s", static_cast<double>(slow.count) / 1'000).add("goodput_before", usual / stepSeconds);
    line.add("goodput_slow", sumOf(steps(before) + 5, slowEnd) / stepSeconds).add("goodput_last_2s", sumOf(end - 20, end) / stepSeconds);
    line.add("reasons", formatReasons(result.total().reasons));
    line.add("wrong_answers", result.total().wrongAnswers).add("violations", sumGauge(fleet, "violations_")).add("cpu_busy", meter.busy());
    return line;
}

using single_run = report_line (*)(const std::string &, const std::string &, const measure_options &);

void measureAll(single_run single, const measure_options &options)
{
    for (const std::string &name : options.deployments) {
        std::vector<report_line> lines;
        for (const std::string &mode : options.modes) {
            lines.push_back(single(name, mode, options));
            lines.back().print();
        }
        printTable(lines);
    }
}
} // namespace

void measureSurge(const measure_options &options)
{
    measureAll(surgeOf, options);
}

void measureSlowDeep(const measure_options &options)
{
    measureAll(slowDeepOf, options);
}

} // namespace cicadamux::test
