/** @file metrics_func.h Metrics of a daemon, exported through prometheus-cpp. */

#pragma once

#include "request/outcome_type.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cicadamux
{

/** The daemon's metrics. Thread-safe. Labels come from policies, so their number is limited; others are counted under `other`. */
class daemon_metrics
{
public:
    daemon_metrics();
    ~daemon_metrics();
    daemon_metrics(const daemon_metrics &) = delete;
    daemon_metrics &operator=(const daemon_metrics &) = delete;

    /** Counts a call that ended at an edge or local listener, in the histogram of its class and service. */
    void recordCall(std::string_view service, std::string_view callClass, call_outcome outcome, outcome_reason reason, double seconds);

    /** Counts a decision of the gate and the queueing time before it, by service and class. */
    void recordGateDecision(std::string_view service, std::string_view callClass, outcome_reason reason, double waitSeconds);

    /** Sets a gauge such as `gate_limit` or `members_alive`. */
    void setGauge(std::string_view name, double value);

    /** Adds to a counter such as `platform_calls_total` or `gossip_bytes_sent_total`. */
    void addCounter(std::string_view name, double amount);

    /** @return All metrics in the Prometheus text exposition format. */
    std::string exposition() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
