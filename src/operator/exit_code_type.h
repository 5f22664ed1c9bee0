/** @file exit_code_type.h How an operator's command ended, as the exit code of the program. */

#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace cicadamux
{

/** Values are the process's exit codes; the name on the wire is that of statusName(). */
enum class query_status : std::uint8_t {
    ok = 0,
    failed = 1,
    usage = 2,
    refused = 3,
    conflict = 4,
    unknown = 5,
    accepted = 6,
    not_found = 7,
    unreachable = 8,
    partial = 9
};

/** One row of the table that `cicadamux help` and docs/LANGUAGE.md show. */
struct status_row {
    query_status status = query_status::ok;
    std::string_view name; ///< On the wire.
    std::string_view help;
};

/** @return All statuses in the order of their codes. */
std::span<const status_row> statusRows();

/** @return The name on the wire, such as `not_found`. */
std::string_view statusName(query_status status);

/** @return The status of this name; `failed` if there is none. */
query_status parseStatus(std::string_view name);

} // namespace cicadamux
