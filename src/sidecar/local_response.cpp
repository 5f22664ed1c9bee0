/** @file local_response.cpp Responses that the sidecar makes itself, without a backend server. */

#include "sidecar/local_response_func.h"

#include "http/http_status_type.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace cicadamux
{

namespace
{
constexpr clock_ms leastRetryAfter{50}; ///< Lower bound of Retry-After.
constexpr clock_ms unreadRetry{500}; ///< Retry-After while a resource limit of the process is reached.

http_response makeFailure(unsigned status, std::string_view text)
{
    http_response response;
    response.status = status;
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = std::string(text) + "\n";
    return response;
}

std::string formatSeconds(clock_ms span)
{
    std::array<char, 32> text{};
    constexpr double second = 1'000; // Milliseconds.
    std::snprintf(text.data(), text.size(), "%.2f", static_cast<double>(span.count) / second);
    return text.data();
}

/** Refusal of a request that was not read. */
http_response makeRefusal(std::string_view text)
{
    http_response response = makeFailure(http_status::unavailable, text);
    response.headers.push_back({"Retry-After", formatSeconds(unreadRetry)});
    return response;
}

unsigned failureStatus(bool mayHaveRun, outcome_reason reason)
{
    switch (reason) {
    case outcome_reason::bad_request:
        return http_status::badRequest;
    case outcome_reason::no_route:
        return http_status::notFound;
    default:
        break;
    }
    if (!mayHaveRun) {
        return http_status::unavailable;
    }
    return reason == outcome_reason::answer_timeout ? http_status::gatewayTimeout : http_status::badGateway;
}
} // namespace

http_response makeReadFailureResponse(http_read_failure failure)
{
    switch (failure) {
    case http_read_failure::header_too_large:
        return makeFailure(http_status::headerTooLarge, "header too large");
    case http_read_failure::body_too_large:
        return makeFailure(http_status::contentTooLarge, "body too large");
    case http_read_failure::too_slow:
        return makeFailure(http_status::requestTimeout, "request too slow");
    case http_read_failure::too_many_connections:
        return makeRefusal("too many connections");
    case http_read_failure::memory_exhausted:
        return makeRefusal("too many bytes held");
    case http_read_failure::handler_failed:
        return makeFailure(http_status::badGateway, "internal error");
    case http_read_failure::malformed:
    case http_read_failure::truncated:
        break;
    }
    return makeFailure(http_status::badRequest, "malformed request");
}

http_response makeLocalResponse(const inbound_request &inbound, outcome_reason reason, std::string_view idHeader)
{
    const unsigned status = failureStatus(inbound.mayHaveRun, reason);
    http_response response = makeFailure(status, toString(reason));
    if (!inbound.requestId.empty()) {
        response.headers.push_back({std::string(idHeader), inbound.requestId});
    }
    if (status == http_status::unavailable) {
        response.headers.push_back({"Retry-After", formatSeconds(std::max(leastRetryAfter, inbound.retryAfter))});
    }
    return response;
}

} // namespace cicadamux
