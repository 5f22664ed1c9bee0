/** @file link_server_base.h Server side of links. */

#pragma once

#include "link/link_stream_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace cicadamux
{

using link_responder = std::function<void(link_reply reply)>;

/** Callbacks of a link server into its host. */
struct link_server_hooks {
    std::function<std::function<void()>(link_call call, link_responder responder)> call; ///< Starts a call; returns a function that cancels it.
    std::function<host_report()> report;
    std::function<configuration_offer()> configuration; ///< Version 0 if there is none.
    std::function<void(configuration_offer offer)> configurationOffered; ///< A peer has sent its configuration unrequested.
    std::function<void(host_introduction hosts)> hostsIntroduced; ///< A peer has sent the hosts that it knows.
    std::function<void(const server_statement &statement)> statementReceived; ///< A peer tells what this host's backend server has stated.
};

/** Not thread-safe. */
class link_server
{
public:
    /**
     * Binds the address and starts to accept links.
     * @param address `IP:port`.
     * @param key Of the fleet; empty: any peer may open a link.
     * @throws address_error
     */
    link_server(boost::asio::io_context &context, const std::string &address, std::size_t maxMessage, link_server_hooks hooks, std::string key = {});
    ~link_server();
    link_server(const link_server &) = delete;
    link_server &operator=(const link_server &) = delete;

    /** @return The bound address as `IP:port`. */
    std::string boundAddress() const;

    /** Sends this host's report to all peers, after a change that they shouldn't learn only by their next probe. */
    void announce(const host_report &report);

    /** Ends the sending direction of all links once their queued messages are written. Their peers close them then. */
    void finishSending();

    /** @return Number of bytes that wait to be written, over all links. */
    std::size_t backlog() const;

    /** @return Number of open links. */
    std::size_t count() const;

    /** Closes all links and cancels their calls. */
    void closeLinks();

    /** Stops accepting and closes all links. */
    void stop();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace cicadamux
