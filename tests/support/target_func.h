/** @file target_func.h Parsing of a request's target. */

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::test
{

/** A target such as `/watch/KIND?cursor=41`. Percent-encoding is not decoded. */
struct request_target {
    std::vector<std::string> path; ///< Segments.
    std::map<std::string, std::string> query;
};

request_target splitTarget(std::string_view target);

/** @return The number; nothing unless the whole text is a decimal number. */
std::optional<std::int64_t> parseNumber(std::string_view text);

/** @return A number from the query; `defaultValue` if it is absent or not a number. */
std::int64_t numberOf(const request_target &target, const std::string &key, std::int64_t defaultValue);

} // namespace cicadamux::test
