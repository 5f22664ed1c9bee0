/** @file metrics.cpp Metrics of a daemon, exported through prometheus-cpp. */

#include "metrics/metrics_func.h"

#include "metrics/call_series_base.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <functional>
#include <map>
#include <mutex>
#include <sstream>

namespace cicadamux
{

namespace
{
constexpr std::size_t maxMetricsPerKind = 256; ///< Limit for gauges, and for counters; further ones are dropped.
const std::string prefix = "cicadamux_";

/** Metrics of one kind, identified by name alone, without labels. */
template<typename Metric, typename Builder>
class named_metrics
{
public:
    /** @return The metric of this name, created if necessary; null if the limit is reached. */
    Metric *findOrCreate(std::string_view name, const Builder &build, prometheus::Registry &registry)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_metrics.find(name);
        if (found != m_metrics.end()) {
            return found->second;
        }
        if (m_metrics.size() >= maxMetricsPerKind) {
            return nullptr;
        }
        const std::string text(name);
        Metric &created = build().Name(prefix + text).Help("See docs/OPERATIONS.md").Register(registry).Add({});
        m_metrics.emplace(text, &created);
        return &created;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, Metric *, std::less<>> m_metrics;
};

using gauges = named_metrics<prometheus::Gauge, decltype(&prometheus::BuildGauge)>;
using counters = named_metrics<prometheus::Counter, decltype(&prometheus::BuildCounter)>;
} // namespace

struct daemon_metrics::state {
    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    detail::call_series_table series{*registry};
    gauges namedGauges;
    counters namedCounters;
};

daemon_metrics::daemon_metrics()
    : m_state(std::make_unique<state>())
{
}

daemon_metrics::~daemon_metrics() = default;

void daemon_metrics::recordCall(std::string_view service, std::string_view callClass, call_outcome outcome, outcome_reason reason, double seconds)
{
    m_state->series.findOrAdd(service, callClass)->recordCall(outcome, reason, seconds);
}

void daemon_metrics::recordGateDecision(std::string_view service, std::string_view callClass, outcome_reason reason, double waitSeconds)
{
    m_state->series.findOrAdd(service, callClass)->recordGateDecision(reason, waitSeconds);
}

void daemon_metrics::setGauge(std::string_view name, double value)
{
    if (auto *gauge = m_state->namedGauges.findOrCreate(name, prometheus::BuildGauge, *m_state->registry)) {
        gauge->Set(value);
    }
}

void daemon_metrics::addCounter(std::string_view name, double amount)
{
    if (auto *counter = m_state->namedCounters.findOrCreate(name, prometheus::BuildCounter, *m_state->registry)) {
        counter->Increment(amount);
    }
}

std::string daemon_metrics::exposition() const
{
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, m_state->registry->Collect());
    return text.str();
}

} // namespace cicadamux
