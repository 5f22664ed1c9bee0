/** @file server_notice.cpp Reads what a backend server states about itself in the headers of its answers. */

#include "sidecar/server_notice_func.h"

#include <algorithm>
#include <charconv>

namespace cicadamux
{

namespace
{
constexpr std::string_view leavingValue = "1";

bool hasField(std::span<const http_field> headers, std::string_view name, std::string_view value)
{
    return std::ranges::any_of(headers, [name, value](const http_field &field) {
        return sameHeaderName(field.name, name) && field.value == value;
    });
}

void readRate(std::span<const http_field> headers, std::string_view name, server_notice &notice)
{
    for (const http_field &field : headers) {
        if (!sameHeaderName(field.name, name)) {
            continue;
        }
        const std::optional<double> parsed = parseRate(field.value);
        const bool isOnly = notice.rate == rate_statement::none;
        notice.rate = parsed && isOnly ? rate_statement::stated : rate_statement::unreadable;
        notice.maxRate = parsed.value_or(0);
    }
}
} // namespace

std::string_view toString(rate_statement statement)
{
    switch (statement) {
    case rate_statement::stated:
        return "stated";
    case rate_statement::unreadable:
        return "unreadable";
    case rate_statement::none:
        break;
    }
    return "none";
}

std::optional<double> parseRate(std::string_view text)
{
    if (text.find_first_not_of("0123456789.") != std::string_view::npos) {
        return std::nullopt;
    }
    double rate = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), rate, std::chars_format::fixed);
    if (failure != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return rate;
}

server_notice readServerNotice(std::span<const http_field> headers, const wire_headers &names)
{
    server_notice notice;
    readRate(headers, names.serverRate, notice);
    notice.leaving = hasField(headers, names.serverLeaving, leavingValue);
    return notice;
}

} // namespace cicadamux
