/** @file read_barrier.cpp Holds back work after a stall until the event loop has read what had come. */

#include "core/read_barrier_base.h"

#include "core/log_func.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <utility>

namespace cicadamux
{

namespace
{
constexpr clock_ms stallGap{100}; ///< Time since the last tick that shows that the process didn't run.
constexpr clock_ms maxReadTime{50}; ///< Greatest time for which work is held back.
constexpr std::uint32_t maxReadTurns = 256; ///< The same in turns of the event loop; each turn reads each socket once.
} // namespace

struct read_barrier::state {
    state(boost::asio::io_context &context, clock_source clockSource)
        : timer(context)
        , clock(std::move(clockSource))
        , lastTick(clock())
    {
    }

    boost::asio::steady_timer timer; ///< Ends a turn of the event loop.
    const clock_source clock;
    clock_ms lastTick;
    std::deque<std::function<void()>> held;
    bool isHolding = false;
    clock_ms stallLength; ///< Of the last stall.
    clock_ms holdUntil;
    std::uint32_t turns = 0; ///< Since it has begun to hold back work.
};

read_barrier::read_barrier(boost::asio::io_context &context, clock_source clock)
    : m_state(std::make_shared<state>(context, std::move(clock)))
{
}

void read_barrier::tick()
{
    checkGap();
    m_state->lastTick = m_state->clock();
}

void read_barrier::checkGap()
{
    const clock_ms gap = m_state->clock() - m_state->lastTick;
    if (gap >= stallGap) {
        noticeStall(gap);
    }
}

void read_barrier::noticeStall(clock_ms length)
{
    if (m_state->isHolding) {
        return;
    }
    m_state->isHolding = true;
    m_state->stallLength = length;
    m_state->holdUntil = m_state->clock() + maxReadTime;
    m_state->turns = 0;
    takeTurn(m_state);
}

void read_barrier::pass(std::function<void()> work)
{
    checkGap();
    if (m_state->isHolding) {
        m_state->held.push_back(std::move(work));
    } else {
        work();
    }
}

void read_barrier::cancel()
{
    m_state->held.clear();
    m_state->timer.cancel();
    m_state->isHolding = false;
}

void read_barrier::takeTurn(const std::shared_ptr<state> &barrier)
{
    barrier->timer.expires_after(std::chrono::milliseconds(0));
    barrier->timer.async_wait([weak = std::weak_ptr(barrier)](boost::system::error_code cancelled) {
        const auto locked = weak.lock();
        if (!cancelled && locked) {
            turnTaken(locked);
        }
    });
}

void read_barrier::turnTaken(const std::shared_ptr<state> &barrier)
{
    if (barrier->clock() < barrier->holdUntil && barrier->turns < maxReadTurns) {
        ++barrier->turns;
        takeTurn(barrier);
    } else {
        if (!barrier->held.empty()) {
            logEvent(log_level::info,
                     "stall_read",
                     {{"for_ms", barrier->stallLength.count}, {"turns", barrier->turns}, {"held", static_cast<std::uint64_t>(barrier->held.size())}});
        }
        release(barrier);
    }
}

void read_barrier::release(const std::shared_ptr<state> &barrier)
{
    while (!barrier->held.empty()) {
        const auto work = std::move(barrier->held.front());
        barrier->held.pop_front();
        try {
            work();
        } catch (...) {
            takeTurn(barrier); // Releases the rest.
            throw;
        }
    }
    barrier->isHolding = false;
}

} // namespace cicadamux
