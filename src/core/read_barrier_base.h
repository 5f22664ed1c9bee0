/** @file read_barrier_base.h Holds back work after a stall until the event loop has read what had come. */

#pragma once

#include "core/clock_type.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace cicadamux
{

/**
 * After a stall an event loop takes one read of each socket, then all timers that have expired. A timer would fail a
 * request whose answer the system has received and that needs a second read. Work that passes this barrier waits while
 * the event loop goes on reading, for a bounded time. Only used by the thread that runs the event loop.
 */
class read_barrier
{
public:
    explicit read_barrier(boost::asio::io_context &context, clock_source clock = steadyNow);

    /** Notes that the process runs. To be called periodically, every 50 ms. */
    void tick();

    /** Begins to hold back work; for a stall that the clock doesn't show. */
    void noticeStall(clock_ms length);

    /** Calls the function at once, or after a stall once the event loop has read. */
    void pass(std::function<void()> work);

    /** Drops the work that is held back. */
    void cancel();

private:
    struct state;

    void checkGap();
    static void takeTurn(const std::shared_ptr<state> &barrier);
    static void turnTaken(const std::shared_ptr<state> &barrier);
    static void release(const std::shared_ptr<state> &barrier);

    std::shared_ptr<state> m_state;
};

} // namespace cicadamux
