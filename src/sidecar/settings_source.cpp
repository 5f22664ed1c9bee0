/** @file settings_source.cpp Notices changes of a sidecar's settings file and offers them to the sidecar. */

#include "sidecar/settings_source_base.h"

#include "core/log_func.h"
#include "settings/settings_func.h"

namespace cicadamux
{

namespace
{
constexpr clock_ms checkInterval{1'000};
} // namespace

settings_source::settings_source(std::string file, std::string text, settings_hook apply)
    : m_file(std::move(file))
    , m_text(std::move(text))
    , m_apply(std::move(apply))
{
}

void settings_source::check(std::string_view why)
{
    try {
        std::string text = readSettingsFile(m_file);
        if (text == m_text) {
            return;
        }
        m_text = std::move(text); // Refused settings are reported once, not at each check.
        m_apply(parseSettings(m_text, settings_profile::sidecar));
    } catch (const settings_error &refused) {
        logEvent(log_level::error, "settings_refused", {{"file", m_file}, {"why", why}, {"problem", refused.what()}});
    }
}

void settings_source::checkIfDue(clock_ms now)
{
    if (now >= m_nextCheck) {
        m_nextCheck = now + checkInterval;
        check("file");
    }
}

} // namespace cicadamux
