/** @file command_line_func.h The program's command line. */

#pragma once

#include "core/error_type.h"
#include "settings/settings_type.h"

#include <functional>

namespace cicadamux
{

/** The command line can't be understood. */
class usage_error : public error
{
public:
    using error::error;
};

/** Runs a daemon until it is told to stop, and returns the exit code. */
using daemon_runner = std::function<int(const daemon_settings &settings)>;

/**
 * Runs the subcommand that the command line names; `runDaemon` is what `daemon` runs.
 * @return The exit code, a query_status.
 */
int runCommandLine(int argc, char **argv, daemon_runner runDaemon);

} // namespace cicadamux
