/** @file server_gate_base.h Admission queue in front of this host's backend server; every call passes through it. */

#pragma once

#include "admission/slot_queue_base.h"
#include "http/http_client_base.h"
#include "link/link_server_base.h"
#include "routing/run_times_base.h"
#include "sidecar/running_calls_base.h"
#include "sidecar/server_notice_func.h"
#include "sidecar/server_registry_base.h"
#include "sidecar/sidecar_core_type.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cicadamux
{

/** Accepts calls from all hosts, queues them for a slot, and forwards them. Used by one thread. */
class server_gate
{
public:
    explicit server_gate(sidecar_core &core);
    ~server_gate();
    server_gate(const server_gate &) = delete;
    server_gate &operator=(const server_gate &) = delete;

    /**
     * Queues a call, or refuses it.
     * @param responder Called once, possibly before this returns.
     * @return Function that cancels the call.
     */
    std::function<void()> submit(link_call call, link_responder responder);

    /** Takes over the live settings. */
    void applySettings();

    /** Processes a heartbeat of the backend server. */
    heartbeat_verdict heartbeat(const server_announcement &announcement);

    /** Takes over what another host has heard of the backend server; a rate only until an answer states one. */
    void adopt(const server_statement &statement);

    /** Processes the backend server's notice that it leaves. */
    void departure(const std::string &id, std::optional<clock_ms> startedAt);

    /** Calls the hook when the backend server states in an answer that it leaves. */
    void onServerLeaving(std::function<void()> hook);

    /** Refuses calls that have waited too long; called periodically. */
    void tick();

    /** Refuses the waiting calls, and corrects the time limits of the running ones by the time that the steady clock missed. */
    void handleStall(const stall &found);

    host_report report() const;

    /** @return The report including the mean run times of all routes. */
    host_report fullReport() const;

    /** @return Mean run time of a route at this backend server, in milliseconds; 0 if unknown. */
    double expectedRun(std::string_view route) const;
    const known_server &server() const;
    std::size_t callCount() const;

    /** @return Calls in execution at the backend server. */
    running_calls &runningCalls();

private:
    struct gated_call;
    using call_pointer = std::shared_ptr<gated_call>;

    void stateChanged(std::string_view why);
    void applyDecisions();
    std::uint32_t groupOf(const std::string &route);
    void sendOrRefuse(const call_pointer &call);
    void send(const call_pointer &call);
    http_request forwardedRequest(const gated_call &call) const;
    void handleResult(const call_pointer &call, http_result result);
    link_reply classifyResult(const gated_call &call, http_result result);
    void readNotice(const gated_call &call, const http_response &response);
    void setRate(std::optional<double> perSecond);
    void markLeaving(std::string_view why);
    void logPace(clock_ms now);
    void finish(const call_pointer &call, bool wasRun, link_reply reply);
    void armTimeout(const call_pointer &call);
    void handleTimeout(const call_pointer &call);
    void cancel(const call_pointer &call);
    void refuse(const link_responder &responder, outcome_reason reason, clock_ms retryAfter);
    void recordFailure(const gated_call &call, const link_reply &reply) const;
    void logOutcome(const gated_call &call, const link_reply &reply) const;

    sidecar_core &m_core;
    server_registry m_registry;
    slot_queue m_queue;
    http_client m_client;
    std::unordered_map<call_id, call_pointer> m_calls;
    std::vector<slot_decision> m_decisions; ///< Not applied yet.
    bool m_isApplyingDecisions = false;
    std::uint64_t m_lastId = 0;
    std::map<std::string, std::uint32_t, std::less<>> m_groups; ///< Groups of the queue, one for each route.
    running_calls m_running;
    run_times m_runTimes;
    server_notice m_lastNotice; ///< Of the current backend server, as it came.
    std::function<void()> m_serverLeaving;
    bool m_isHeard = false; ///< An answer of the current backend server has come.
    std::optional<double> m_rate; ///< Requests a second that the current backend server takes; nothing if it states none.
    std::uint32_t m_sent = 0; ///< Calls sent to the backend server since the last log of its pace.
    clock_ms m_paceLoggedAt;
};

} // namespace cicadamux
