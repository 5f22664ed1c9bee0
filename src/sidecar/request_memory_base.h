/** @file request_memory_base.h A sidecar's bounded memory of the requests that it didn't answer well, for operators. */

#pragma once

#include "core/clock_type.h"
#include "link/link_type.h"
#include "request/outcome_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/** One decision on a request, with what was known when it was made. */
struct remembered_request {
    clock_ms at; ///< Wall clock, milliseconds since the Unix epoch.
    bool atGate = false; ///< Decided beside the backend server, not where the request came in.
    std::string requestId;
    std::string route;
    std::string service;
    call_outcome outcome = call_outcome::unknown;
    outcome_reason reason = outcome_reason::none; ///< `none`: the backend server's own failure.
    unsigned status = 0; ///< Given to the caller; 0 at a gate, or if the caller had left.
    std::string tried; ///< Hosts that it was sent to, in order, with commas; at a gate the server's incarnation.
    clock_ms held; ///< Time between arrival and decision.
    std::uint64_t configuration = 0; ///< Version in force.
};

/** The oldest make room for new ones. Not thread-safe. */
class request_memory
{
public:
    explicit request_memory(std::size_t capacity);

    void note(remembered_request request);

    /** @return What is remembered of a request, the oldest first. */
    std::vector<remembered_request> find(std::string_view requestId) const;

    /** @return Wall clock from which on everything is remembered; nothing has been forgotten yet if it is 0. */
    clock_ms since() const;

private:
    std::size_t m_capacity;
    std::deque<remembered_request> m_requests;
    clock_ms m_forgottenUntil;
};

} // namespace cicadamux
