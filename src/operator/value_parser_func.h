/** @file value_parser_func.h Values inside commands. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::detail
{

/** Parses a time such as `500ms`, `30s`, `5m`, `1h`, of at most 24 hours. */
std::optional<clock_ms> parseSpan(std::string_view word);

/** Parses a decimal number that isn't negative. */
std::optional<double> parseNumber(std::string_view word);

/** Parses a whole number. */
std::optional<std::uint64_t> parseWhole(std::string_view word);

/** Parses names joined by commas; `nothing` is the empty list. */
std::optional<std::vector<std::string>> parseServiceList(std::string_view word);

} // namespace cicadamux::detail
