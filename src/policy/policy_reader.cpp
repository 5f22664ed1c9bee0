/** @file policy_reader.cpp Reads and validates the keys of one JSON object of a policy. */

#include "policy/policy_reader_base.h"

#include "store/store_type.h"

#include <algorithm>
#include <set>

namespace cicadamux::detail
{

namespace
{
constexpr std::size_t maxOperationId = 64; ///< Maximum length in characters.

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
}

bool isOperationIdCharacter(char character)
{
    return isNameCharacter(character) || (character >= 'A' && character <= 'Z') || character == '.' || character == '_' || character == ':';
}

std::string describeRange(std::uint64_t minimum, std::uint64_t maximum)
{
    return "whole number, " + std::to_string(minimum) + " to " + std::to_string(maximum);
}

std::string describeNumber(double number)
{
    return boost::json::serialize(boost::json::value(static_cast<std::int64_t>(number)));
}

/** @return The value as a non-negative whole number, which Boost.JSON may hold as signed or unsigned; null otherwise. */
const std::uint64_t *toWholeNumber(const boost::json::value &value, std::uint64_t &storage)
{
    if (const std::int64_t *number = value.if_int64(); number != nullptr && *number >= 0) {
        storage = static_cast<std::uint64_t>(*number);
        return &storage;
    }
    return value.if_uint64();
}
} // namespace

bool isPolicyName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && std::ranges::all_of(text, isNameCharacter);
}

boost::json::object parsePolicyDocument(std::string_view json)
{
    if (json.size() > maxObjectSize) {
        throw policy_error({{"(document)", "too large", "at most " + std::to_string(maxObjectSize) + " bytes"}});
    }
    boost::system::error_code failure;
    boost::json::value parsed = boost::json::parse(json, failure);
    if (failure) {
        throw policy_error({{"(document)", "not JSON: " + failure.message(), "a JSON object"}});
    }
    if (!parsed.is_object()) {
        throw policy_error({{"(document)", "wrong type", "a JSON object"}});
    }
    return std::move(parsed.as_object());
}

policy_reader::policy_reader(const boost::json::object &source, std::string path, std::vector<policy_fault> &faults)
    : m_source(source)
    , m_path(std::move(path))
    , m_faults(faults)
{
}

std::string policy_reader::name(std::string_view key)
{
    const auto *value = find(key, presence::required, nameAllowed);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        fault(key, "wrong type", std::string(nameAllowed));
        return {};
    }
    std::string text(value->as_string());
    if (!isPolicyName(text)) {
        fault(key, "malformed name", std::string(nameAllowed));
    }
    return text;
}

std::string policy_reader::operationId(std::string_view key)
{
    const std::string allowed = "text, [A-Za-z0-9._:-]{1,64}";
    const auto *value = find(key, presence::required, allowed);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        fault(key, "wrong type", allowed);
        return {};
    }
    std::string text(value->as_string());
    if (text.empty() || text.size() > maxOperationId || !std::ranges::all_of(text, isOperationIdCharacter)) {
        fault(key, "malformed operation id", allowed);
    }
    return text;
}

bool policy_reader::flag(std::string_view key)
{
    const auto *value = find(key, presence::optional, {});
    if (value == nullptr) {
        return false;
    }
    if (!value->is_bool()) {
        fault(key, "wrong type", "true or false");
        return false;
    }
    return value->as_bool();
}

std::uint64_t policy_reader::wholeNumber(std::string_view key, presence keyPresence, const whole_number_range &range)
{
    const std::string allowed = describeRange(range.minimum, range.maximum);
    const auto *value = find(key, keyPresence, allowed);
    if (value == nullptr) {
        return range.defaultValue;
    }
    if (!value->is_int64() && !value->is_uint64()) {
        fault(key, "wrong type", allowed);
        return range.defaultValue;
    }
    std::uint64_t storage = 0;
    const std::uint64_t *result = toWholeNumber(*value, storage);
    if (result == nullptr || *result < range.minimum || *result > range.maximum) {
        fault(key, "out of range", allowed);
        return range.defaultValue;
    }
    return *result;
}

