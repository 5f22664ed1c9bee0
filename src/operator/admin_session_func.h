/** @file admin_session_func.h Steps of running a query from the command line, shared with the prompt. */

#pragma once

#include "operator/query_result_type.h"
#include "operator/subcommands_func.h"

#include <iosfwd>
#include <string>

namespace cicadamux
{

/** @return Whether a line is a change, and not only the preview of one. */
bool isChangeLine(const std::string &line);

/** Asks the daemon which values a change would alter, without writing anything. */
query_result previewChange(const std::string &line, const admin_options &options);

/**
 * Applies a change on condition that the object still has the generation that the preview was based on.
 * Waits up to admin_options::wait until the change is in force in every data centre.
 */
query_status applyChange(const std::string &line, const query_result &preview, const admin_options &options, std::ostream &out);

/** Formats an answer to `show in-force` as one line. */
std::string formatProgress(const query_result &result);

} // namespace cicadamux
