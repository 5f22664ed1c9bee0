/** @file gate_type.h Input and output types of the gate. */

#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"
#include "request/outcome_type.h"

#include <cstdint>
#include <string>

namespace cicadamux
{

/** Number of sub-levels in a rank; the sub-level of a root is a hash of its id. */
constexpr std::uint16_t subLevelCount = 1024;

/** A call submitted to the gate. */
struct gate_call {
    call_id call; ///< Unique among the calls of this daemon.
    root_id root;
    rank_id rank;
    std::string callClass; ///< The classes of one rank share its slots evenly.
    bool isProtected = false; ///< Whether the rank has strict priority.
    std::uint8_t depth = 0; ///< Depth in the call tree; deeper calls have more work invested and go first in their rank and class.
    clock_ms deadline; ///< Point in time on the gate's clock.
    bool lateOk = false; ///< The deadline only orders the call; it isn't refused after it.
};

/** How the work for an admitted call ended. */
enum class work_end : std::uint8_t {
    answered, ///< The complete answer was received.
    failed, ///< The backend server answered with an error, or broke the connection while alive.
    shed, ///< The backend server refused the call as overloaded.
    cancelled, ///< The backend server acknowledged the cancellation.
    not_sent, ///< Admitted, but no byte was sent.
    server_gone ///< The backend server is gone, and the call with it.
};

/** Decision on one call. */
struct gate_decision {
    call_id call;
    bool admitted = false;
    outcome_reason reason = outcome_reason::none; ///< `none` if admitted.
    int rankAdmitted = noRankAdmitted; ///< Least urgent rank admitted at the time of the decision.
    clock_ms waited; ///< Time spent in the queue.
};

/** Admission level of a gate; piggybacked on answers. */
struct gate_level {
    rank_id rank; ///< Least urgent rank that is admitted at least in part; more urgent ranks are fully admitted.
    std::uint16_t subLevel = subLevelCount; ///< Of that rank, roots with a lower sub-level are admitted.
};

/** State of a gate, for metrics, operators and routing. */
struct gate_snapshot {
    std::uint32_t limit = 0; ///< Adaptive concurrency limit.
    std::uint32_t inUse = 0; ///< Slots in use.
    std::uint32_t waiting = 0; ///< Calls in the queue.
    gate_level level;
    std::string limitReason; ///< Why the limit last changed, such as `latency_rose`.
    clock_ms limitMovedAt; ///< When the limit last changed.
};

/** @return The sub-level of a root, the same in every daemon, 0 to subLevelCount - 1. */
std::uint16_t subLevelOf(root_id root);

} // namespace cicadamux
