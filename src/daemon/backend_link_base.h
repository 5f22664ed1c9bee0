/** @file backend_link_base.h The daemon's side of its host's backend server: announcements, connections, cancellation. */

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

/** What the backend server last announced. */
struct backend_server {
    std::string service;
    std::string address; ///< `IP:port`.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    server_state state = server_state::absent;
    std::shared_ptr<http_client> client; ///< Null while absent.
    std::uint64_t life = 0; ///< Differs between two backend servers, also at the same address after a silence.
};

/** An announcement can't be used. */
class announcement_error : public error
{
public:
    announcement_error(std::string jsonPath, const std::string &allowed)
        : error(jsonPath + ": must be " + allowed)
        , m_path(std::move(jsonPath))
    {
    }

    /** @return The JSON path that is wrong. */
    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

/** Called after the backend server has changed, with what it was and what it is. */
using backend_hook = std::function<void(const backend_server &before, const backend_server &after)>;

/** Thread-safe; current() is lock-free. */
class backend_link
{
public:
    backend_link(boost::asio::io_context &context, const daemon_settings &settings, backend_hook changed);

    /**
     * Takes in an announcement (docs/INTERFACE.md).
     * @throws announcement_error
     */
    void announce(std::string_view json, clock_ms now);

    /** Drains the backend server by an operator's word, whatever it announces, or ends that. */
    void setDraining(bool draining);

    /** Ends the announcement if the backend server has been silent for too long. */
    void tick(clock_ms now);

    /** @return The backend server as it is now. */
    std::shared_ptr<const backend_server> current() const;

    /** Asks the backend server to give up a call; `acknowledged` is called with whether its work is surely over. */
    void cancel(const backend_server &server, call_id call, std::function<void(bool over)> acknowledged);

private:
    void replace(backend_server server);

    boost::asio::io_context &m_context;
    const daemon_settings &m_settings;
    backend_hook m_changed;
    rcu_snapshot<backend_server> m_current;
    std::mutex m_mutex; ///< Serializes announcements and ticks.
    clock_ms m_lastHeard;
    std::uint64_t m_lives = 0;
    bool m_drainedByOperator = false;
    server_state m_announcedState = server_state::absent;
};

} // namespace cicadamux
