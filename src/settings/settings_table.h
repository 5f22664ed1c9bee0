/** @file settings_table.h The table of all settings: path, type, unit, range, meaning, and the member that stores each one. */

#pragma once

#include "settings/settings_type.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cicadamux::detail
{

/** Allowed forms of a string setting. */
enum class text_form : std::uint8_t {
    name, ///< `[a-z0-9.-]{1,63}`
    address, ///< IPv4 address and port, `127.0.0.1:7001`; port 0 selects a free port.
    address_or_empty,
    secret, ///< At least minSecretLength characters; never printed or logged.
    file ///< Path of a file.
};

constexpr std::size_t minSecretLength = 16; ///< Characters.
constexpr std::size_t maxTextLength = 4'096; ///< Characters.
constexpr std::size_t maxListLength = 1'024; ///< Elements.

/** Returns a reference to the member that stores a setting. */
template<typename Value>
using setting_accessor = Value &(*)(daemon_settings &);

using setting_target = std::variant<setting_accessor<std::string>,
                                    setting_accessor<std::vector<std::string>>,
                                    setting_accessor<clock_ms>,
                                    setting_accessor<std::uint32_t>,
                                    setting_accessor<std::size_t>,
                                    setting_accessor<bool>,
                                    setting_accessor<log_level>>;

/** One setting. Its default is the value in a default-constructed daemon_settings. */
struct setting_row {
    std::string_view path; ///< Keys from the outermost to the innermost, joined by dots.
    setting_target target;
    bool isRequired = false;
    text_form form = text_form::name; ///< For strings and lists of strings.
    std::string_view unit; ///< For numbers.
    double minimum = 0; ///< For numbers.
    double maximum = 0; ///< For numbers.
    std::string_view help; ///< Meaning, without a trailing full stop.
    settings_profile profile = settings_profile::any; ///< Which process must have it, if it is required.
    setting_reload reload = setting_reload::restart;
};

/** @return All settings, in the order of the documentation. */
std::span<const setting_row> settingRows();

/** @return The allowed values of a setting, such as `whole number, calls, 1 to 65536`. */
std::string describeAllowed(const setting_row &row);

/** @return The default as JSON; `required` if the setting has none. */
std::string describeDefault(const setting_row &row);

/** @return The name of a log level in the settings, such as `warning`. */
std::string_view levelName(log_level level);

} // namespace cicadamux::detail