double policy_reader::number(std::string_view key, double minimum, double maximum, double defaultValue)
{
    const std::string allowed = "number, over " + describeNumber(minimum) + " to " + describeNumber(maximum);
    const auto *value = find(key, presence::optional, allowed);
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->is_number()) {
        fault(key, "wrong type", allowed);
        return defaultValue;
    }
    const auto result = value->to_number<double>();
    if (!(result > minimum && result <= maximum)) {
        fault(key, "out of range", allowed);
        return defaultValue;
    }
    return result;
}

bool policy_reader::isSecondChoice(std::string_view key, std::string_view first, std::string_view other)
{
    const auto *value = find(key, presence::optional, {});
    if (value == nullptr) {
        return false;
    }
    const std::string allowed = '"' + std::string(first) + "\" or \"" + std::string(other) + '"';
    if (!value->is_string()) {
        fault(key, "wrong type", allowed);
        return false;
    }
    const std::string_view text = value->as_string();
    if (text != first && text != other) {
        fault(key, "unknown value", allowed);
    }
    return text == other;
}

std::vector<std::string> policy_reader::names(std::string_view key, std::size_t maximum)
{
    const auto *value = find(key, presence::optional, {});
    if (value == nullptr) {
        return {};
    }
    const std::string allowed = "list of at most " + std::to_string(maximum) + " different names, [a-z0-9-]{1,63}";
    if (!value->is_array() || value->as_array().size() > maximum) {
        fault(key, value->is_array() ? "too many" : "wrong type", allowed);
        return {};
    }
    std::vector<std::string> result;
    std::set<std::string> seen;
    for (std::size_t index = 0; index < value->as_array().size(); ++index) {
        const auto *text = value->as_array()[index].if_string();
        const std::string at = std::string(key) + '[' + std::to_string(index) + ']';
        if (text == nullptr) {
            fault(at, "wrong type", allowed);
        } else if (!isPolicyName(*text)) {
            fault(at, "malformed name", allowed);
        } else if (!seen.emplace(*text).second) {
            fault(at, "duplicate", allowed);
        } else {
            result.emplace_back(*text);
        }
    }
    return result;
}

const boost::json::array *policy_reader::list(std::string_view key, std::size_t minimum, std::size_t maximum)
{
    const std::string allowed = "list of " + std::to_string(minimum) + " to " + std::to_string(maximum) + " objects";
    const auto *value = find(key, presence::required, allowed);
    if (value == nullptr) {
        return nullptr;
    }
    const auto *result = value->if_array();
    if (result == nullptr) {
        fault(key, "wrong type", allowed);
        return nullptr;
    }
    if (result->size() < minimum || result->size() > maximum) {
        fault(key, "out of range", allowed);
        return nullptr;
    }
    return result;
}

void policy_reader::reportUnknownKeys()
{
    std::string allowed = "one of";
    for (const std::string &key : m_readKeys) {
        allowed += ' ' + key;
    }
    for (const auto &pair : m_source) {
        if (std::ranges::find(m_readKeys, std::string_view(pair.key())) == m_readKeys.end()) {
            fault(pair.key(), "unknown key", allowed);
        }
    }
}

void policy_reader::fault(std::string_view key, std::string problem, std::string allowed)
{
    m_faults.push_back({m_path + std::string(key), std::move(problem), std::move(allowed)});
}

const boost::json::value *policy_reader::find(std::string_view key, presence keyPresence, std::string_view allowed)
{
    m_readKeys.emplace_back(key);
    const auto *value = m_source.if_contains(key);
    if (value == nullptr && keyPresence == presence::required) {
        fault(key, "missing", std::string(allowed));
    }
    return value;
}

} // namespace cicadamux::detail
