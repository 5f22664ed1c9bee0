/** @file call_series_base.h Metrics per service and call class, looked up without locks. */

#pragma once

#include "core/rcu_type.h"
#include "request/outcome_type.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace cicadamux::detail
{

constexpr std::size_t maxSeries = 512; ///< Pairs of service and class; further pairs are counted as service `other`, class `other`.

/** The metric families of all series. */
struct call_families {
    explicit call_families(prometheus::Registry &registry);

    prometheus::Family<prometheus::Histogram> &callSeconds;
    prometheus::Family<prometheus::Counter> &calls;
    prometheus::Family<prometheus::Histogram> &gateWaitSeconds;
    prometheus::Family<prometheus::Counter> &gateDecisions;
};

/** Metrics of one service and class; each is created on first use. Thread-safe. */
class call_series
{
public:
    call_series(call_families &families, prometheus::Labels labels);

    void recordCall(call_outcome outcome, outcome_reason reason, double seconds);
    void recordGateDecision(outcome_reason reason, double waitSeconds);

private:
    static constexpr std::size_t outcomeCount = 3;
    static constexpr std::size_t reasonCount = static_cast<std::size_t>(outcome_reason::count);

    prometheus::Labels labelsWith(const std::string &name, std::string_view value) const;

    call_families &m_families;
    const prometheus::Labels m_labels;
    std::array<std::atomic<prometheus::Histogram *>, outcomeCount> m_callSeconds{};
    std::array<std::atomic<prometheus::Counter *>, reasonCount> m_calls{};
    std::atomic<prometheus::Histogram *> m_gateWaitSeconds{nullptr};
    std::array<std::atomic<prometheus::Counter *>, reasonCount> m_gateDecisions{};
};

/** All series of a daemon. Thread-safe; readers use an RCU snapshot. */
class call_series_table
{
public:
    explicit call_series_table(prometheus::Registry &registry);

    /** @return The series of a service and class, added if necessary; the shared series `other` once the limit is reached. */
    std::shared_ptr<call_series> findOrAdd(std::string_view service, std::string_view callClass);

private:
    using series_key = std::pair<std::string, std::string>;
    using series_map = std::map<series_key, std::shared_ptr<call_series>>;

    std::shared_ptr<call_series> add(const series_key &key);

    call_families m_families;
    std::shared_ptr<call_series> m_other;
    std::mutex m_mutex; ///< Serializes add().
    rcu_snapshot<series_map> m_series;
};

} // namespace cicadamux::detail
