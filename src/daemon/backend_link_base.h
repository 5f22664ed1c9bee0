/** @file backend_link_base.h The connection between a daemon and the backend server on its host: announcements, HTTP client, cancellation. */

#pragma once

#include "core/rcu_type.h"
#include "http/http_client_base.h"
#include "membership/member_type.h"
#include "settings/settings_type.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace cicadamux
{

/** State of the backend server, from its last announcement. */
struct backend_server {
    std::string service;
    std::string address; ///< `IP:port`.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    server_state state = server_state::absent;
    std::shared_ptr<http_client> client; ///< Null while absent.
    std::uint64_t instanceId = 0; ///< Identifies one backend server process; a new one at the same address gets a new id if the old one timed out.
};

/** An announcement is malformed. */
class announcement_error : public error
{
public:
    announcement_error(std::string jsonPath, const std::string &expected)
        : error(jsonPath + ": must be " + expected)
        , m_path(std::move(jsonPath))
    {
    }

    /** @return The JSON path of the invalid value. */
    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

/** Called after the state of the backend server has changed, with the old and the new state. */
using backend_hook = std::function<void(const backend_server &before, const backend_server &after)>;

/** Thread-safe; current() is lock-free. */
class backend_link
{
public:
    backend_link(boost::asio::io_context &context, const daemon_settings &settings, backend_hook changed);

    /**
     * Processes an announcement (docs/INTERFACE.md).
     * @throws announcement_error
     */
    void announce(std::string_view json, clock_ms now);

    /** Sets or clears the drain requested by an operator. While set, it overrides the announced state. */
    void setDraining(bool draining);

    /** Marks the backend server as absent if it has not announced itself within the time-out. */
    void tick(clock_ms now);

    /** @return A snapshot of the current state. */
    std::shared_ptr<const backend_server> current() const;

    /** Asks the backend server to cancel a call; `handler` is called with whether the backend server confirmed that it no longer works on it. */
    void cancel(const backend_server &server, call_id call, std::function<void(bool ended)> handler);

private:
    void replace(backend_server server);

    boost::asio::io_context &m_context;
    const daemon_settings &m_settings;
    backend_hook m_changed;
    rcu_snapshot<backend_server> m_current;
    std::mutex m_mutex; ///< Serializes announcements and ticks.
    clock_ms m_lastAnnouncedAt;
    std::uint64_t m_lastInstanceId = 0;
    bool m_drainedByOperator = false;
    server_state m_announcedState = server_state::absent;
};

} // namespace cicadamux
