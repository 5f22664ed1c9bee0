/** @file subcommands_func.h Subcommands for operators. */

#pragma once

#include "core/clock_type.h"
#include "operator/exit_code_type.h"

#include <cstddef>
#include <iosfwd>
#include <span>
#include <string>

namespace cicadamux
{

constexpr std::size_t maxPolicyFiles = 1'024; ///< Files in one check.

/** Options for queries to a daemon and for printing the answers. */
struct admin_options {
    std::string address; ///< `IP:port` of a daemon's admin listener.
    bool asJson = false;
    clock_ms wait; ///< Longest wait until a change is in force in every data centre.
    clock_ms timeLimit; ///< Longest wait for one answer.
};

/**
 * Checks policy files, each on its own and all together, and prints all faults. A file with `ranks` is a rank table, any other a service's policy.
 * @return `ok` or `refused`.
 */
query_status checkPolicyFiles(std::span<const std::string> files, std::ostream &out);

/**
 * Sends one query to a daemon and prints the answer. A change is previewed, applied to the generation of the preview,
 * and awaited until it is in force in every data centre.
 */
query_status runAdminQuery(const std::string &line, const admin_options &options, std::ostream &out);

/** Reads queries with history and completion and runs each; a change needs a confirmation. Returns at the end of the input or on `quit`. */
query_status runPrompt(const admin_options &options, std::ostream &out);

} // namespace cicadamux
