/** @file request_entry_base.h Accepts requests of this host's clients and backend server, and answers each exactly once. */

#pragma once

#include "http/http_type.h"
#include "link/link_type.h"
#include "sidecar/host_directory_base.h"
#include "sidecar/inbound_request_type.h"
#include "sidecar/request_attempts_base.h"
#include "sidecar/request_intake_base.h"
#include "sidecar/server_gate_base.h"
#include "sidecar/sidecar_core_type.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace cicadamux
{

/** Used by one thread. */
class request_entry
{
public:
    request_entry(sidecar_core &core, server_gate &gate, host_directory &directory);
    ~request_entry();
    request_entry(const request_entry &) = delete;
    request_entry &operator=(const request_entry &) = delete;

    /** Processes one request; the response is sent asynchronously. */
    void handle(http_request request, const std::shared_ptr<http_exchange> &exchange);

    /** Unless the link is up, retries the idempotent requests in progress on it at other hosts. */
    void linkChanged(const std::string &host, link_health health);

    /** Corrects the time limits of the open requests by the time that the steady clock missed. */
    void handleStall(const stall &found);

    /** Fails the open requests that hold back ready answers on their connections. */
    void endBlocking();

    /** Fails all open requests. */
    void endAll();

    /** @return Number of requests that are not answered yet. */
    std::size_t openCount() const;

private:
    void track(const request_pointer &inbound);
    void armTimeout(const request_pointer &inbound);
    void startAttempt(const request_pointer &inbound);
    void handleReply(const request_pointer &inbound, link_reply reply);
    void handleRefusal(const request_pointer &inbound, const link_reply &reply);
    void retryOrFinish(const request_pointer &inbound, link_reply reply);
    void retryElsewhere(const request_pointer &inbound);
    void handleTimeout(const request_pointer &inbound);
    void giveUp(const request_pointer &inbound, outcome_reason reason);
    void endIf(const std::function<bool(const inbound_request &inbound)> &mayEnd);
    void handleCallerGone(const request_pointer &inbound);
    void deliver(const request_pointer &inbound, link_reply reply);
    void fail(const request_pointer &inbound, outcome_reason reason);
    void respond(const request_pointer &inbound, http_response response, outcome_reason reason);
    void recordLostCall(const inbound_request &inbound, outcome_reason reason);
    void recordMetrics(const inbound_request &inbound, outcome_reason reason);
    static call_outcome outcomeOf(const inbound_request &inbound, outcome_reason reason);
    void recordFailure(const inbound_request &inbound, unsigned status, outcome_reason reason, const std::string &tried);
    void logOutcome(const inbound_request &inbound, unsigned status, outcome_reason reason);

    sidecar_core &m_core;
    server_gate &m_gate;
    std::set<request_pointer> m_open;
    request_intake m_intake;
    request_attempts m_attempts;
};

} // namespace cicadamux
