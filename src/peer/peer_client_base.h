/** @file peer_client_base.h Messages to other daemons by gRPC. */

#pragma once

#include "fleet/fleet_base.h"
#include "peer/peer_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cicadamux
{

/** Thread-safe. Keeps one channel for each peer it has lately talked to. Handlers run on gRPC's threads. */
class peer_client
{
public:
    explicit peer_client(std::size_t maxMessageBytes);
    ~peer_client();
    peer_client(const peer_client &) = delete;
    peer_client &operator=(const peer_client &) = delete;

    /** Sends a call. There is no reply after `timeLimit`. */
    std::shared_ptr<peer_pending> call(const std::string &address, const peer_call &call, clock_ms timeLimit, peer_reply_handler handler);

    /** Asks a ticket's home to void it. The handler gets false also if the home doesn't answer. */
    void voidTicket(const std::string &address, std::string_view ticket, clock_ms timeLimit, std::function<void(bool voided)> handler);

    /** Makes a full exchange; nothing if the peer doesn't answer. */
    void exchange(const std::string &address, const exchange_request &request, clock_ms timeLimit, exchange_handler handler);

    /** Asks a peer in the query language; nothing if it doesn't answer. */
    void ask(const std::string &address, std::string_view query, clock_ms timeLimit, std::function<void(std::optional<std::string> json)> handler);

    /** Closes channels that haven't been used for a while; called every few seconds. */
    void dropUnused(clock_ms now);

    /** Cancels all that is on its way and waits until every handler has run. */
    void stop();

    /** @return Channels now kept. */
    std::size_t channels() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace cicadamux
