/** @file measure_main.cpp Runs one measurement scenario with processes on this machine and prints the results. */

#include "bench/measure_scenario.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <array>
#include <exception>
#include <iostream>

ABSL_FLAG(std::vector<std::string>, sizes, std::vector<std::string>({"4", "10", "30"}), "numbers of daemons, one run of control-cost each");
ABSL_FLAG(std::uint32_t, changes, 100, "number of configuration changes in config");
ABSL_FLAG(double, scale, 0.1, "slots of the run relative to the full-size deployment");
ABSL_FLAG(std::string, examples, "examples", "folder with the policies of both deployments");
ABSL_FLAG(std::vector<std::string>, deployments, std::vector<std::string>({"stallgrid", "guild"}), "deployments to run");
ABSL_FLAG(std::vector<std::string>,
          modes,
          std::vector<std::string>({"full", "no-admission", "direct"}),
          "modes to run: with admission control, and the baselines");
ABSL_FLAG(std::int64_t, phase_ms, 5'000, "length of one phase of load, milliseconds");

using namespace cicadamux::test;

namespace
{
struct scenario_row {
    std::string_view name;
    void (*run)(const measure_options &);
};

constexpr std::array scenarios{scenario_row{"added-latency", measureAddedLatency},
                               scenario_row{"surge", measureSurge},
                               scenario_row{"slow-deep", measureSlowDeep},
                               scenario_row{"flood-low", measureFloodLow},
                               scenario_row{"flood-high", measureFloodHigh},
                               scenario_row{"retry-storm", measureRetryStorm},
                               scenario_row{"late-answers", measureLateAnswers},
                               scenario_row{"control-cost", measureControlCost},
                               scenario_row{"call-cost", measureCallCost},
                               scenario_row{"config", measureConfig},
                               scenario_row{"drain", measureDrain}};

int runScenario(std::string_view name)
{
    measure_options options;
    options.scale = absl::GetFlag(FLAGS_scale);
    options.examples = absl::GetFlag(FLAGS_examples);
    options.deployments = absl::GetFlag(FLAGS_deployments);
    options.modes = absl::GetFlag(FLAGS_modes);
    options.sizes = absl::GetFlag(FLAGS_sizes);
    options.changes = absl::GetFlag(FLAGS_changes);
    options.phase = {absl::GetFlag(FLAGS_phase_ms)};
    for (const scenario_row &row : scenarios) {
        if (row.name == name) {
            row.run(options);
            return 0;
        }
    }
    std::cerr << "unknown scenario: " << name << "; available:";
    for (const scenario_row &row : scenarios) {
        std::cerr << " " << row.name;
    }
    std::cerr << "\n";
    return 2;
}
} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Measures one scenario: measure SCENARIO [flags].");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    try {
        return runScenario(arguments.size() == 2 ? arguments[1] : "");
    } catch (const std::exception &failure) {
        std::cerr << "measure: " << failure.what() << "\n";
        return 1;
    }
}
