/** @file stall_detector.cpp Detects that this process or its host was suspended. */

#include "core/stall_detector_base.h"

#include <algorithm>
#include <ctime>

namespace cicadamux
{

namespace
{
constexpr clock_ms stallLimit{1'200}; ///< The event loop never takes this long on its own.
constexpr clock_ms unreadTime{100}; ///< After a stall; covers the messages that had been queued before its end.
} // namespace

stall_detector::stall_detector(clock_source bootClock, clock_source steadyClock)
    : m_bootClock(std::move(bootClock))
    , m_steadyClock(std::move(steadyClock))
    , m_lastBoot(m_bootClock())
    , m_lastSteady(m_steadyClock())
{
}

void stall_detector::onStall(stall_hook hook)
{
    m_hook = std::move(hook);
}

bool stall_detector::check()
{
    const clock_ms boot = m_bootClock();
    const clock_ms length = boot - m_lastBoot;
    if (length < stallLimit) {
        return false;
    }
    const clock_ms steady = m_steadyClock();
    const stall found{length, std::max(clock_ms{}, length - (steady - m_lastSteady))};
    m_lastBoot = boot;
    m_lastSteady = steady;
    m_lastLength = length;
    m_suspectUntil = steady + unreadTime;
    if (m_hook) {
        m_hook(found);
    }
    return true;
}

void stall_detector::tick()
{
    check();
    m_lastBoot = m_bootClock();
    m_lastSteady = m_steadyClock();
}

clock_ms stall_detector::maxUnreadTime() const
{
    return m_steadyClock() < m_suspectUntil ? m_lastLength : clock_ms{};
}

clock_ms bootNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    constexpr std::int64_t second = 1'000; // Milliseconds.
    constexpr std::int64_t nanoseconds = 1'000'000; // In a millisecond.
    return {now.tv_sec * second + now.tv_nsec / nanoseconds};
}

} // namespace cicadamux
