/** @file target.cpp Parsing of a request's target. */

#include "support/target_func.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace cicadamux::test
{

request_target splitTarget(std::string_view target)
{
    request_target result;
    const std::pair<std::string, std::string> halves = absl::StrSplit(std::string(target), absl::MaxSplits('?', 1));
    result.path = absl::StrSplit(halves.first, '/', absl::SkipEmpty());
    for (const auto &item : absl::StrSplit(halves.second, '&', absl::SkipEmpty())) {
        const std::pair<std::string, std::string> pair = absl::StrSplit(item, absl::MaxSplits('=', 1));
        result.query.insert(pair);
    }
    return result;
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(std::string(text), &number)) {
        return std::nullopt;
    }
    return number;
}

std::int64_t numberOf(const request_target &target, const std::string &key, std::int64_t defaultValue)
{
    const auto found = target.query.find(key);
    if (found == target.query.end()) {
        return defaultValue;
    }
    return parseNumber(found->second).value_or(defaultValue);
}

} // namespace cicadamux::test
