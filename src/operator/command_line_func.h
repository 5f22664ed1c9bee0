/** @file command_line_func.h Command line of the program. */

#pragma once

#include "core/error_type.h"
#include "settings/settings_type.h"

#include <functional>
#include <string>

namespace cicadamux
{

/** The command line is invalid. */
class usage_error : public error
{
public:
    using error::error;
};

/** Entry points of the long-running subcommands. Each runs until the process is told to stop and returns the exit code. */
struct daemon_runners {
    std::function<int(const daemon_settings &settings)> daemon;
    std::function<int(const std::string &settingsFile)> sidecar; ///< Takes the file's name, because a sidecar reloads its settings.
};

/**
 * Runs the subcommand that the command line names.
 * @return The exit code, a query_status.
 */
int runCommandLine(int argc, char **argv, daemon_runners daemonRunners);

} // namespace cicadamux
