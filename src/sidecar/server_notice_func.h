/** @file server_notice_func.h Reads what a backend server states about itself in the headers of its answers. */

#pragma once

#include "http/http_type.h"
#include "sidecar/sidecar_adapter_type.h"

#include <optional>
#include <span>
#include <string_view>

namespace cicadamux
{

/** How an answer states the request rate that its server takes. */
enum class rate_statement : std::uint8_t {
    none, ///< The answer has no such header: the server takes any rate.
    stated,
    unreadable ///< The value is no decimal number, or there are several.
};

/** @return The name used in logs, such as `stated`. */
std::string_view toString(rate_statement statement);

/** What a backend server states about itself in one answer. */
struct server_notice {
    rate_statement rate = rate_statement::none;
    double maxRate = 0; ///< Requests a second that it takes from all hosts together; only if `stated`.
    bool leaving = false; ///< It ends soon and takes no new requests.

    bool operator==(const server_notice &) const = default;
};

server_notice readServerNotice(std::span<const http_field> headers, const wire_headers &names);

/** Parses a decimal number without sign or exponent; nothing for any other text. */
std::optional<double> parseRate(std::string_view text);

} // namespace cicadamux
