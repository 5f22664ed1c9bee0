/** @file admin_session_func.h The steps of a query from the command line, shared with the prompt. */

#pragma once

#include "operator/query_result_type.h"
#include "operator/subcommands_func.h"

#include <iosfwd>
#include <string>

namespace cicadamux
{

/** @return Whether a line is a change that would be written. */
bool isChangeLine(const std::string &line);

/** Asks what a change would alter. */
query_result previewChange(const std::string &line, const admin_options &options);

/** Makes a change from the generation that its preview showed, and waits until it is in force everywhere. */
query_status makeChange(const std::string &line, const query_result &preview, const admin_options &options, std::ostream &out);

/** Writes an answer to `show in-force` in one line. */
std::string progressLine(const query_result &result);

} // namespace cicadamux
