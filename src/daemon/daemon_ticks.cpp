/** @file daemon_ticks.cpp Periodic tasks of a daemon. */

#include "core/invariant_func.h"
#include "core/log_func.h"
#include "daemon/daemon_base.h"

namespace cicadamux
{

namespace
{
constexpr std::int64_t gatePeriod = 5; ///< Milliseconds.
constexpr std::int64_t housekeepingPeriod = 100; ///< Milliseconds.
constexpr std::int64_t maxWaitForPeers = 2'000; ///< Milliseconds after which a daemon that has found no other member opens its edge listener.
} // namespace

void daemon_process::gateTick()
{
    if (m_stopped) {
        return;
    }
    m_gate.tick(steadyNow());
    m_gateTimer.expires_after(std::chrono::milliseconds(gatePeriod));
    m_gateTimer.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            gateTick();
        }
    });
}

void daemon_process::housekeepingTick()
{
    if (m_stopped) {
        return;
    }
    const clock_ms now = steadyNow();
    m_backend.tick(now);
    m_core.tickets.tick(wallNow());
    m_core.peers.closeIdleChannels(now);
    openEdgeIfReady(now);
    m_housekeepingTimer.expires_after(std::chrono::milliseconds(housekeepingPeriod));
    m_housekeepingTimer.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            housekeepingTick();
        }
    });
}

void daemon_process::openEdgeIfReady(clock_ms now)
{
    const bool knowsPeers = m_fleet->view()->size() > 1 || now - m_startedAt >= clock_ms{maxWaitForPeers};
    if (m_edge && !m_edgeOpen && isReady() && knowsPeers) {
        m_edgeOpen = true;
        m_edge->open();
        logEvent(log_level::info, "edge_open", {{"members", static_cast<std::uint64_t>(m_fleet->view()->size())}});
    }
}

void daemon_process::updateGauges(clock_ms now)
{
    const gate_snapshot gate = m_gate.snapshot(now);
    m_core.metrics.setGauge("gate_limit", gate.limit);
    m_core.metrics.setGauge("gate_in_use", gate.inUse);
    m_core.metrics.setGauge("gate_waiting", gate.waiting);
    m_core.metrics.setGauge("gate_level_rank", gate.level.rank.value);
    m_core.metrics.setGauge("gate_level_sub", gate.level.subLevel);
    m_core.metrics.setGauge("calls_held", static_cast<double>(m_core.activeCalls.size()));
    m_core.metrics.setGauge("members", static_cast<double>(m_fleet->view()->size()));
    const fleet_counters counters = m_fleet->counters();
    m_core.metrics.setGauge("gossip_bytes_sent", static_cast<double>(counters.gossipBytesSent));
    m_core.metrics.setGauge("gossip_bytes_received", static_cast<double>(counters.gossipBytesReceived));
    m_core.metrics.setGauge("exchange_bytes_sent", static_cast<double>(counters.exchangeBytesSent));
    m_core.metrics.setGauge("exchange_bytes_received", static_cast<double>(counters.exchangeBytesReceived));
    m_core.metrics.setGauge("exchanges", static_cast<double>(counters.exchanges));
    m_core.metrics.setGauge("platform_calls", static_cast<double>(counters.platformCalls));
    double generations = 0;
    for (const object_generation &object : m_fleet->config().generations()) {
        generations += static_cast<double>(object.generation);
    }
    m_core.metrics.setGauge("generations_in_force_sum", generations);
    m_core.metrics.setGauge("stale_offers", static_cast<double>(counters.staleOffers));
    for (std::size_t index = 0; index < static_cast<std::size_t>(invariant::count); ++index) {
        const auto which = static_cast<invariant>(index);
        m_core.metrics.setGauge("violations_" + std::string(toString(which)), static_cast<double>(invariantViolations(which)));
    }
}

} // namespace cicadamux
