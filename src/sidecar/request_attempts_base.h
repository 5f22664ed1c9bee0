/** @file request_attempts_base.h Sends requests to gates: which host, with how much time, and taken back again. */

#pragma once

#include "link/link_type.h"
#include "sidecar/entered_request_type.h"
#include "sidecar/host_directory_base.h"
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
    using reply_handler = std::function<void(const request_pointer &entered, link_reply reply)>;

    /** @param ended Called with the reply to an attempt that wasn't taken back. */
    request_attempts(sidecar_core &core, server_gate &gate, host_directory &directory, reply_handler ended);

    /**
     * Sends a request to a host that it wasn't sent to yet. `ended` may be called before this returns.
     * @return Whether there was such a host.
     */
    bool begin(const request_pointer &entered);

    /** Gives up the attempt that runs; its reply isn't awaited any more. */
    void cancel(entered_request &entered);

private:
    double expectedRun(std::string_view host, const route_rule &route) const;
    bool sendTo(const request_pointer &entered, const std::string &host);
    link_call makeCall(const entered_request &entered) const;
    void replied(const request_pointer &entered, std::uint64_t number, link_reply reply);
    void noteEnd(const entered_request &entered, const link_reply &reply);

    sidecar_core &m_core;
    server_gate &m_gate;
    host_directory &m_directory;
    reply_handler m_ended;
};

} // namespace cicadamux
