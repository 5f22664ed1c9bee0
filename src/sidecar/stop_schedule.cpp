/** @file stop_schedule.cpp The steps of a planned stop, in their order and at their time. */

#include "sidecar/stop_schedule_base.h"

#include <algorithm>
#include <utility>

namespace cicadamux
{

namespace
{
constexpr clock_ms readinessNoticeTime{2'500}; ///< After a stop began: time for two readiness checks of the platform, one a second, and a margin.
constexpr clock_ms lateRequestTime{3'000}; ///< After a stop began: later requests come from clients that had time to learn of it.
constexpr clock_ms killMargin{700}; ///< From the end of the open requests until the platform kills the process.
constexpr clock_ms minWriteTime{300}; ///< The least such time, for a process that noticed the signal late.
constexpr clock_ms lastSixthMargin{50}; ///< After the start of the last sixth of the grace time, in which the platform lets requests be ended.
constexpr clock_ms exitMargin{200}; ///< From the end of the process, if all is written, until the platform would kill it.
constexpr clock_ms lastAnswerTime{200}; ///< Before the end of the open requests: time to write the last answers.
constexpr std::uint32_t linkLingerTurns = 6; ///< In which peers may close their links after the last message.
constexpr std::uint32_t lateLingerTurns = 2; ///< The same at the end of the time.
constexpr std::uint32_t minWriteTurns = 10; ///< After the end of the requests, for answers that their clients don't read.

/** @return Earliest time after the signal at which requests may be ended. */
clock_ms lastSixthOf(clock_ms grace)
{
    return grace - clock_ms{grace.count / 6} + std::min(lastSixthMargin, clock_ms{grace.count / 24});
}

clock_ms minWriteTimeOf(clock_ms grace)
{
    return std::min(minWriteTime, clock_ms{grace.count / 12});
}
} // namespace

stop_schedule::stop_schedule(clock_ms since, clock_ms unnoticed, clock_ms grace)
    : m_since(since)
    , m_end(std::min(since + std::max(grace - killMargin, lastSixthOf(grace)), since + grace - unnoticed - minWriteTimeOf(grace)))
    , m_endBlocking(std::min(m_end, since + lastSixthOf(grace)))
    , m_exit(std::max(m_end, since + grace - unnoticed - exitMargin))
    , m_kill(since + grace)
{
}

void stop_schedule::bringForward(clock_ms uncounted)
{
    for (clock_ms *instant : {&m_since, &m_end, &m_endBlocking, &m_exit, &m_kill}) {
        *instant = *instant - uncounted;
    }
}

stop_step stop_schedule::next(clock_ms now, const open_work &open)
{
    const stop_step step = m_hasEnded ? stop_step::wait : dueStep(now, open);
    if (step == stop_step::wait) {
        m_turnsSinceEnd += m_hasEndedRequests ? 1 : 0;
        m_turnsSinceFinish += m_hasFinishedLinks ? 1 : 0;
    }
    return step;
}

stop_step stop_schedule::dueStep(clock_ms now, const open_work &open)
{
    if ((elapsed(now) >= readinessNoticeTime || now >= m_end) && !std::exchange(m_closesConnections, true)) {
        return stop_step::close_connections;
    }
    if (now >= m_endBlocking && !std::exchange(m_hasEndedBlocking, true)) {
        return stop_step::end_blocking;
    }
    if (now >= m_end && !std::exchange(m_hasEndedRequests, true)) {
        return stop_step::end_requests;
    }
    if ((isIdle(open) || now >= m_exit) && !std::exchange(m_hasFinishedLinks, true)) {
        return stop_step::finish_links;
    }
    m_hasEnded = mayEnd(now, open);
    return m_hasEnded ? stop_step::end_process : stop_step::wait;
}

/** @return Whether nothing is left but links. */
bool stop_schedule::isIdle(const open_work &open) const
{
    return m_closesConnections && open.requests == 0 && open.calls == 0 && open.connections == 0;
}

/** An answer that is being written, or that waits behind one, outweighs the end in time: the platform kills the process anyway. */
bool stop_schedule::mayEnd(clock_ms now, const open_work &open) const
{
    if (!m_hasFinishedLinks || (!isIdle(open) && now < m_exit)) {
        return false;
    }
    if (open.answers > 0 || open.linkBytes > 0) {
        return now >= m_kill && m_turnsSinceEnd >= minWriteTurns;
    }
    return open.links == 0 || m_turnsSinceFinish >= (now < m_exit ? linkLingerTurns : lateLingerTurns);
}

clock_ms stop_schedule::end() const
{
    return m_end;
}

clock_ms stop_schedule::elapsed(clock_ms now) const
{
    return now - m_since;
}

bool stop_schedule::wouldBeCutOff(clock_ms now, clock_ms limit) const
{
    return (elapsed(now) >= lateRequestTime || now >= m_end) && limit + lastAnswerTime > m_end;
}

std::string_view toString(stop_step step)
{
    switch (step) {
    case stop_step::wait:
        return "wait";
    case stop_step::close_connections:
        return "close_connections";
    case stop_step::end_blocking:
        return "end_blocking";
    case stop_step::end_requests:
        return "end_requests";
    case stop_step::finish_links:
        return "finish_links";
    case stop_step::end_process:
        return "end_process";
    }
    return "unknown";
}

} // namespace cicadamux
