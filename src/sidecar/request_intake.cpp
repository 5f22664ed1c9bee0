/** @file request_intake.cpp Decides what a request that arrives is: its route, its service, its time, who made it, and whether it may enter. */

#include "sidecar/request_intake_base.h"

#include "http/http_fields_func.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace cicadamux
{

namespace
{
constexpr clock_ms defaultTimeLimit{30'000}; ///< For a caller that says no deadline and a route without a time-out.
constexpr clock_ms notConfiguredRetry{500}; ///< Retry-After before the first configuration.

std::optional<clock_ms> readMilliseconds(std::optional<std::string_view> text)
{
    std::int64_t number = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), number).ec != std::errc()) {
        return std::nullopt;
    }
    return clock_ms{std::max<std::int64_t>(0, number)};
}
} // namespace

request_intake::request_intake(sidecar_core &core, const running_calls &running)
    : m_core(core)
    , m_running(running)
    , m_admission({}, threadRandom)
{
}

outcome_reason request_intake::take(entered_request &entered, http_request request)
{
    const wire_headers &names = m_core.adapter.headers;
    entered.requestId = std::string(findHeader(request.headers, names.requestId).value_or(""));
    if (m_core.routes.version() == 0) {
        entered.retryAfter = notConfiguredRetry;
        return outcome_reason::no_policy;
    }
    entered.route = m_core.routes.find(findHeader(request.headers, "host").value_or(""), request.target);
    if (entered.route == nullptr) {
        return outcome_reason::no_route;
    }
    if (entered.requestId.empty()) {
        return outcome_reason::bad_request;
    }
    entered.configuration = m_core.routes.current();
    entered.service = m_core.routes.drawService(*entered.route);
    const clock_ms deadline = readMilliseconds(findHeader(request.headers, names.deadline)).value_or(defaultTimeLimit);
    findOrigin(entered, deadline);
    m_core.repeats.countRequest(entered.service, {entered.isCall, entered.repeatWeight}, entered.arrivedAt);
    const clock_ms timeout = entered.route->timeout;
    entered.limit = entered.arrivedAt + (timeout.count > 0 ? std::min(deadline, timeout) : deadline);
    if (refusesEarly(entered)) {
        return outcome_reason::overloaded;
    }
    removeOwnHeaders(request.headers);
    entered.request = std::move(request);
    return outcome_reason::none;
}

/** Finds out whether a run of the own backend server made the request, and which one. */
void request_intake::findOrigin(entered_request &entered, clock_ms deadline)
{
    parent_match found = m_running.find(entered.arrivedAt + deadline);
    entered.isCall = m_origin.note(entered.route->name, deadline, found.isFound());
    entered.returns = !entered.isCall && m_origin.returns(entered.route->name, deadline);
    if (entered.isCall) {
        entered.repeatWeight = found.isFound() ? found.repeatWeight : m_running.meanRepeatWeight();
        entered.parents = std::move(found);
    }
}

/** Refuses a client's request while its route's runs lose calls further down; calls of runs are never refused here. */
bool request_intake::refusesEarly(entered_request &entered)
{
    if (entered.isCall) {
        return false;
    }
    const route_decision decision = m_admission.decide(entered.route->name, entered.route->rank, entered.returns);
    if (!decision.admitted) {
        entered.retryAfter = decision.retryAfter;
        entered.admittedPart = decision.admittedPart;
    }
    return !decision.admitted;
}

/** Removes what concerns one connection only, and what the gate sets itself. */
void request_intake::removeOwnHeaders(std::vector<http_field> &headers) const
{
    const wire_headers &names = m_core.adapter.headers;
    std::erase_if(headers, [&names](const http_field &field) {
        return isHopByHop(field.name) || sameHeaderName(field.name, names.requestId) || sameHeaderName(field.name, names.deadline)
            || sameHeaderName(field.name, names.expectedServer) || sameHeaderName(field.name, names.callerService) || sameHeaderName(field.name, "expect");
    });
}

void request_intake::runEnded(const entered_request &entered, bool lostCallForRoom)
{
    if (!entered.isCall) {
        m_admission.runEnded(entered.route->name, lostCallForRoom);
    }
}

} // namespace cicadamux
