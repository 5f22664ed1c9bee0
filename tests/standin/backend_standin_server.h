/** @file backend_standin_server.h The HTTP interface of the backend stand-in and its announcements to the daemon. */

#pragma once

#include "standin/backend_standin_worker.h"
#include "support/http_client_base.h"
#include "support/http_server_base.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cicadamux::test
{

/**
 * Processes requests, announces itself to the daemon and drains. Interface for tests:
 *
 * - `POST /control` with {"fault": NAME, "ratio", "count", "factor", "delay_ms", "for_ms"} sets a fault; the name is one
 *   of backendFaultNames, or `clear` to remove all faults.
 * - `GET /control` returns the counters.
 * - `GET /control/runs?operation=NAME` returns the number of runs of each request id.
 */
class backend_server
{
public:
    backend_server(boost::asio::io_context &context, const std::string &address, clock_ms connectCost, const backend_settings &settings);

    /** @return The bound `IP:port`. */
    std::string address() const;

    /** Announces `draining`; calls `drained` once neither this server nor the daemon has unfinished requests. */
    void drain(std::function<void()> drained);

private:
    void handle(const std::shared_ptr<http_exchange> &exchange);
    void handleControl(const std::shared_ptr<http_exchange> &exchange);
    void handleRuns(const std::shared_ptr<http_exchange> &exchange);
    void handleLoad(const std::shared_ptr<http_exchange> &exchange);
    bool applyFault(const boost::json::object &command);
    void announce();
    void onAnnounced(const http_reply &reply);
    void scheduleAnnouncement();
    boost::json::object counters() const;

    const backend_settings &m_settings;
    backend_worker m_worker;
    http_client m_announcer;
    boost::asio::steady_timer m_timer;
    http_server m_server;
    std::function<void()> m_drained; ///< Set while draining.
    bool m_announcedDraining = false; ///< Whether the latest announcement had the state `draining`.
    std::uint32_t m_announcedInUse = 0; ///< Slots in use at the latest announcement, which /cicadamux/load returns.
};

} // namespace cicadamux::test
