/** @file upstream_load.cpp Load estimate as in Prequal (NSDI 2024): requests in flight as last reported, corrected by own calls since then. */

#include "routing/upstream_load_base.h"

#include <algorithm>

namespace cicadamux::detail
{

namespace
{
constexpr clock_ms maxNoRoom{2'000}; ///< A server that states a very low rate is tried again after this, since it may have recovered.
} // namespace

void upstream_load::addCall()
{
    m_inFlight.fetch_add(1, std::memory_order_relaxed);
}

void upstream_load::removeCall()
{
    std::uint32_t current = m_inFlight.load(std::memory_order_relaxed);
    while (current > 0 && !m_inFlight.compare_exchange_weak(current, current - 1, std::memory_order_relaxed)) { }
}

void upstream_load::recordReport(const upstream_report &report, clock_ms now)
{
    m_inUse.store(report.inUse, std::memory_order_relaxed);
    m_waiting.store(report.waiting, std::memory_order_relaxed);
    m_limit.store(report.limit, std::memory_order_relaxed);
    m_inFlightAtReport.store(inFlight(), std::memory_order_relaxed);
    m_noRoomUntil.store((now + std::min(report.noRoomFor, maxNoRoom)).count, std::memory_order_relaxed);
    m_reportedAt.store(now.count, std::memory_order_relaxed);
}

void upstream_load::clearReport()
{
    m_reportedAt.store(INT64_MIN / 2, std::memory_order_relaxed);
    m_noRoomUntil.store(INT64_MIN / 2, std::memory_order_relaxed);
}

std::uint32_t upstream_load::inFlight() const
{
    return m_inFlight.load(std::memory_order_relaxed);
}

load_estimate upstream_load::estimate(std::uint32_t slots, clock_ms now) const
{
    const std::uint32_t ownCalls = inFlight();
    const clock_ms age = now - clock_ms{m_reportedAt.load(std::memory_order_relaxed)};
    const std::uint32_t limit = m_limit.load(std::memory_order_relaxed);
    const bool hasNoRoom = now.count < m_noRoomUntil.load(std::memory_order_relaxed);
    if (age > loadReportLifetime || limit == 0) {
        return {(ownCalls + 1.0) / std::max(slots, 1U), hasNoRoom};
    }
    const std::uint32_t waiting = m_waiting.load(std::memory_order_relaxed);
    const std::int64_t sinceReport = std::int64_t{ownCalls} - m_inFlightAtReport.load(std::memory_order_relaxed);
    const std::int64_t reported = std::int64_t{m_inUse.load(std::memory_order_relaxed)} + waiting;
    const std::int64_t busy = std::max<std::int64_t>(reported + sinceReport, ownCalls);
    return {(static_cast<double>(busy) + 1.0) / limit, hasNoRoom || (waiting > 0 && busy >= limit)};
}

} // namespace cicadamux::detail
