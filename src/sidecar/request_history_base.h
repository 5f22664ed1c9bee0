/** @file request_history_base.h Bounded history of failed and refused requests, for operator queries. */

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

/** How a request ended at this host, and why. */
struct request_record {
    clock_ms at; ///< Wall clock, milliseconds since the Unix epoch.
    bool atGate = false; ///< Decided by the gate of the backend server's host; otherwise by the host that received the request.
    std::string requestId;
    std::string route;
    std::string service;
    call_outcome outcome = call_outcome::unknown;
    outcome_reason reason = outcome_reason::none; ///< `none` if the backend server returned an error.
    unsigned status = 0; ///< HTTP status sent to the caller; 0 at a gate, or if the caller had disconnected.
    std::string tried; ///< Hosts that were tried, in order, comma-separated; at a gate the id of the backend server.
    clock_ms held; ///< Time from arrival to decision.
    std::uint64_t configuration = 0; ///< Version of the configuration in force.
};

/** Discards the oldest record when full. Not thread-safe. */
class request_history
{
public:
    explicit request_history(std::size_t capacity);

    void add(request_record record);

    /** @return Records of a request, oldest first. */
    std::vector<request_record> find(std::string_view requestId) const;

    /** @return Wall clock time since which no record has been discarded; 0 if none was discarded at all. */
    clock_ms completeSince() const;

private:
    std::size_t m_capacity;
    std::deque<request_record> m_records;
    clock_ms m_completeSince;
};

} // namespace cicadamux
