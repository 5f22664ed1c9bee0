/** @file own_answer.cpp Answers that no backend server made. */

#include "sidecar/own_answer_func.h"

#include "http/http_status_type.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace cicadamux
{

namespace
{
constexpr clock_ms leastRetryAfter{50}; ///< For Retry-After.
constexpr clock_ms unreadRetry{500}; ///< Retry-After while a bound of the process is reached.

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

/** For requests that weren't even read. */
http_response makeRefusal(std::string_view text)
{
    http_response response = makeFailure(http_status::unavailable, text);
    response.headers.push_back({"Retry-After", formatSeconds(unreadRetry)});
    return response;
}

unsigned failureStatus(bool isUnknown, outcome_reason reason)
{
    switch (reason) {
    case outcome_reason::bad_request:
        return http_status::badRequest;
    case outcome_reason::no_route:
        return http_status::notFound;
    default:
        break;
    }
    if (!isUnknown) {
        return http_status::unavailable;
    }
    return reason == outcome_reason::answer_timeout ? http_status::gatewayTimeout : http_status::badGateway;
}
} // namespace

http_response malformedAnswer(http_read_failure failure)
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
    case http_read_failure::too_much_held:
        return makeRefusal("too many bytes held");
    case http_read_failure::malformed:
    case http_read_failure::truncated:
        break;
    }
    return makeFailure(http_status::badRequest, "malformed request");
}

http_response ownAnswer(const entered_request &entered, outcome_reason reason, std::string_view idHeader)
{
    const unsigned status = failureStatus(entered.isUnknown, reason);
    http_response response = makeFailure(status, toString(reason));
    if (!entered.requestId.empty()) {
        response.headers.push_back({std::string(idHeader), entered.requestId});
    }
    if (status == http_status::unavailable) {
        response.headers.push_back({"Retry-After", formatSeconds(std::max(leastRetryAfter, entered.retryAfter))});
    }
    return response;
}

} // namespace cicadamux
