/** @file placeholder_table.cpp Table of the placeholders in the grammars and the values that they accept. */

#include "operator/command_table.h"
#include "operator/value_parser_func.h"

#include "policy/policy_reader_base.h"

#include <array>

namespace cicadamux::detail
{

namespace
{
constexpr std::array<std::string_view, 5> groupings = {"reason", "rank", "class", "service", "data-center"};
constexpr std::array<std::string_view, 2> yesNo = {"yes", "no"};
constexpr std::array<std::string_view, 2> kinds = {"strict", "late-ok"};

bool isSpan(std::string_view word)
{
    return parseSpan(word).has_value();
}

bool isRoot(std::string_view word)
{
    return fromHex(word).value_or(0) != 0;
}

bool isOperationPath(std::string_view word)
{
    const auto slash = word.find('/');
    return slash != std::string_view::npos && isPolicyName(word.substr(0, slash)) && isPolicyName(word.substr(slash + 1));
}

bool isNumber(std::string_view word)
{
    return parseNumber(word).has_value();
}

bool isUnsigned(std::string_view word)
{
    return parseUnsigned(word).has_value();
}

bool isServiceList(std::string_view word)
{
    return parseServiceList(word).has_value();
}

bool isHostName(std::string_view word)
{
    return !word.empty() && word.size() <= maxNameLength && word.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789.-") == std::string_view::npos;
}

bool isJsonObject(std::string_view word)
{
    return word.starts_with('{');
}

const std::array<placeholder_row, 16> rows = {{
    {"SERVICE", "name of a service", isPolicyName, {}},
    {"SERVICE/OPERATION", "names of a service and its operation, such as pitchdesk/hold", isOperationPath, {}},
    {"SERVICES", "comma-separated names of services, or `nothing`", isServiceList, {}},
    {"OBJECT", "name of a service, or `ranks`", isPolicyName, {}},
    {"RANK", "name of a rank", isPolicyName, {}},
    {"CLASS", "name of a class", isPolicyName, {}},
    {"HOST", "name of a host", isHostName, {}},
    {"DATA-CENTER", "name of a data centre", isHostName, {}},
    {"SPAN", "duration such as 500ms, 30s, 5m or 1h", isSpan, {}},
    {"ROOT", "root id, 16 hexadecimal digits, not all 0", isRoot, {}},
    {"NUMBER", "non-negative number", isNumber, {}},
    {"COUNT", "whole number", isUnsigned, {}},
    {"KEY", "reason, rank, class, service or data-center", nullptr, groupings},
    {"YES-NO", "yes or no", nullptr, yesNo},
    {"KIND", "strict or late-ok", nullptr, kinds},
    {"JSON", "JSON object up to the end of the line", isJsonObject, {}},
}};
} // namespace

std::span<const placeholder_row> placeholderRows()
{
    return rows;
}

} // namespace cicadamux::detail
