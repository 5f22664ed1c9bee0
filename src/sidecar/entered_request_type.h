/** @file entered_request_type.h One request between its arrival and its answer. */

#pragma once

#include "core/clock_type.h"
#include "http/http_type.h"
#include "link/host_link_base.h"
#include "link/link_type.h"
#include "request/outcome_type.h"
#include "route/route_type.h"
#include "sidecar/running_calls_base.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadamux
{

/** The attempt that runs, if one does. */
struct running_attempt {
    std::uint64_t number = 0; ///< Of the request; the reply to an older one is ignored.
    std::string host; ///< Empty if none runs.
    std::shared_ptr<host_link> link; ///< Null for this host's own gate.
    call_id linkCall;
    std::function<void()> cancelLocal;

    bool isRunning() const
    {
        return !host.empty();
    }

    /** Forgets the attempt; its number stays. */
    void end()
    {
        *this = running_attempt{number, {}, nullptr, call_id::invalid(), nullptr};
    }
};

struct entered_request {
    explicit entered_request(boost::asio::io_context &context)
        : timer(context)
    {
    }

    std::shared_ptr<http_exchange> exchange;
    http_request request;
    std::string requestId;
    std::shared_ptr<const route_configuration> configuration; ///< Keeps `route` alive.
    const route_rule *route = nullptr;
    std::string service; ///< Drawn once: the parts of a split route aren't mixed.
    clock_ms arrivedAt;
    clock_ms limit; ///< Instant of the final answer.
    boost::asio::steady_timer timer;

    bool isCall = false; ///< Made by the own backend server, as far as is known.
    parent_match parents; ///< Runs of the own backend server that may have made it.
    bool returns = false; ///< Comes back after a refusal, as far as is known.
    double repeatWeight = 0; ///< See link_call.
    double admittedPart = 1; ///< Of the route at the entry, if it was refused there.

    running_attempt running;
    std::vector<std::string> triedHosts;
    std::uint32_t serversReached = 0; ///< Attempts that may have reached a backend server.
    std::uint32_t refusals = 0; ///< By gates, without reaching a backend server.
    outcome_reason refusedFor = outcome_reason::none; ///< By the last gate that refused.
    clock_ms retryAfter; ///< Least that a gate said.
    bool isUnknown = false; ///< An attempt may have run.
    call_loss lostCall = call_loss::none; ///< Of the last attempt's run.
    bool isOver = false;
};

using request_pointer = std::shared_ptr<entered_request>;

} // namespace cicadamux
