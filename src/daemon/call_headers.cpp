/** @file call_headers.cpp The `cicadamux-` headers of calls and responses. */

#include "daemon/call_headers_func.h"

#include "policy/policy_type.h"

#include <algorithm>
#include <charconv>

namespace cicadamux
{

namespace
{

constexpr std::size_t maxTicketLength = 512; ///< In characters.

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && std::ranges::all_of(text, [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
    });
}

std::string readName(std::span<const http_field> headers, std::string_view name)
{
    const auto value = findHeader(headers, name);
    if (!value || !isName(*value)) {
        throw call_header_error(std::string(name) + " is missing or not a name");
    }
    return std::string(*value);
}

std::optional<clock_ms> readDeadline(std::span<const http_field> headers)
{
    const auto value = findHeader(headers, "cicadamux-deadline-ms");
    if (!value) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(value->data(), value->data() + value->size(), milliseconds);
    const bool isInteger = parsed.ec == std::errc() && parsed.ptr == value->data() + value->size();
    if (!isInteger || milliseconds < 1 || milliseconds > maxDeadline) {
        throw call_header_error("cicadamux-deadline-ms is not a whole number from 1 to 600000");
    }
    return clock_ms{milliseconds};
}

std::string readTicket(std::span<const http_field> headers)
{
    const auto value = findHeader(headers, "cicadamux-ticket");
    if (value && value->size() > maxTicketLength) {
        throw call_header_error("cicadamux-ticket is too long");
    }
    return std::string(value.value_or(""));
}

} // namespace

call_headers readCallHeaders(std::span<const http_field> headers)
{
    call_headers read;
    read.service = readName(headers, "cicadamux-service");
    read.operation = readName(headers, "cicadamux-operation");
    read.deadline = readDeadline(headers);
    read.ticket = readTicket(headers);
    return read;
}

http_response makeCallResponse(call_result result, root_id root, rank_id rank)
{
    http_response response;
    response.headers = std::move(result.headers);
    if (result.outcome == call_outcome::answered) {
        response.status = result.status;
        response.body = std::move(result.body);
    } else {
        response = makeJsonResponse(statusOf(result.detail.reason), formatRefusal(result.detail, root, rank));
        response.headers.push_back({"cicadamux-reason", std::string(toString(result.detail.reason))});
    }
    response.headers.push_back({"cicadamux-outcome", std::string(toString(result.outcome))});
    response.headers.push_back({"cicadamux-root", toHex(root.value)});
    return response;
}

http_response makeJsonResponse(unsigned status, std::string json)
{
    http_response response;
    response.status = status;
    response.headers.push_back({"content-type", "application/json"});
    response.body = std::move(json);
    return response;
}

} // namespace cicadamux
