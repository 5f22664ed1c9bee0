/** @file backend_standin_server.h The backend server's HTTP interface and its announcements. */

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
 * Serves work, announces itself, drains. At /control: `POST` {"fault": NAME, "ratio", "count", "factor",
 * "delay_ms", "for_ms"} with a name of backendFaultNames or `clear`; `GET` for counters; `GET /control/runs?operation=NAME`
 * for the number of runs of each request id.
 */
class backend_server
{
public:
    backend_server(boost::asio::io_context &context, const std::string &address, clock_ms connectCost, const backend_settings &settings);

    /** @return The bound `IP:port`. */
    std::string address() const;

    /** Announces `draining`, and calls back once no work is left here or at the daemon. */
    void drain(std::function<void()> drained);

private:
    void handle(const std::shared_ptr<http_exchange> &exchange);
    void handleControl(const std::shared_ptr<http_exchange> &exchange);
    void handleRuns(const std::shared_ptr<http_exchange> &exchange);
    void handleHints(const std::shared_ptr<http_exchange> &exchange);
    bool applyFault(const boost::json::object &command);
    void announce();
    void announced(const http_reply &reply);
    void scheduleAnnouncement();
    boost::json::object counters() const;

    const backend_settings &m_settings;
    backend_worker m_worker;
    http_client m_announcer;
    boost::asio::steady_timer m_timer;
    http_server m_server;
    std::function<void()> m_drained; ///< Set once it drains.
    bool m_saidDraining = false; ///< Whether the announcement on its way says so.
    std::uint32_t m_hintedInUse = 0; ///< What /cicadamux/load says; lags by an announcement's period.
};

} // namespace cicadamux::test
