/** @file sidecar_base.h One sidecar: its parts, its listeners, its clock and its planned stop. */

#pragma once

#include "http/http_server_base.h"
#include "link/link_server_base.h"
#include "sidecar/configuration_source_base.h"
#include "sidecar/host_directory_base.h"
#include "sidecar/request_entry_base.h"
#include "sidecar/server_gate_base.h"
#include "sidecar/sidecar_core_type.h"
#include "sidecar/sidecar_query_func.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace cicadamux
{

/** Used by the one thread that runs the context. */
class sidecar
{
public:
    sidecar(boost::asio::io_context &context, const daemon_settings &settings, const sidecar_adapter &adapter);
    ~sidecar();
    sidecar(const sidecar &) = delete;
    sidecar &operator=(const sidecar &) = delete;

    /** Binds the listeners and joins the fleet. @throws cicadamux::error */
    void start();

    /** Begins a planned stop. @param done Called once nothing is in flight, or just before the kill. */
    void drain(std::function<void()> done);

    /** Ends all activity. */
    void stop();

private:
    void startListeners();
    link_server_hooks linkHooks();
    host_directory_hooks directoryHooks();
    void handleReady(const http_request &request, const std::shared_ptr<http_exchange> &exchange) const;
    void handleControl(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    void handleQuery(const http_request &request, const std::shared_ptr<http_exchange> &exchange) const;
    sidecar_view view() const;
    void handleMetrics(const std::shared_ptr<http_exchange> &exchange);
    bool isReady() const;
    void configurationChanged();
    void upstreamsChanged();
    void tick();
    void noticeStall(clock_ms now);
    void slowTick(clock_ms now);
    void stopTick();

    boost::asio::io_context &m_context;
    sidecar_core m_core;
    std::unique_ptr<object_store> m_store;
    server_gate m_gate;
    host_directory m_directory;
    configuration_source m_configuration;
    request_entry m_entry;
    std::unique_ptr<link_server> m_links;
    std::unique_ptr<http_server> m_outbound;
    std::unique_ptr<http_server> m_control;
    std::unique_ptr<http_server> m_ready;
    std::unique_ptr<http_server> m_metrics;
    boost::asio::steady_timer m_timer;
    server_state m_gateState = server_state::absent; ///< As last told to the router.
    clock_ms m_startedAt;
    clock_ms m_slowTickAt;
    clock_ms m_reportedAt; ///< Of dropped log lines.
    clock_ms m_lastBoot; ///< Of the clock that goes on while the host is suspended.
    clock_ms m_stoppingSince;
    bool m_closesConnections = false; ///< The second part of a planned stop.
    std::function<void()> m_stopped;
};

} // namespace cicadamux
