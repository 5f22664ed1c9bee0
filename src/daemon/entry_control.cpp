/** @file entry_control.cpp Requests addressed to the daemon itself: announcements and tickets. */

#include "core/log_func.h"
#include "daemon/call_entry_base.h"
#include "daemon/call_headers_func.h"
#include "http/http_status_type.h"
#include "ticket/ticket_func.h"

#include <boost/json.hpp>

namespace cicadamux
{

namespace
{
constexpr std::int64_t voidTimeout = 1'000; ///< Milliseconds.

http_response makeError(unsigned status, std::string_view reason, std::string_view text)
{
    boost::json::object body;
    body["outcome"] = "not-run";
    body["reason"] = reason;
    body["detail"] = text;
    return makeJsonResponse(status, boost::json::serialize(body));
}

http_response makeVoidResponse(bool voided)
{
    return makeJsonResponse(http_status::ok, voided ? R"({"voided":true})" : R"({"voided":false})");
}
} // namespace

bool call_entry::handleControl(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
{
    if (request.target == "/cicadamux/ticket") {
        handleTicket(request, *exchange);
        return true;
    }
    if (request.target == "/cicadamux/ticket/void") {
        handleVoid(request, exchange);
        return true;
    }
    return false;
}

bool voidTicketHere(daemon_core &core, std::string_view text)
{
    try {
        return core.tickets.voidTicket(decodeTicket(text, core.settings.fleetKey), wallNow());
    } catch (const ticket_error &) {
        return false;
    }
}

void call_entry::handleAnnouncement(const http_request &request, http_exchange &exchange)
{
    try {
        m_backend.announce(request.body, steadyNow());
    } catch (const announcement_error &failure) {
        exchange.respond(makeError(http_status::badRequest, "bad_request", failure.what()));
        return;
    }
    boost::json::object body;
    body["accepted"] = true;
    body["in_flight"] = m_core.activeCalls.size();
    exchange.respond(makeJsonResponse(http_status::ok, boost::json::serialize(body)));
}

void call_entry::handleTicket(const http_request &request, http_exchange &exchange)
{
    call_headers headers;
    try {
        headers = readCallHeaders(request.headers);
    } catch (const call_header_error &failure) {
        exchange.respond(makeError(http_status::badRequest, "bad_request", failure.what()));
        return;
    }
    const auto policies = m_core.policies.load();
    const auto found = policies->find(headers.service, headers.operation);
    if (!found || !found->rule->atMostOnce) {
        exchange.respond(makeError(http_status::notFound, "no_policy", "no at-most-once operation of this name"));
        return;
    }
    const auto home = m_core.routes.choose(headers.service, {}, steadyNow());
    if (!home) {
        exchange.respond(makeError(http_status::unavailable, "no_upstream", "no upstream of the service is known"));
        return;
    }
    ticket issued;
    issued.nonce = secureRandom();
    issued.homeHost = home->host;
    issued.homeIncarnation = home->incarnation;
    issued.service = headers.service;
    issued.operation = headers.operation;
    issued.expiry = wallNow() + clock_ms{ticketLifetime};
    boost::json::object body;
    body["ticket"] = encodeTicket(issued, m_core.settings.fleetKey);
    body["expires_ms"] = ticketLifetime;
    exchange.respond(makeJsonResponse(http_status::ok, boost::json::serialize(body)));
}

void call_entry::handleVoid(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
{
    const std::string text(findHeader(request.headers, "cicadamux-ticket").value_or(""));
    try {
        decodeTicket(text, m_core.settings.fleetKey);
    } catch (const ticket_error &failure) {
        exchange->respond(makeError(http_status::badRequest, toString(failure.reason()), failure.what()));
        return;
    }
    voidTicket(text, [exchange](bool voided) {
        exchange->respond(makeVoidResponse(voided));
    });
}

void call_entry::voidTicket(std::string_view ticketText, std::function<void(bool voided)> handler)
{
    ticket subject;
    try {
        subject = decodeTicket(ticketText, m_core.settings.fleetKey);
    } catch (const ticket_error &) {
        handler(true); // Not a valid ticket: nothing can have run with it.
        return;
    }
    if (subject.homeHost == m_core.settings.host) {
        handler(m_core.tickets.voidTicket(subject, wallNow()));
        return;
    }
    const auto home = m_core.routes.find(subject.service, subject.homeHost);
    if (!home) {
        handler(false);
        return;
    }
    m_core.peers.voidTicket(home->peerAddress, ticketText, clock_ms{voidTimeout}, std::move(handler));
}

bool call_entry::isHomeOf(std::string_view ticketText, std::string_view host) const
{
    try {
        return decodeTicket(ticketText, m_core.settings.fleetKey).homeHost == host;
    } catch (const ticket_error &) {
        return false;
    }
}

} // namespace cicadamux
