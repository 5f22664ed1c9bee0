/** @file server_gate_base.h The only way to this host's backend server. */

#pragma once

#include "admission/slot_queue_base.h"
#include "http/http_client_base.h"
#include "link/link_server_base.h"
#include "routing/run_times_base.h"
#include "sidecar/running_calls_base.h"
#include "sidecar/server_registry_base.h"
#include "sidecar/sidecar_core_type.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace cicadamux
{

/** Takes calls of all hosts, queues them for the slots, and forwards them. Used by one thread. */
class server_gate
{
public:
    explicit server_gate(sidecar_core &core);
    ~server_gate();
    server_gate(const server_gate &) = delete;
    server_gate &operator=(const server_gate &) = delete;

    /**
     * Takes a call.
     * @param answer Called once, perhaps before this returns.
     * @return What cancels the call.
     */
    std::function<void()> take(link_call call, link_answer answer);

    /** Takes in a heartbeat. */
    heartbeat_verdict heartbeat(const server_announcement &announcement);

    /** Takes in a departure. */
    void departure(const server_announcement &announcement);

    /** Refuses what has waited too long; called every few milliseconds. */
    void tick();

    /** Refuses everything for a while, because this process stood still and can't tell how old the calls are that it reads. */
    void distrustUntil(clock_ms instant);

    host_report report() const;

    /** @return The report with the run times of all routes. */
    host_report fullReport() const;

    /** @return Mean run time of a route here, milliseconds; 0 if it isn't known. */
    double expectedRun(std::string_view route) const;
    const known_server &server() const;
    std::size_t callCount() const;

    /** @return The calls that the backend server works on. */
    running_calls &running();

private:
    struct gated_call;
    using call_pointer = std::shared_ptr<gated_call>;

    void stateChanged(std::string_view why);
    void carryOut();
    void send(const call_pointer &call);
    http_request forwardedRequest(const gated_call &call) const;
    void answered(const call_pointer &call, http_result result);
    link_reply judge(const gated_call &call, http_result result);
    void finish(const call_pointer &call, bool wasRun, link_reply reply);
    void deadlinePassed(const call_pointer &call);
    void cancel(const call_pointer &call);
    void refuse(const link_answer &answer, outcome_reason reason, clock_ms retryAfter);
    void remember(const gated_call &call, const link_reply &reply) const;
    void logOutcome(const gated_call &call, const link_reply &reply) const;

    sidecar_core &m_core;
    server_registry m_registry;
    slot_queue m_queue;
    http_client m_client;
    std::unordered_map<call_id, call_pointer> m_calls;
    std::vector<slot_decision> m_decisions; ///< Not carried out yet.
    bool m_carriesOut = false;
    std::uint64_t m_lastId = 0;
    clock_ms m_distrustUntil;
    running_calls m_running;
    run_times m_runTimes;
};

} // namespace cicadamux
