/** @file peer_server_base.h gRPC listener for other daemons. */

#pragma once

#include "fleet/fleet_base.h"
#include "peer/peer_type.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cicadamux
{

/** Handlers for the messages of the listener. They are called on gRPC's threads and must not block. */
struct peer_server_hooks {
    /** Runs a call. Returns a function that cancels it, for when its sender disconnects; may be empty. `handler` is called exactly once in any case. */
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
     * @param maxMessageBytes Size limit of a message, sent or received.
     * @throws address_error if the address cannot be bound.
     */
    peer_server(std::string_view address, std::size_t maxMessageBytes, peer_server_hooks hooks);
    ~peer_server();
    peer_server(const peer_server &) = delete;
    peer_server &operator=(const peer_server &) = delete;

    /** Stops accepting messages and waits for those in progress, at most for `grace`. */
    void stop(clock_ms grace);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
