/** @file measure_scenario.h The measurement scenarios; each prints its own results. */

#pragma once

#include "bench/measure_deployment.h"
#include "bench/measure_report.h"
#include "support/fleet_base.h"
#include "support/load_base.h"

#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::test
{

struct measure_options {
    double scale = 0.1; ///< Slots of a run relative to the full-size deployment.
    std::string examples; ///< Folder with the policies of the deployments.
    std::vector<std::string> deployments; ///< `stallgrid`, `guild`.
    std::vector<std::string> modes; ///< `full`, `no-admission`, `direct`.
    clock_ms phase{5'000}; ///< Length of one phase of load.
    std::vector<std::string> sizes; ///< Numbers of daemons, one run of control-cost each.
    std::uint32_t changes = 100; ///< Number of configuration changes in config.
};

void measureAddedLatency(const measure_options &options);
void measureSurge(const measure_options &options);
void measureSlowDeep(const measure_options &options);
void measureFloodLow(const measure_options &options);
void measureFloodHigh(const measure_options &options);
void measureRetryStorm(const measure_options &options);
void measureLateAnswers(const measure_options &options);
void measureControlCost(const measure_options &options);
void measureCallCost(const measure_options &options);
void measureConfig(const measure_options &options);
void measureDrain(const measure_options &options);

/** @throws cicadamux::error if the name is unknown. */
deployment makeDeployment(std::string_view name, const measure_options &options);

/** @throws cicadamux::error if the name is unknown. */
fleet_mode parseMode(std::string_view name);

/** @return Options of a load run that sends to all entry addresses of a fleet, with tickets unless it has no daemons. */
load_options makeLoadOptions(const test_fleet &fleet, const deployment &setup, fleet_mode mode, double factor, clock_ms duration);

/** @return The sum of a counter over all backend servers. */
std::uint64_t sumCounter(const test_fleet &fleet, std::string_view key);

/** @return The sum of all metrics samples whose series contains the name, over all daemons; zero in direct mode. */
double sumMetric(const test_fleet &fleet, std::string_view name);

} // namespace cicadamux::test
