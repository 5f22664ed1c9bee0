/** @file settings_read.cpp Parses a settings document according to the table of settings and collects all faults. */

#include "settings/settings_func.h"

#include "settings/settings_table.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

namespace cicadamux
{

namespace
{
using detail::setting_accessor;
using detail::setting_row;
using detail::text_form;

constexpr std::size_t maxFileBytes = 1'048'576;

constexpr const char *wrongType = "wrong type";
constexpr const char *outOfRange = "out of range";
constexpr const char *malformed = "malformed";

std::string describeFaults(const std::vector<settings_fault> &faults)
{
    std::string text = "settings refused:";
    for (const settings_fault &fault : faults) {
        text += "\n  " + fault.path + ": " + fault.problem + " (allowed: " + fault.allowed + ")";
    }
    return text;
}

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-' || character == '.';
}

bool isName(std::string_view text)
{
    constexpr std::size_t maxLength = 63;
    return !text.empty() && text.size() <= maxLength && std::ranges::all_of(text, isNameCharacter);
}

bool isPort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), port);
    return failure == std::errc() && end == text.data() + text.size();
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1))) {
        return false;
    }
    boost::system::error_code failure;
    boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), failure);
    return !failure;
}

bool matchesForm(std::string_view text, text_form form)
{
    if (text.size() > detail::maxTextLength) {
        return false;
    }
    switch (form) {
    case text_form::name:
        return isName(text);
    case text_form::address:
        return isAddress(text);
    case text_form::address_or_empty:
        return text.empty() || isAddress(text);
    case text_form::secret:
        return text.size() >= detail::minSecretLength;
    case text_form::file:
        break;
    }
    return text.find('\0') == std::string_view::npos;
}

