/** @file request_entry_base.h Takes the requests of this host's clients and backend server, and answers each once. */

#pragma once

#include "http/http_type.h"
#include "link/link_type.h"
#include "sidecar/entered_request_type.h"
#include "sidecar/host_directory_base.h"
#include "sidecar/request_attempts_base.h"
#include "sidecar/request_intake_base.h"
#include "sidecar/server_gate_base.h"
#include "sidecar/sidecar_core_type.h"

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

    /** Answers one request, later. */
    void handle(http_request request, const std::shared_ptr<http_exchange> &exchange);

    /** Sends requests that may be repeated elsewhere, since the link to their host is silent or broken. */
    void linkChanged(const std::string &host, link_health health);

    /** @return Requests that aren't answered. */
    std::size_t openCount() const;

private:
    void open(const request_pointer &entered);
    void attempt(const request_pointer &entered);
    void ended(const request_pointer &entered, link_reply reply);
    void refused(const request_pointer &entered, const link_reply &reply);
    void repeatOrFinish(const request_pointer &entered, link_reply reply);
    void repeatElsewhere(const request_pointer &entered);
    void timeUp(const request_pointer &entered);
    void callerGone(const request_pointer &entered);
    void answer(const request_pointer &entered, link_reply reply);
    void fail(const request_pointer &entered, outcome_reason reason);
    void respond(const request_pointer &entered, http_response response, outcome_reason reason);
    void noteLostCall(const entered_request &entered, outcome_reason reason);
    void measure(const entered_request &entered, outcome_reason reason);
    static call_outcome outcomeOf(const entered_request &entered, outcome_reason reason);
    void remember(const entered_request &entered, unsigned status, outcome_reason reason, const std::string &tried);
    void logEnd(const entered_request &entered, unsigned status, outcome_reason reason);

    sidecar_core &m_core;
    server_gate &m_gate;
    std::set<request_pointer> m_open;
    request_intake m_intake;
    request_attempts m_attempts;
};

} // namespace cicadamux
