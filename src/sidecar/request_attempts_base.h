/** @file request_attempts_base.h Sends attempts of a request to gates: chooses the host, sets the time limits, cancels. */

#pragma once

#include "link/link_type.h"
#include "sidecar/host_directory_base.h"
#include "sidecar/inbound_request_type.h"
#include "sidecar/server_gate_base.h"
#include "sidecar/sidecar_core_type.h"

#include <functional>
#include <string>

namespace cicadamux
{

/** Used by one thread. */
class request_attempts
{
public:
    using reply_handler = std::function<void(const request_pointer &inbound, link_reply reply)>;

    /** @param onEnded Called with the reply to each attempt that was not cancelled. */
    request_attempts(sidecar_core &core, server_gate &gate, host_directory &directory, reply_handler onEnded);

    /**
     * Sends a request to a host that has not been tried yet. `onEnded` may be called before this returns.
     * @return Whether there was such a host.
     */
    bool begin(const request_pointer &inbound);

    /** Cancels the attempt in progress, if any; its reply is ignored. */
    void cancel(inbound_request &inbound);

private:
    double expectedRun(std::string_view host, const route_rule &route) const;
    bool sendTo(const request_pointer &inbound, const std::string &host);
    link_call makeCall(const inbound_request &inbound) const;
    void handleReply(const request_pointer &inbound, std::uint64_t number, link_reply reply);
    void reportResult(const inbound_request &inbound, const link_reply &reply);

    sidecar_core &m_core;
    server_gate &m_gate;
    host_directory &m_directory;
    reply_handler m_onEnded;
};

} // namespace cicadamux
