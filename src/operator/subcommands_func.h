/** @file subcommands_func.h The operators' subcommands behind the command line. */

#pragma once

#include "core/clock_type.h"
#include "operator/exit_code_type.h"

#include <cstddef>
#include <iosfwd>
#include <span>
#include <string>

namespace cicadamux
{

constexpr std::size_t maxPolicyFiles = 1'024; ///< Files of one check.

/** How to ask a daemon and how to print what it answers. */
struct admin_options {
    std::string address; ///< `IP:port` of a daemon's admin listener.
    bool asJson = false;
    clock_ms wait; ///< Longest wait until a change is in force everywhere.
    clock_ms timeLimit; ///< Longest wait for one answer.
};

/**
 * Checks policy files, each alone and all together. A file with `ranks` is a rank table, any other a service's policy.
 * @return `ok` or `refused`; all faults are printed.
 */
query_status checkPolicyFiles(std::span<const std::string> files, std::ostream &out);

/**
 * Asks a daemon one line and prints the answer. A change is shown first, then made from the generation that was shown,
 * then waited for until it is in force everywhere.
 */
query_status runAdminQuery(const std::string &line, const admin_options &options, std::ostream &out);

/** Reads lines with history and completion, and runs each; a change is confirmed first. Ends with the input or `quit`. */
query_status runPrompt(const admin_options &options, std::ostream &out);

} // namespace cicadamux
