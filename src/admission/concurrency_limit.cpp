/** @file concurrency_limit.cpp How many calls a backend server is given at a time. */

#include "admission/concurrency_limit_base.h"

#include <algorithm>

namespace cicadamux::detail {

concurrency_limit::concurrency_limit(const gate_settings &settings)
    : m_min(std::max(1U, settings.minLimit))
    , m_max(std::max(m_min, settings.maxLimit))
    , m_bound(m_max)
    , m_initial(std::clamp(settings.initialLimit, m_min, m_max))
    , m_current(m_initial)
{
}

void concurrency_limit::setAnnounced(std::uint32_t slots, clock_ms now)
{
    m_bound = slots == 0 ? m_max : std::clamp(slots, m_min, m_max);
    move(slots == 0 ? m_initial : m_bound, "announced", now);
}

void concurrency_limit::started(std::uint32_t /*inUse*/, clock_ms /*now*/) { }

void concurrency_limit::ended(work_end end, clock_ms /*admittedAt*/, std::uint32_t inUse, clock_ms now)
{
    if (end == work_end::shed) {
        move(std::clamp(inUse, m_min, m_bound), "shed", now);
    } else if (end == work_end::answered && inUse + 1 >= m_current) {
        move(std::min(m_bound, m_current + 1), "saturated", now);
    }
}

void concurrency_limit::advance(std::uint32_t /*inUse*/, clock_ms /*now*/) { }

std::uint32_t concurrency_limit::current() const
{
    return m_current;
}

std::string_view concurrency_limit::reason() const
{
    return m_reason;
}

clock_ms concurrency_limit::movedAt() const
{
    return m_movedAt;
}

void concurrency_limit::move(std::uint32_t limit, std::string_view reason, clock_ms now)
{
    if (limit == m_current) {
        return;
    }
    m_current = limit;
    m_reason = reason;
    m_movedAt = now;
}

} // namespace cicadamux::detail
