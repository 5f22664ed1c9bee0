/** @file gate_type.h What goes into a gate's decision and what comes out. */

#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"
#include "request/outcome_type.h"

#include <cstdint>
#include <string>

namespace cicadamux
{

/** Sub-levels inside a rank; a root's sub-level is a hash of its id. */
constexpr std::uint16_t subLevelCount = 1024;

/** What a call brings to the gate. */
struct gate_call {
    call_id call; ///< Unique among the calls of this daemon.
    root_id root;
    rank_id rank;
    std::string callClass; ///< Classes of one rank share it fairly.
    bool isProtected = false; ///< Whether the rank is protected.
    std::uint8_t depth = 0; ///< Deeper calls have more work invested and go first inside their rank and class.
    clock_ms deadline; ///< Instant on the gate's clock.
    bool lateOk = false; ///< The deadline orders the call, but doesn't drop it.
};

/** How the work for an admitted call ended. */
enum class work_end : std::uint8_t {
    answered, ///< The whole answer is there.
    failed, ///< The backend server answered with an error, or broke the connection while alive.
    shed, ///< The backend server shed it.
    cancelled, ///< The backend server acknowledged the cancellation.
    not_sent, ///< Admitted, but no byte was sent.
    server_gone ///< The backend server is gone, and its work with it.
};

/** What the gate decided on one call. */
struct gate_decision {
    call_id call;
    bool admitted = false;
    outcome_reason reason = outcome_reason::none; ///< `none` if admitted.
    int rankAdmitted = noRankAdmitted; ///< Least urgent rank admitted at that moment.
    clock_ms waited; ///< Time spent in the queue.
};

/** What a gate admits at a moment; piggybacked on answers. */
struct gate_level {
    rank_id rank; ///< Least urgent rank of which anything is admitted; more urgent ranks are admitted whole.
    std::uint16_t subLevel = subLevelCount; ///< Of that rank, roots with a lower sub-level are admitted.
};

/** State of a gate, for metrics, operators and routing. */
struct gate_snapshot {
    std::uint32_t limit = 0; ///< Learnt concurrency limit.
    std::uint32_t inUse = 0; ///< Slots in use.
    std::uint32_t waiting = 0; ///< Calls in the queue.
    gate_level level;
    std::string limitReason; ///< Why the limit last moved, such as `latency_rose`.
    clock_ms limitMovedAt; ///< When the limit last moved.
};

/** @return The sub-level of a root, the same in every daemon, 0 to subLevelCount - 1. */
std::uint16_t subLevelOf(root_id root);

} // namespace cicadamux
