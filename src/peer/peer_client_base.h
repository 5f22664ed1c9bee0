/** @file peer_client_base.h gRPC client for other daemons. */

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

/** Keeps one channel for each recently used peer. Handlers run on gRPC's threads. Thread-safe. */
class peer_client
{
public:
    explicit peer_client(std::size_t maxMessageBytes);
    ~peer_client();
    peer_client(const peer_client &) = delete;
    peer_client &operator=(const peer_client &) = delete;

    /** Sends a call. It fails if there is no reply within `timeLimit`. */
    std::shared_ptr<peer_pending> call(const std::string &address, const peer_call &call, clock_ms timeLimit, peer_reply_handler handler);

    /** Requests that a ticket's home void it. The handler also gets false if the home does not answer. */
    void voidTicket(const std::string &address, std::string_view ticket, clock_ms timeLimit, std::function<void(bool voided)> handler);

    /** Performs a full exchange; the handler gets nothing if the peer does not answer. */
    void exchange(const std::string &address, const exchange_request &request, clock_ms timeLimit, exchange_handler handler);

    /** Sends a query to a peer; the handler gets nothing if the peer does not answer. */
    void ask(const std::string &address, std::string_view query, clock_ms timeLimit, std::function<void(std::optional<std::string> json)> handler);

    /** Closes channels that have been idle for longer than the time-out; called periodically. */
    void closeIdleChannels(clock_ms now);

    /** Cancels all messages in transit and waits until every handler has run. */
    void stop();

    /** @return The number of open channels. */
    std::size_t channels() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace cicadamux
