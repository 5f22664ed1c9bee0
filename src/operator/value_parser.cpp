/** @file value_parser.cpp Parsers of the values in commands. */

#include "operator/value_parser_func.h"

#include "policy/policy_reader_base.h"

#include <charconv>
#include <cmath>

namespace cicadamux::detail
{

namespace
{
constexpr std::int64_t maxSpanMs = 86'400'000; // 24 hours.

/** @return Milliseconds of a unit of time. */
std::optional<std::int64_t> unitMilliseconds(std::string_view unit)
{
    if (unit == "ms") {
        return 1;
    }
    if (unit == "s") {
        return 1'000;
    }
    if (unit == "m") {
        return 60'000;
    }
    if (unit == "h") {
        return 3'600'000;
    }
    return std::nullopt;
}
} // namespace

std::optional<std::uint64_t> parseUnsigned(std::string_view word)
{
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(word.data(), word.data() + word.size(), number);
    if (failure != std::errc() || end != word.data() + word.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<double> parseNumber(std::string_view word)
{
    double number = 0;
    const auto [end, failure] = std::from_chars(word.data(), word.data() + word.size(), number);
    if (failure != std::errc() || end != word.data() + word.size() || !std::isfinite(number) || std::signbit(number)) {
        return std::nullopt;
    }
    return number;
}

std::optional<clock_ms> parseSpan(std::string_view word)
{
    const auto digitCount = word.find_first_not_of("0123456789");
    if (digitCount == std::string_view::npos) {
        return std::nullopt;
    }
    const auto number = parseUnsigned(word.substr(0, digitCount));
    const auto unit = unitMilliseconds(word.substr(digitCount));
    if (!number || !unit || *number == 0 || *number > static_cast<std::uint64_t>(maxSpanMs / *unit)) {
        return std::nullopt;
    }
    return clock_ms{static_cast<std::int64_t>(*number) * *unit};
}

std::optional<std::vector<std::string>> parseServiceList(std::string_view word)
{
    std::vector<std::string> names;
    if (word == "nothing") {
        return names;
    }
    while (true) {
        const auto comma = word.find(',');
        const std::string_view name = word.substr(0, comma);
        if (!isPolicyName(name)) {
            return std::nullopt;
        }
        names.emplace_back(name);
        if (comma == std::string_view::npos) {
            return names;
        }
        word.remove_prefix(comma + 1);
    }
}

} // namespace cicadamux::detail
