/** @file sidecar_base.h A sidecar: owns its components and listeners, runs periodic work and the graceful stop. */

#pragma once

#include "http/http_server_base.h"
#include "link/link_server_base.h"
#include "sidecar/configuration_source_base.h"
#include "sidecar/departure_record_base.h"
#include "sidecar/host_directory_base.h"
#include "sidecar/request_entry_base.h"
#include "sidecar/server_gate_base.h"
#include "sidecar/sidecar_core_type.h"
#include "sidecar/sidecar_query_func.h"
#include "store/replaceable_store_base.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace cicadamux
{

/** Used by the one thread that runs the context. */
class sidecar
{
public:
    /** @param bootClock Advances also while the host is suspended. */
    sidecar(boost::asio::io_context &context, const daemon_settings &settings, const sidecar_adapter &adapter, clock_source bootClock = bootNow);
    ~sidecar();
    sidecar(const sidecar &) = delete;
    sidecar &operator=(const sidecar &) = delete;

    /** Binds the listeners and joins the fleet. @throws cicadamux::error */
    void start();

    /**
     * Takes over the live settings, all at once; requests in flight keep the limits that they began with.
     * @throws settings_error if the fleet bounds can't be read; then nothing has changed.
     */
    void applySettings(const daemon_settings &fresh);

    /** Sets a function that is called a few times a second. */
    void onSlowTick(std::function<void(clock_ms now)> hook);

    /** Begins a graceful stop. @param done Called once nothing is in flight, or shortly before the platform kills the process. */
    void drain(std::function<void()> done);

    /** Ends all activity. */
    void stop();

private:
    void startListeners();
    link_server_hooks linkHooks();
    host_directory_hooks directoryHooks();
    void handleReady(const http_request &request, const std::shared_ptr<http_exchange> &exchange) const;
    void handleControl(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    void handleServerMessage(const server_message &message, const std::shared_ptr<http_exchange> &exchange);
    void handleQuery(const http_request &request, const std::shared_ptr<http_exchange> &exchange) const;
    sidecar_view view() const;
    void handleMetrics(const std::shared_ptr<http_exchange> &exchange);
    bool isReady() const;
    void configurationChanged();
    fleet_bounds readBounds(const daemon_settings &fresh) const;
    http_limits outboundLimits() const;
    void applyLimits();
    store_options storeOptions();
    void handleStoreRestored(std::uint64_t era);
    void replaceStore();
    void upstreamsChanged();
    void tick();
    void handleStall(const stall &found);
    void runPeriodicWork();
    void slowTick(clock_ms now);
    clock_ms unnoticedTime();
    void removeDepartureOfEnded();
    void stopTick();
    open_work openWork() const;
    void takeStep(stop_step step);
    void logStep(stop_step step) const;

    boost::asio::io_context &m_context;
    sidecar_core m_core;
    replaceable_store m_store;
    server_gate m_gate;
    host_directory m_directory;
    configuration_source m_configuration;
    std::shared_ptr<departure_record> m_departures;
    request_entry m_entry;
    std::unique_ptr<link_server> m_links;
    std::unique_ptr<http_server> m_outbound;
    std::unique_ptr<http_server> m_control;
    std::unique_ptr<http_server> m_ready;
    std::unique_ptr<http_server> m_metrics;
    boost::asio::steady_timer m_timer;
    server_state m_gateState = server_state::absent; ///< As last passed to the router.
    clock_ms m_startedAt;
    clock_ms m_lastTick;
    clock_ms m_tickBeforeLast;
    clock_ms m_slowTickAt;
    clock_ms m_reportedAt; ///< Last report of dropped log lines.
    std::function<void(clock_ms now)> m_slowTickHook;
    std::function<void()> m_stopped;
};

} // namespace cicadamux
