/** @file http_fields_func.h Conversion between Beast or Asio types and those of the program. */

#pragma once

#include "http/http_type.h"

#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <vector>

namespace cicadamux::detail
{

/** Copies all headers except `content-length` and `transfer-encoding`, which frame the body. */
std::vector<http_field> copyHeaders(const boost::beast::http::fields &fields);

/** Converts a duration for Asio timers. */
inline std::chrono::milliseconds toChrono(clock_ms span)
{
    return std::chrono::milliseconds(span.count);
}

} // namespace cicadamux::detail
