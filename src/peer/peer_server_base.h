/** @file peer_server_base.h The gRPC listener for other daemons. */

#pragma once

#include "fleet/fleet_base.h"
#include "peer/peer_type.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cicadamux
{

/** What the listener needs of the rest of the daemon; called on gRPC's threads, so each returns at once. */
struct peer_server_hooks {
    /** Runs a call. Returns what cancels it when its sender goes away; the handler is called once in any case. */
    std::function<std::function<void()>(peer_call call, std::function<void(peer_reply)> handler)> call;
    std::function<bool(std::string_view ticket)> voidTicket; ///< Voids a ticket whose home is this daemon.
    std::function<exchange_reply(const exchange_request &request)> exchange;
    std::function<void(std::string query, clock_ms timeLimit, std::function<void(std::string json)> handler)> ask;
};

class peer_server
{
public:
    /**
     * @param address `IP:port`.
     * @param maxMessageBytes Greatest message that is taken in.
     * @throws address_error if it can't listen there.
     */
    peer_server(std::string_view address, std::size_t maxMessageBytes, peer_server_hooks hooks);
    ~peer_server();
    peer_server(const peer_server &) = delete;
    peer_server &operator=(const peer_server &) = delete;

    /** Takes no more messages and waits, at most for `grace`, for those that are being answered. */
    void stop(clock_ms grace);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
