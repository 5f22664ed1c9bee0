/** @file settings_func.h Parsing of settings files and generation of their documentation. */

#pragma once

#include "settings/settings_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/**
 * Parses a settings document.
 * @throws settings_error, which lists all faults in the document.
 */
daemon_settings parseSettings(std::string_view json, settings_profile profile = settings_profile::daemon);

/**
 * Reads and parses a settings file.
 * @throws settings_error also if the file can't be read.
 */
daemon_settings loadSettings(const std::string &file, settings_profile profile = settings_profile::daemon);

/**
 * Reads a settings file without parsing it.
 * @throws settings_error if it can't be read or is too large.
 */
std::string readSettingsFile(const std::string &file);

/** A setting whose value differs between two sets. */
struct setting_change {
    std::string_view path;
    bool isLive = false; ///< A sidecar takes it over without a restart.
};

/** @return The settings that differ, in the order of the table. */
std::vector<setting_change> compareSettings(daemon_settings before, daemon_settings after);

/** @return The current settings with the live ones of `fresh`. */
daemon_settings withLiveSettings(daemon_settings current, daemon_settings fresh);

/** Describes each setting on one line: path, type, unit, range, default and meaning. */
std::string explainSettings();

/** Returns the text of docs/SETTINGS.md. */
std::string explainSettingsMarkdown();

} // namespace cicadamux
