/** @file exit_code.cpp The table of exit codes. */

#include "operator/exit_code_type.h"

#include <algorithm>
#include <array>

namespace cicadamux
{

namespace
{
constexpr std::array<status_row, 10> rows = {{
    {query_status::ok, "ok", "Done; a change is in force in every known data centre"},
    {query_status::failed, "failed", "The program failed; for example, a daemon could not bind its address"},
    {query_status::usage, "usage", "The command line or the query is invalid; nothing was done"},
    {query_status::refused, "refused", "A check found faults; nothing was written"},
    {query_status::conflict, "conflict", "Another change was made first; nothing was written"},
    {query_status::unknown, "unknown", "The platform may or may not have applied the write, and this could not be determined"},
    {query_status::accepted, "accepted", "The platform has stored the change, but it isn't yet in force everywhere"},
    {query_status::not_found, "not_found", "The named object, host or root is unknown"},
    {query_status::unreachable, "unreachable", "The daemon or the platform can't be reached; nothing was done"},
    {query_status::partial, "partial", "Answered, but without parts of the fleet, which are listed"},
}};
} // namespace

std::span<const status_row> statusRows()
{
    return rows;
}

std::string_view statusName(query_status status)
{
    return rows.at(static_cast<std::size_t>(status)).name;
}

query_status parseStatus(std::string_view name)
{
    const auto found = std::ranges::find(rows, name, &status_row::name);
    return found == rows.end() ? query_status::failed : found->status;
}

} // namespace cicadamux
