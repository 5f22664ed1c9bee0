/** @file metrics_test.cpp Tests of a daemon's metrics. */

#include "metrics/metrics_func.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <thread>
#include <vector>

using namespace cicadamux;

namespace
{
bool has(const daemon_metrics &metrics, const std::string &line)
{
    return metrics.exposition().find(line) != std::string::npos;
}
} // namespace

TEST_CASE("calls are counted in the histogram of their class and service")
{
    daemon_metrics metrics;
    metrics.recordCall("pitchdesk", "pitch-hold", call_outcome::answered, outcome_reason::none, 0.003);
    metrics.recordCall("pitchdesk", "pitch-hold", call_outcome::not_run, outcome_reason::overloaded, 0.001);
    metrics.recordGateDecision("pitchdesk", "pitch-hold", outcome_reason::queue_timeout, 0.1);
    metrics.setGauge("gate_limit", 12);
    metrics.addCounter("platform_calls_total", 2);
    metrics.addCounter("platform_calls_total", 1);
    CHECK(has(metrics, R"(cicadamux_call_seconds_bucket{class="pitch-hold",outcome="answered",service="pitchdesk",le="0.004"} 1)"));
    CHECK(has(metrics, R"(cicadamux_calls_total{class="pitch-hold",reason="overloaded",service="pitchdesk"} 1)"));
    CHECK(has(metrics, R"(cicadamux_gate_decisions_total{class="pitch-hold",reason="queue_timeout",service="pitchdesk"} 1)"));
    CHECK(has(metrics, "cicadamux_gate_limit 12"));
    CHECK(has(metrics, "cicadamux_platform_calls_total 3"));
}

TEST_CASE("services beyond the bound are counted under other")
{
    daemon_metrics metrics;
    constexpr int services = 2'000;
    for (int number = 0; number < services; ++number) {
        metrics.recordCall("s" + std::to_string(number), "c", call_outcome::answered, outcome_reason::none, 0.001);
        metrics.setGauge("gauge_" + std::to_string(number), 1);
    }
    const std::string text = metrics.exposition();
    CHECK(has(metrics, R"(cicadamux_calls_total{class="other",reason="none",service="other"} 1488)"));
    CHECK(std::ranges::count(text, '\n') < 20'000);
}

TEST_CASE("threads that count at once lose nothing")
{
    daemon_metrics metrics;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&metrics] {
            for (int number = 0; number < 500; ++number) {
                metrics.recordCall("s" + std::to_string(number % 5), "c", call_outcome::answered, outcome_reason::none, 0.001);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(has(metrics, R"(cicadamux_calls_total{class="c",reason="none",service="s3"} 400)"));
}
