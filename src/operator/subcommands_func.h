/** @file subcommands_func.h The operators' subcommands behind the command line. */

#pragma once

#include "core/clock_type.h"
#include "operator/exit_code_type.h"

#include <cstddef>
#include <iosfwd>
#include <span>
#include <string>

namespace cicadamux {

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

} // namespace cicadamux
