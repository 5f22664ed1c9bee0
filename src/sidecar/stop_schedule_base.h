/** @file stop_schedule_base.h The steps of a planned stop, in their order and at their time. */

#pragma once

#include "core/clock_type.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cicadamux
{

/** What a process that stops has open. */
struct open_work {
    std::size_t requests = 0; ///< Of clients and of the backend server, without an answer.
    std::size_t calls = 0; ///< At the gate, without a reply.
    std::size_t answers = 0; ///< To clients and the backend server, ready and not wholly handed to the system.
    std::size_t connections = 0; ///< Of clients and of the backend server.
    std::size_t links = 0; ///< From other hosts.
    std::size_t linkBytes = 0; ///< Queued on these links.
};

enum class stop_step : std::uint8_t {
    wait, ///< Nothing is due.
    close_connections, ///< Connections close after their next answer.
    end_blocking, ///< Open requests fail that hold back ready answers on their connections.
    end_requests, ///< All open requests fail.
    finish_links, ///< Links send nothing after what is queued.
    end_process
};

/** Decides which step of a planned stop is due. Has no clock of its own; used by one thread. */
class stop_schedule
{
public:
    /**
     * @param since When the process noticed the signal.
     * @param unnoticed Greatest time for which the signal may have waited until then.
     * @param grace Time from the signal until the platform kills the process.
     */
    stop_schedule(clock_ms since, clock_ms unnoticed, clock_ms grace);

    /** @return The step to take now; each is returned once. To be called in each turn of 50 ms until it returns `wait`. */
    stop_step next(clock_ms now, const open_work &open);

    /** Takes all steps earlier by a time that the caller's clock has not counted. */
    void bringForward(clock_ms uncounted);

    /** @return When the requests that are still open are ended. */
    clock_ms end() const;

    /** @return Time since the process noticed the signal. */
    clock_ms elapsed(clock_ms now) const;

    /** @return Whether a request that arrives now is late in the stop and, with this time limit, could still be open at the end. */
    bool wouldBeCutOff(clock_ms now, clock_ms limit) const;

private:
    stop_step dueStep(clock_ms now, const open_work &open);
    bool isIdle(const open_work &open) const;
    bool mayEnd(clock_ms now, const open_work &open) const;

    clock_ms m_since;
    clock_ms m_end;
    clock_ms m_endBlocking; ///< When the requests end that hold back ready answers.
    clock_ms m_exit; ///< The process ends once all that is ready is written.
    clock_ms m_kill; ///< The platform has surely killed the process.
    bool m_closesConnections = false;
    bool m_hasEndedBlocking = false;
    bool m_hasEndedRequests = false;
    bool m_hasFinishedLinks = false;
    bool m_hasEnded = false;
    std::uint32_t m_turnsSinceEnd = 0; ///< Since the requests were ended. Turns rather than time, since a process that doesn't run writes nothing.
    std::uint32_t m_turnsSinceFinish = 0; ///< Since the links were finished.
};

/** @return The name of a step, for logs. */
std::string_view toString(stop_step step);

} // namespace cicadamux
