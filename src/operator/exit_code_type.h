/** @file exit_code_type.h Status of an operator's command, and exit code of the program. */

#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace cicadamux
{

/** The values are the exit codes of the process; statusName() gives the names on the wire. */
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
    std::string_view name; ///< Name on the wire.
    std::string_view help;
};

/** @return All statuses in the order of their codes. */
std::span<const status_row> statusRows();

/** @return The name on the wire, such as `not_found`. */
std::string_view statusName(query_status status);

/** @return The status of a name; `failed` if the name is unknown. */
query_status parseStatus(std::string_view name);

} // namespace cicadamux