std::optional<log_level> parseLevel(std::string_view text)
{
    for (const log_level level : {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
        if (detail::levelName(level) == text) {
            return level;
        }
    }
    return std::nullopt;
}

/** Stores one JSON value in the settings. Each overload returns a description of the problem, or null if there is none. */
struct value_reader {
    const setting_row &row;
    const boost::json::value &value;
    daemon_settings &result;

    const char *operator()(setting_accessor<std::string> access) const
    {
        if (!value.is_string()) {
            return wrongType;
        }
        access(result) = std::string(value.as_string());
        return matchesForm(value.as_string(), row.form) ? nullptr : malformed;
    }

    const char *operator()(setting_accessor<std::vector<std::string>> access) const
    {
        if (!value.is_array()) {
            return wrongType;
        }
        if (value.as_array().size() > detail::maxListLength) {
            return outOfRange;
        }
        for (const boost::json::value &element : value.as_array()) {
            if (!element.is_string()) {
                return wrongType;
            }
            if (!matchesForm(element.as_string(), row.form)) {
                return malformed;
            }
            access(result).emplace_back(element.as_string());
        }
        return nullptr;
    }

    const char *operator()(setting_accessor<bool> access) const
    {
        if (!value.is_bool()) {
            return wrongType;
        }
        access(result) = value.as_bool();
        return nullptr;
    }

    const char *operator()(setting_accessor<log_level> access) const
    {
        if (!value.is_string()) {
            return wrongType;
        }
        const auto level = parseLevel(value.as_string());
        access(result) = level.value_or(log_level::info);
        return level ? nullptr : "unknown value";
    }

    const char *operator()(setting_accessor<clock_ms> access) const
    {
        return readInteger(access(result).count);
    }

    template<typename Value>
    const char *operator()(setting_accessor<Value> access) const
    {
        return readInteger(access(result));
    }

    template<typename Number>
    const char *readInteger(Number &number) const
    {
        if (!value.is_int64() && !value.is_uint64()) {
            return wrongType;
        }
        const auto found = value.to_number<double>(); // Exact for all ranges in the table.
        if (found < row.minimum || found > row.maximum) {
            return outOfRange;
        }
        number = static_cast<Number>(found);
        return nullptr;
    }
};

/** Reads a document setting by setting and collects the faults. */
class settings_reader
{
public:
    explicit settings_reader(settings_profile profile)
        : m_profile(profile)
    {
    }

    daemon_settings read(const boost::json::object &document)
    {
        readObject(document, "");
        reportMissing();
        checkDependencies();
        if (!m_faults.empty()) {
            throw settings_error(std::move(m_faults));
        }
        return std::move(m_result);
    }

private:
    void readObject(const boost::json::object &object, const std::string &prefix)
    {
        for (const auto &pair : object) {
            const std::string path = prefix + std::string(pair.key());
            const auto rows = detail::settingRows();
            const auto row = std::ranges::find(rows, path, &setting_row::path);
            if (row != rows.end()) {
                readValue(*row, pair.value());
            } else if (!isSection(path + '.')) {
                addFault(path, "unknown key", "one of " + listKeys(prefix));
            } else if (!pair.value().is_object()) {
                addFault(path, wrongType, "object with " + listKeys(path + '.'));
            } else {
                readObject(pair.value().get_object(), path + '.');
            }
        }
    }

    void readValue(const setting_row &row, const boost::json::value &value)
    {
        m_presentPaths.emplace_back(row.path);
        const char *problem = std::visit(value_reader{row, value, m_result}, row.target);
        if (problem != nullptr) {
            addFault(row.path, problem, detail::describeAllowed(row));
        }
    }

    void reportMissing()
    {
        for (const setting_row &row : detail::settingRows()) {
            const bool isApplicable = row.profile == settings_profile::any || row.profile == m_profile;
            if (row.isRequired && isApplicable && std::ranges::find(m_presentPaths, row.path) == m_presentPaths.end()) {
                addFault(row.path, "missing", detail::describeAllowed(row));
            }
        }
    }

    /** Checks settings whose allowed values depend on each other or on the profile. */
    void checkDependencies()
    {
        if (m_profile == settings_profile::sidecar) {
            checkNotEmpty("edge.address", m_result.edgeAddress);
            checkNotEmpty("platform.address", m_result.platformAddress);
        }
        if (m_result.gate.minLimit > m_result.gate.maxLimit) {
            addFault("gate.min_limit", outOfRange, "at most gate.max_limit");
        }
        if (m_result.gate.initialLimit < m_result.gate.minLimit || m_result.gate.initialLimit > m_result.gate.maxLimit) {
            addFault("gate.initial_limit", outOfRange, "gate.min_limit to gate.max_limit");
        }
        if (m_result.membership.probeTimeout.count >= m_result.membership.probePeriod.count) {
            addFault("membership.probe_timeout_ms", outOfRange, "less than membership.probe_period_ms");
        }
    }

    void checkNotEmpty(std::string_view path, const std::string &value)
    {
        if (value.empty()) {
            addFault(path, "missing", "text, IPv4 address and port such as 127.0.0.1:7001");
        }
    }

    static bool isSection(std::string_view prefix)
    {
        return std::ranges::any_of(detail::settingRows(), [prefix](const setting_row &row) {
            return row.path.starts_with(prefix);
        });
    }

    /** Lists the keys allowed below a prefix, separated by commas. */
    static std::string listKeys(std::string_view prefix)
    {
        std::vector<std::string_view> keys;
        for (const setting_row &row : detail::settingRows()) {
            if (row.path.starts_with(prefix)) {
                const std::string_view rest = row.path.substr(prefix.size());
                const std::string_view key = rest.substr(0, rest.find('.'));
                if (std::ranges::find(keys, key) == keys.end()) {
                    keys.push_back(key);
                }
            }
        }
        std::string text;
        for (const std::string_view key : keys) {
            text += (text.empty() ? "" : ", ") + std::string(key);
        }
        return text;
    }

    void addFault(std::string_view path, std::string problem, std::string allowed)
    {
        m_faults.push_back({std::string(path), std::move(problem), std::move(allowed)});
    }

    settings_profile m_profile;
    daemon_settings m_result;
    std::vector<settings_fault> m_faults;
    std::vector<std::string> m_presentPaths;
};
} // namespace

settings_error::settings_error(std::vector<settings_fault> found)
    : error(describeFaults(found))
    , m_faults(std::move(found))
{
}

const std::vector<settings_fault> &settings_error::faults() const
{
    return m_faults;
}

daemon_settings parseSettings(std::string_view json, settings_profile profile)
{
    boost::system::error_code failure;
    const boost::json::value parsed = boost::json::parse(json, failure);
    if (failure) {
        throw settings_error({{"(document)", "not JSON: " + failure.message(), "a JSON object"}});
    }
    if (!parsed.is_object()) {
        throw settings_error({{"(document)", wrongType, "a JSON object"}});
    }
    return settings_reader(profile).read(parsed.get_object());
}

std::string readSettingsFile(const std::string &file)
{
    std::error_code failure;
    const auto size = std::filesystem::file_size(file, failure);
    std::ifstream stream(file, std::ios::binary);
    if (failure || !stream || size > maxFileBytes) {
        throw settings_error({{file, "can't be read", "a file of at most " + std::to_string(maxFileBytes) + " bytes"}});
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

daemon_settings loadSettings(const std::string &file, settings_profile profile)
{
    return parseSettings(readSettingsFile(file), profile);
}

} // namespace cicadamux
