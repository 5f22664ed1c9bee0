/** @file request_intake.cpp Determines an arriving request's route, service, time limit and origin, and whether it is admitted. */

#include "sidecar/request_intake_base.h"

#include "http/http_fields_func.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace cicadamux
{

namespace
{
constexpr clock_ms defaultTimeLimit{30'000}; ///< If neither the caller gives a deadline nor the route a time-out.
constexpr clock_ms notConfiguredRetry{500}; ///< Retry-After before the first configuration.
constexpr clock_ms unreadRetry{100}; ///< Retry-After for a request that may be too old: a repeat is surely younger.

std::optional<clock_ms> readMilliseconds(std::optional<std::string_view> text)
{
    std::int64_t number = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), number).ec != std::errc()) {
        return std::nullopt;
    }
    return clock_ms{std::max<std::int64_t>(0, number)};
}

std::size_t countHeaders(std::span<const http_field> headers, std::string_view name)
{
    return static_cast<std::size_t>(std::ranges::count_if(headers, [name](const http_field &field) {
        return sameHeaderName(field.name, name);
    }));
}
} // namespace

request_intake::request_intake(sidecar_core &core, const running_calls &running)
    : m_core(core)
    , m_running(running)
    , m_admission({}, threadRandom)
{
}

outcome_reason request_intake::admit(inbound_request &inbound, http_request request)
{
    const wire_headers &names = m_core.adapter.headers;
    inbound.requestId = std::string(findHeader(request.headers, names.requestId).value_or(""));
    if (countHeaders(request.headers, "host") != 1) { // RFC 9112, section 3.2.
        return outcome_reason::bad_request;
    }
    if (m_core.routes.version() == 0) {
        inbound.retryAfter = notConfiguredRetry;
        return outcome_reason::no_policy;
    }
    inbound.route = m_core.routes.find(findHeader(request.headers, "host").value_or(""), request.target);
    if (inbound.route == nullptr) {
        return outcome_reason::no_route;
    }
    if (inbound.requestId.empty()) {
        return outcome_reason::bad_request;
    }
    inbound.configuration = m_core.routes.current();
    inbound.service = m_core.routes.selectService(*inbound.route);
    const clock_ms deadline = readMilliseconds(findHeader(request.headers, names.deadline)).value_or(defaultTimeLimit);
    findOrigin(inbound, deadline);
    m_core.repeats.countRequest(inbound.service, {inbound.isCall, inbound.repeatWeight}, inbound.arrivedAt);
    const clock_ms timeout = inbound.route->timeout;
    inbound.limit = inbound.arrivedAt + (timeout.count > 0 ? std::min(deadline, timeout) : deadline) - m_core.stalls.maxUnreadTime();
    if (inbound.limit <= inbound.arrivedAt) {
        inbound.retryAfter = unreadRetry;
        return outcome_reason::deadline_passed;
    }
    if (m_core.wouldBeCutOff(inbound.arrivedAt, inbound.limit)) {
        inbound.retryAfter = m_core.stop->end() - inbound.arrivedAt;
        return outcome_reason::draining;
    }
    if (refusesEarly(inbound)) {
        return outcome_reason::overloaded;
    }
    removeOwnHeaders(request.headers);
    inbound.request = std::move(request);
    return outcome_reason::none;
}

/** Determines whether a run of this host's backend server made the request, and which one. */
void request_intake::findOrigin(inbound_request &inbound, clock_ms deadline)
{
    parent_match found = m_running.find(inbound.arrivedAt + deadline);
    inbound.isCall = m_originClassifier.observe(inbound.route->name, deadline, found.isFound());
    inbound.isLikelyRetry = !inbound.isCall && m_originClassifier.isLikelyRetry(inbound.route->name, deadline);
    if (inbound.isCall) {
        inbound.repeatWeight = found.isFound() ? found.repeatWeight : m_running.meanRepeatWeight();
        inbound.parents = std::move(found);
    }
}

/** Refuses client requests of a route whose runs lose downstream calls; calls of the backend server are never refused here. */
bool request_intake::refusesEarly(inbound_request &inbound)
{
    if (inbound.isCall) {
        return false;
    }
    const route_decision decision = m_admission.decide(inbound.route->name, inbound.route->rank, inbound.isLikelyRetry);
    if (!decision.admitted) {
        inbound.retryAfter = decision.retryAfter;
        inbound.admittedFraction = decision.admittedFraction;
    }
    return !decision.admitted;
}

/** Removes hop-by-hop headers, and those that the gate sets itself. */
void request_intake::removeOwnHeaders(std::vector<http_field> &headers) const
{
    const wire_headers &names = m_core.adapter.headers;
    std::erase_if(headers, [&names](const http_field &field) {
        return isHopByHop(field.name) || sameHeaderName(field.name, names.requestId) || sameHeaderName(field.name, names.deadline)
            || sameHeaderName(field.name, names.expectedServer) || sameHeaderName(field.name, names.callerService) || sameHeaderName(field.name, "expect");
    });
}

void request_intake::runEnded(const inbound_request &inbound, bool lostCallForRoom)
{
    if (!inbound.isCall) {
        m_admission.runEnded(inbound.route->name, lostCallForRoom);
    }
}

} // namespace cicadamux
