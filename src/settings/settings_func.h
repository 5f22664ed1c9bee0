/** @file settings_func.h Parsing of settings files and generation of their documentation. */

#pragma once

#include "settings/settings_type.h"

#include <string>
#include <string_view>

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

/** Describes each setting on one line: path, type, unit, range, default and meaning. */
std::string explainSettings();

/** Returns the text of docs/SETTINGS.md. */
std::string explainSettingsMarkdown();

} // namespace cicadamux
