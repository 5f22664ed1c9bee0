/** @file peer_type.h Calls and replies exchanged between daemons. */

#pragma once

#include "admission/level_cache_base.h"
#include "request/call_type.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadamux
{

/** A call as it is sent to a gate. */
struct peer_call {
    call_request request;
    call_id attempt; ///< Echoed in the reply.
    incarnation_id homeIncarnation; ///< Incarnation of the receiving daemon; any other refuses the call.
};

/** A gate's reply to a call. */
struct peer_reply {
    call_id attempt;
    call_result result;
    std::vector<received_level> levels; ///< Of this gate, and of other gates as known to its daemon.
    std::uint32_t inUse = 0; ///< Slots in use.
    std::uint32_t waiting = 0; ///< Calls in the queue.
    std::uint32_t limit = 0; ///< Concurrency limit.
};

/** How a message to a peer ended. */
enum class peer_failure : std::uint8_t {
    none,
    not_sent, ///< The message certainly did not leave this host.
    lost ///< The message may have arrived, but there was no valid reply within the time limit.
};

using peer_reply_handler = std::function<void(peer_failure failure, peer_reply reply)>;

/** A message in transit. */
class peer_pending
{
public:
    virtual ~peer_pending() = default;

    /** Cancels the message at both ends; the handler is still called. */
    virtual void cancel() = 0;
};

} // namespace cicadamux
