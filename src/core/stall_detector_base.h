/** @file stall_detector_base.h Detects that this process or its host was suspended. */

#pragma once

#include "core/clock_type.h"

#include <functional>

namespace cicadamux
{

/** A time in which the process did not run. */
struct stall {
    clock_ms length;
    clock_ms uncounted; ///< Part of it that the steady clock has not counted, so that deadlines computed before it are late by this much.
};

/**
 * Compares the clock that counts the time of a suspended host with the last time at which the process ran. Call check()
 * periodically, and before any action that relies on a deadline or permission given earlier. Not thread-safe.
 */
class stall_detector
{
public:
    using stall_hook = std::function<void(const stall &found)>;

    /** @param bootClock Advances also while the host is suspended. */
    stall_detector(clock_source bootClock, clock_source steadyClock);

    /** Sets the function that is called by check() after a stall. */
    void onStall(stall_hook hook);

    /** Calls the hook if the process did not run for longer than an event loop ever takes. @return Whether it was called. */
    bool check();

    /** Like check(); also records that the process runs. To be called several times a second. */
    void tick();

    /** @return Greatest time for which a message that is read now may have waited unread; 0 unless a stall has just ended. */
    clock_ms maxUnreadTime() const;

private:
    clock_source m_bootClock;
    clock_source m_steadyClock;
    stall_hook m_hook;
    clock_ms m_lastBoot; ///< At the last tick or stall.
    clock_ms m_lastSteady;
    clock_ms m_lastLength; ///< Of the last stall.
    clock_ms m_suspectUntil; ///< Steady instant until which messages may be from before the end of the last stall.
};

/** Reads the clock that also advances while the host is suspended. */
clock_ms bootNow();

} // namespace cicadamux
