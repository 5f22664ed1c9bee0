/** @file call_series.cpp Metrics per service and call class. */

#include "metrics/call_series_base.h"

namespace cicadamux::detail
{

namespace
{
const prometheus::Histogram::BucketBoundaries bucketsInSeconds
    = {0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1, 2, 4, 8, 16, 60};

prometheus::Labels makeLabels(std::string_view service, std::string_view callClass)
{
    return {{"service", std::string(service)}, {"class", std::string(callClass)}};
}

/**
 * Loads a cached metric, or adds it to its family with the labels returned by `makeLabels`.
 * If two threads add it concurrently, both get the same metric, as Family::Add() returns an existing one.
 */
template<typename Metric, typename MakeLabels, typename... Arguments>
Metric &loadOrAdd(std::atomic<Metric *> &slot, prometheus::Family<Metric> &family, const MakeLabels &makeLabels, const Arguments &...arguments)
{
    Metric *found = slot.load(std::memory_order_acquire);
    if (found == nullptr) {
        found = &family.Add(makeLabels(), arguments...);
        slot.store(found, std::memory_order_release);
    }
    return *found;
}
} // namespace

call_families::call_families(prometheus::Registry &registry)
    : callSeconds(prometheus::BuildHistogram().Name("cicadamux_call_seconds").Help("Time of a call from its arrival here to its end").Register(registry))
    , calls(prometheus::BuildCounter().Name("cicadamux_calls_total").Help("Calls that ended here, by reason; none: answered").Register(registry))
    , gateWaitSeconds(prometheus::BuildHistogram().Name("cicadamux_gate_wait_seconds").Help("Time in the gate's queue until the decision").Register(registry))
    , gateDecisions(
          prometheus::BuildCounter().Name("cicadamux_gate_decisions_total").Help("Decisions of the gate, by reason; none: admitted").Register(registry))
{
}

call_series::call_series(call_families &families, prometheus::Labels labels)
    : m_families(families)
    , m_labels(std::move(labels))
{
}

void call_series::recordCall(call_outcome outcome, outcome_reason reason, double seconds)
{
    const auto byOutcome = [this, outcome] {
        return labelsWith("outcome", toString(outcome));
    };
    loadOrAdd(m_callSeconds.at(static_cast<std::size_t>(outcome)), m_families.callSeconds, byOutcome, bucketsInSeconds).Observe(seconds);
    const auto byReason = [this, reason] {
        return labelsWith("reason", toString(reason));
    };
    loadOrAdd(m_calls.at(static_cast<std::size_t>(reason)), m_families.calls, byReason).Increment();
}

void call_series::recordGateDecision(outcome_reason reason, double waitSeconds)
{
    const auto baseLabels = [this] {
        return m_labels;
    };
    loadOrAdd(m_gateWaitSeconds, m_families.gateWaitSeconds, baseLabels, bucketsInSeconds).Observe(waitSeconds);
    const auto byReason = [this, reason] {
        return labelsWith("reason", toString(reason));
    };
    loadOrAdd(m_gateDecisions.at(static_cast<std::size_t>(reason)), m_families.gateDecisions, byReason).Increment();
}

prometheus::Labels call_series::labelsWith(const std::string &name, std::string_view value) const
{
    prometheus::Labels labels = m_labels;
    labels.emplace(name, value);
    return labels;
}

call_series_table::call_series_table(prometheus::Registry &registry)
    : m_families(registry)
    , m_other(std::make_shared<call_series>(m_families, makeLabels("other", "other")))
{
}

std::shared_ptr<call_series> call_series_table::findOrAdd(std::string_view service, std::string_view callClass)
{
    series_key key{service, callClass};
    const auto snapshot = m_series.load();
    const auto found = snapshot->find(key);
    if (found != snapshot->end()) {
        return found->second;
    }
    return snapshot->size() >= maxSeries ? m_other : add(key);
}

std::shared_ptr<call_series> call_series_table::add(const series_key &key)
{
    const std::lock_guard lock(m_mutex);
    auto changed = std::make_shared<series_map>(*m_series.load());
    if (changed->size() >= maxSeries && !changed->contains(key)) {
        return m_other;
    }
    auto &slot = (*changed)[key];
    if (!slot) {
        slot = std::make_shared<call_series>(m_families, makeLabels(key.first, key.second));
    }
    std::shared_ptr<call_series> added = slot;
    m_series.publish(std::move(changed));
    return added;
}

} // namespace cicadamux::detail
