/** @file command_line_func.h The program's command line. */

#pragma once

#include "core/error_type.h"

namespace cicadamux {

/** The command line can't be understood. */
class usage_error : public error
{
public:
    using error::error;
};

/**
 * Runs the subcommand that the command line names.
 * @return The exit code, a query_status.
 */
int runCommandLine(int argc, char **argv);

} // namespace cicadamux
