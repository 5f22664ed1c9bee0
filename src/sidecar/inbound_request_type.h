/** @file inbound_request_type.h A request from its arrival until its response. */

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

/** The attempt in progress, if any. */
struct running_attempt {
    std::uint64_t number = 0; ///< Identifies the attempt; replies to earlier ones are ignored.
    std::string host; ///< Empty if no attempt is in progress.
    std::shared_ptr<host_link> link; ///< Null if the attempt is at this host's own gate.
    call_id linkCall;
    std::function<void()> cancelLocal;

    bool isRunning() const
    {
        return !host.empty();
    }

    /** Resets everything but the number. */
    void clear()
    {
        *this = running_attempt{number, {}, nullptr, call_id::invalid(), nullptr};
    }
};

/** A request of a client, or a call of this host's backend server. */
struct inbound_request {
    explicit inbound_request(boost::asio::io_context &context)
        : timer(context)
    {
    }

    std::shared_ptr<http_exchange> exchange;
    http_request request;
    std::string requestId;
    std::shared_ptr<const route_configuration> configuration; ///< Keeps `route` alive.
    const route_rule *route = nullptr;
    std::string service; ///< Chosen once, so that all attempts on a split route use the same service.
    clock_ms arrivedAt;
    clock_ms limit; ///< Instant by which the request is answered.
    boost::asio::steady_timer timer;

    bool isCall = false; ///< Probably a call of this host's backend server rather than a client's request.
    parent_match parents; ///< Runs of this host's backend server that may have made it.
    bool isLikelyRetry = false; ///< Probably a client's retry after a refusal.
    double repeatWeight = 0; ///< See link_call::repeatWeight.
    double admittedFraction = 1; ///< Admitted share of the route when route admission refused the request; otherwise 1.

    running_attempt attempt;
    std::vector<std::string> triedHosts;
    std::uint32_t serversReached = 0; ///< Attempts that may have reached a backend server; compared with route_rule::maxServers.
    std::uint32_t refusals = 0; ///< Attempts that a gate refused, so that they reached no backend server.
    outcome_reason refusalReason = outcome_reason::none; ///< Reason of the last such refusal.
    clock_ms retryAfter; ///< Shortest Retry-After of any refusal.
    bool mayHaveRun = false; ///< A backend server may have executed an attempt.
    call_loss lostCall = call_loss::none; ///< Reported by the last attempt that reached a backend server.
    bool isFinished = false;
};

using request_pointer = std::shared_ptr<inbound_request>;

} // namespace cicadamux
