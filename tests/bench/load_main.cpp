/** @file load_main.cpp Sends open-loop load of one operation to running daemons and prints the results. */

#include "support/load_base.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <exception>
#include <iostream>

ABSL_FLAG(std::vector<std::string>, entries, {}, "IP:port of the listeners that receive the calls in turn");
ABSL_FLAG(std::string, service, "pitchdesk", "service to call");
ABSL_FLAG(std::string, operation, "availability", "operation to call");
ABSL_FLAG(double, per_second, 100, "mean rate of arrivals");
ABSL_FLAG(std::int64_t, duration_ms, 10'000, "duration of the load, milliseconds");
ABSL_FLAG(std::int64_t, deadline_ms, 1'000, "deadline of a request including its retries, milliseconds");
ABSL_FLAG(std::uint32_t, retries, 0, "retries of each request by the client");
ABSL_FLAG(bool, at_most_once, false, "take a ticket for each request");
ABSL_FLAG(bool, tickets, true, "false if the entries are backend servers without daemons");
ABSL_FLAG(std::uint32_t, threads, 2, "number of sending threads");

using namespace cicadamux::test;

namespace
{
load_options readFlags()
{
    load_options options;
    const std::string service = absl::GetFlag(FLAGS_service);
    options.operations = {{service,
                           absl::GetFlag(FLAGS_operation),
                           "load",
                           absl::GetFlag(FLAGS_per_second),
                           {absl::GetFlag(FLAGS_deadline_ms)},
                           absl::GetFlag(FLAGS_retries),
                           absl::GetFlag(FLAGS_at_most_once)}};
    options.entries[service] = absl::GetFlag(FLAGS_entries);
    options.duration = {absl::GetFlag(FLAGS_duration_ms)};
    options.threads = absl::GetFlag(FLAGS_threads);
    options.useTickets = absl::GetFlag(FLAGS_tickets);
    return options;
}

void printResult(const load_result &result)
{
    const load_count total = result.total();
    std::cout << "tried=" << total.tried << " good=" << total.good << " late=" << total.late << " failed=" << total.failed << " not_run=" << total.notRun
              << " unknown=" << total.unknown << " not_sent=" << total.notSent << " wrong_answers=" << total.wrongAnswers << " attempts=" << total.attempts
              << " goodput=" << static_cast<double>(total.good) / result.seconds << " ms_p50=" << percentile(total.latencies, 0.5)
              << " ms_p99=" << percentile(total.latencies, 0.99);
    for (const auto &[reason, count] : total.reasons) {
        std::cout << " reason_" << reason << "=" << count;
    }
    std::cout << "\ngood_by_step=";
    for (const std::uint32_t count : total.series) {
        std::cout << count << ",";
    }
    std::cout << "\n";
}
} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Open-loop load on running daemons or backend servers: load --entries=IP:port [flags].");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_entries).empty()) {
        std::cerr << "load: --entries is missing\n";
        return 2;
    }
    try {
        load_run run(readFlags());
        printResult(run.finish());
        return 0;
    } catch (const std::exception &failure) {
        std::cerr << "load: " << failure.what() << "\n";
        return 1;
    }
}
