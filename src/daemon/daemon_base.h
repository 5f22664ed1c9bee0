/** @file daemon_base.h The daemon: its components, listeners and timers. */

#pragma once

#include "daemon/backend_link_base.h"
#include "daemon/call_entry_base.h"
#include "daemon/daemon_core_type.h"
#include "daemon/dispatcher_base.h"
#include "daemon/gate_service_base.h"
#include "daemon/upstream_list_base.h"
#include "fleet/fleet_base.h"
#include "http/http_server_base.h"
#include "operator/data_center_history_base.h"
#include "operator/operator_hooks_type.h"
#include "operator/refusal_log_base.h"
#include "peer/peer_server_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace cicadamux
{

/** Owns all components of a daemon. start() and drain() must be called on one of the context's threads. */
class daemon_process
{
public:
    daemon_process(boost::asio::io_context &context, const daemon_settings &settings);
    ~daemon_process();
    daemon_process(const daemon_process &) = delete;
    daemon_process &operator=(const daemon_process &) = delete;

    /**
     * Binds the listeners and joins the fleet.
     * @throws cicadamux::error if an address cannot be bound.
     */
    void start();

    /**
     * Begins a graceful shutdown: leaves the fleet, refuses new calls as not run, and lets calls in flight finish.
     * @param done Called once no call is in flight or the stop time-out has passed.
     */
    void drain(std::function<void()> done);

    /** Stops all components; the context's threads must still be running. */
    void stop();

private:
    void startListeners();
    void startFleet();
    peer_server_hooks peerHooks();
    fleet_hooks makeFleetHooks();
    void policyChanged(const std::shared_ptr<const policy_set> &policies);
    void viewChanged(const std::vector<member_record> &view);
    void backendChanged(const backend_server &before, const backend_server &after);
    void gateRefused(const call_request &request, const gate_decision &decision, const gate_snapshot &gate);
    void recordRefusal(const call_request &request, const refusal_detail &detail, const gate_decision *decision, const gate_snapshot *gate);
    void entryRefused(const call_request &request, const refusal_detail &detail);
    void handleAdmin(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    void handleQuery(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    std::shared_ptr<const operator_hooks> makeOperatorHooks();
    void fillStateHooks(operator_hooks &hooks);
    void fillActionHooks(operator_hooks &hooks);
    bool isReady() const;
    bool isIdle() const;
    void updateGauges(clock_ms now);
    void gateTick();
    void housekeepingTick();
    void openEdgeIfReady(clock_ms now);
    void waitUntilIdle(clock_ms since, std::function<void()> done);

    boost::asio::io_context &m_context;
    std::unique_ptr<object_store> m_platform; ///< Null without a platform.
    daemon_core m_core;
    backend_link m_backend;
    gate_service m_gate;
    dispatcher m_dispatcher;
    call_entry m_entry;
    std::unique_ptr<fleet> m_fleet;
    std::unique_ptr<peer_server> m_peerServer;
    std::unique_ptr<http_server> m_edge;
    std::unique_ptr<http_server> m_local;
    std::unique_ptr<http_server> m_admin;
    boost::asio::steady_timer m_gateTimer;
    boost::asio::steady_timer m_housekeepingTimer;
    boost::asio::steady_timer m_drainTimer;
    const clock_ms m_startedAt = steadyNow();
    bool m_edgeOpen = false; ///< Written only by housekeepingTick().
    std::atomic<bool> m_stopped{false};
    refusal_log m_refusals;
    data_center_history m_dataCenters; ///< From all membership views so far.
    std::shared_ptr<const operator_hooks> m_operatorHooks;
    std::mutex m_viewMutex; ///< Serializes viewChanged().
    upstream_list m_upstreams;
};

} // namespace cicadamux
