/** @file value_parser_func.h Parsers of the values in commands. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::detail
{

/** Parses a duration such as `500ms`, `30s`, `5m` or `1h`, more than 0 and at most 24 hours. */
std::optional<clock_ms> parseSpan(std::string_view word);

/** Parses a finite, non-negative decimal number. */
std::optional<double> parseNumber(std::string_view word);

/** Parses a non-negative integer. */
std::optional<std::uint64_t> parseUnsigned(std::string_view word);

/** Parses comma-separated names; `nothing` is the empty list. */
std::optional<std::vector<std::string>> parseServiceList(std::string_view word);

} // namespace cicadamux::detail
