/** @file settings_explain.cpp Explains the settings from their table. */

#include "settings/settings_func.h"

#include "settings/settings_table.h"

namespace cicadamux
{

std::string explainSettings()
{
    std::string text;
    for (const detail::setting_row &row : detail::settingRows()) {
        text += std::string(row.path) + "  (" + detail::describeAllowed(row) + "; default: " + detail::describeDefault(row) + ")  " + std::string(row.help)
            + ".\n";
    }
    return text;
}

std::string explainSettingsMarkdown()
{
    std::string text = "# Settings of a daemon\n\n"
                       "This page is written by `cicadamux settings explain --markdown` from the table in `src/settings/settings_table.cpp`.\n\n"
                       "A settings file is one JSON object; a path such as `gate.max_waiting` stands for the key `max_waiting` in the object `gate`. "
                       "Unknown keys, wrong types and values out of range are refused at start, all at once; `cicadamux settings check FILE` tells the same "
                       "without starting anything.\n\n"
                       "| path | allowed | default | meaning |\n| --- | --- | --- | --- |\n";
    for (const detail::setting_row &row : detail::settingRows()) {
        text += "| `" + std::string(row.path) + "` | " + detail::describeAllowed(row) + " | "
            + (row.isRequired ? "required" : '`' + detail::describeDefault(row) + '`') + " | " + std::string(row.help) + " |\n";
    }
    return text;
}

} // namespace cicadamux
