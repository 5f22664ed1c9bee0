/** @file call_entry_base.h Converts HTTP requests of external callers and of the backend server into calls, and their results into responses. */

#pragma once

#include "daemon/backend_link_base.h"
#include "daemon/daemon_core_type.h"
#include "daemon/dispatcher_base.h"
#include "http/http_type.h"

#include <functional>
#include <memory>

namespace cicadamux
{

/** Called for each call that is not answered, except those that the gate has recorded itself. */
using entry_refusal_hook = std::function<void(const call_request &request, const refusal_detail &detail)>;

/** Request handlers of the `edge` and `local` listeners. Thread-safe. */
class call_entry
{
public:
    call_entry(daemon_core &core, dispatcher &callDispatcher, backend_link &backend, entry_refusal_hook refused);

    /** Handles a request of an external caller. */
    void handleEdge(http_request request, std::shared_ptr<http_exchange> exchange);

    /** Handles a request of this host's backend server. */
    void handleLocal(http_request request, std::shared_ptr<http_exchange> exchange);

    /** @return The response to a request that could not be read. */
    http_response makeReadFailureResponse(http_read_failure failure) const;

private:
    struct incoming_call;

    void handleExternalCall(http_request request, std::shared_ptr<http_exchange> exchange);
    void handleBackendCall(http_request request, std::shared_ptr<http_exchange> exchange);
    outcome_reason resolve(incoming_call &incoming, http_request request) const;
    outcome_reason inheritContext(incoming_call &incoming, std::string_view contextText) const;
    refusal_detail refuseEarly(const incoming_call &incoming) const;
    refusal_detail refuseByLevels(const incoming_call &incoming) const;
    void run(const std::shared_ptr<incoming_call> &incoming, std::function<void(call_result)> handler);
    void runChild(const std::shared_ptr<incoming_call> &incoming);
    void respond(const incoming_call &incoming, call_result result);
    void refuse(const std::shared_ptr<incoming_call> &incoming, outcome_reason reason);
    void refuse(const std::shared_ptr<incoming_call> &incoming, const refusal_detail &detail);
    void recordUnanswered(const call_request &request, const refusal_detail &detail);
    void answer(const std::shared_ptr<incoming_call> &incoming, call_result result);
    bool isProvablyNotRun(const call_request &request, const refusal_detail &detail) const;
    bool isHomeOf(std::string_view ticketText, std::string_view host) const;
    void voidTicket(std::string_view ticketText, std::function<void(bool voided)> handler);
    void handleAnnouncement(const http_request &request, http_exchange &exchange);
    void handleTicket(const http_request &request, http_exchange &exchange);
    void handleVoid(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    bool handleControl(const http_request &request, const std::shared_ptr<http_exchange> &exchange);

    daemon_core &m_core;
    dispatcher &m_dispatcher;
    backend_link &m_backend;
    entry_refusal_hook m_refused;
};

/** Voids a ticket whose home is this daemon. @return True if its operation is known not to have run and can no longer run. */
bool voidTicketHere(daemon_core &core, std::string_view text);

} // namespace cicadamux
