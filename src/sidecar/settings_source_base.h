/** @file settings_source_base.h Notices changes of a sidecar's settings file and offers them to the sidecar. */

#pragma once

#include "core/clock_type.h"
#include "settings/settings_type.h"

#include <functional>
#include <string>
#include <string_view>

namespace cicadamux
{

/** Applies new settings as a whole. @throws settings_error if it refuses them; then nothing has changed. */
using settings_hook = std::function<void(const daemon_settings &fresh)>;

/** Reads a settings file again on request, and regularly because a file may change without a signal. Not thread-safe. */
class settings_source
{
public:
    /** @param text Content of the file as it was applied last. */
    settings_source(std::string file, std::string text, settings_hook apply);

    /** Reads the file and applies it if its content has changed. @param why For the log: `signal` or `file`. */
    void check(std::string_view why);

    /** Like check(), at most once a second. */
    void checkIfDue(clock_ms now);

private:
    std::string m_file;
    std::string m_text; ///< Content at the last check, whether it was applied or refused.
    settings_hook m_apply;
    clock_ms m_nextCheck;
};

} // namespace cicadamux
