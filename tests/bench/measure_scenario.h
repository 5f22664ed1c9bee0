/** @file measure_scenario.h The measurements; each prints its own lines. */

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
    double scale = 0.1; ///< Slots of a run over the deployment's own.
    std::string examples; ///< Folder with the policies.
    std::vector<std::string> deployments; ///< `stallgrid`, `guild`.
    std::vector<std::string> modes; ///< `full`, `no-admission`, `direct`.
    clock_ms phase{5'000}; ///< Length of one phase of load.
    std::vector<std::string> sizes; ///< Daemons of each run of control-cost.
    std::uint32_t changes = 100; ///< Changes of configuration.
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

/** @throws cicadamux::error if there is no such deployment. */
deployment makeDeployment(std::string_view name, const measure_options &options);

/** @throws cicadamux::error if there is no such mode. */
fleet_mode parseMode(std::string_view name);

/** @return Options of a load run on a fleet: entries in turn, tickets where there are daemons. */
load_options makeLoad(const test_fleet &fleet, const deployment &subject, fleet_mode mode, double factor, clock_ms duration);

/** Adds up a counter of all backend servers. */
std::uint64_t sumCounter(const test_fleet &fleet, std::string_view key);

/** Adds up a gauge over the /metrics of all daemons; zero in direct mode. */
double sumGauge(const test_fleet &fleet, std::string_view name);

} // namespace cicadamux::test
