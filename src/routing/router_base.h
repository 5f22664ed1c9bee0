/** @file router_base.h Selects the upstream for a call. */

#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"
#include "core/random_func.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/** One upstream of a service, as known from the membership. */
struct upstream {
    std::string service;
    std::string host; ///< Host that runs the backend server and its daemon.
    std::string dataCenter;
    std::string peerAddress; ///< `IP:port` of the daemon's peer listener.
    incarnation_id incarnation; ///< Of that daemon; changes with each restart.
    std::uint32_t slots = 1; ///< Concurrency that the backend server announced.
    bool draining = false;
    clock_ms servingSince; ///< Start of service on this daemon's clock; for slow start.

    bool operator==(const upstream &) const = default;
};

/** Result of a call to an upstream, with the load reported in the answer. */
struct upstream_report {
    bool gotReply = false; ///< The upstream's daemon answered.
    bool failed = false; ///< Counts as a failure of the upstream (timeout, malformed answer, lost connection), whether a reply arrived or not.
    std::uint32_t inUse = 0; ///< Slots in use, piggybacked on the answer.
    std::uint32_t waiting = 0; ///< Queued calls, piggybacked on the answer.
    std::uint32_t limit = 0; ///< Concurrency limit, piggybacked on the answer; 0 if not reported.
    clock_ms noRoomFor; ///< Time until the rate of the backend server has room for a call, piggybacked on the answer.
};

/** Routing state of an upstream, for operator queries. */
struct upstream_state {
    upstream info;
    std::uint32_t inFlight = 0; ///< Calls from this daemon that have not ended.
    bool ejected = false;
    double weight = 1.0; ///< Share of the full load; below 1 during slow start.
};

struct router_settings {
    std::string dataCenter; ///< Of this daemon; upstreams in it are preferred.
    std::string host; ///< Of this daemon; determines its subsets.
    std::uint32_t subsetSize = 16; ///< Upstreams of one service that this daemon connects to.
    clock_ms slowStart{5'000}; ///< Time over which the weight of a newly started upstream rises to 1.
    double maxEjectedFraction = 0.34; ///< Of the upstreams in a service's subset.
};

/** Per-call preference among the upstreams of a service. */
struct route_preference {
    std::function<double(std::string_view host)> expectedRun; ///< Expected run time on a host, milliseconds; 0 if unknown. Empty: the same on all hosts.
    double minRunTimeSaved = 0; ///< Least run time saved, milliseconds, that justifies a call to another data centre; 0: never.
};

/** Thread-safe. choose(), sent() and ended() use atomics and RCU; setUpstreams() may wait for readers. */
class router
{
public:
    router(router_settings settings, random_source random);
    ~router();
    router(const router &) = delete;
    router &operator=(const router &) = delete;

    /** Replaces the upstreams of all services; those already known keep their counters. */
    void setUpstreams(std::span<const upstream> upstreams, clock_ms now);

    /**
     * Chooses an upstream that is neither draining nor excluded: own data centre first, the less loaded of two random ones.
     * @param excluded Hosts already tried for this call.
     * @return Nothing if no upstream is eligible.
     */
    std::optional<upstream> choose(std::string_view service, std::span<const std::string> excluded, clock_ms now, const route_preference &preference = {});

    /** Finds the upstream on a host, draining or not. */
    std::optional<upstream> find(std::string_view service, std::string_view host) const;

    /** Counts a call to a host as in flight. */
    void sent(std::string_view service, std::string_view host);

    /** Ends a call counted by sent(), and updates the load and health of its upstream. */
    void ended(std::string_view service, std::string_view host, const upstream_report &report, clock_ms now);

    std::vector<upstream_state> states(clock_ms now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
