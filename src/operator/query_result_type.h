/** @file query_result_type.h What a query is answered with; docs/LANGUAGE.md has its JSON form. */

#pragma once

#include "core/clock_type.h"
#include "operator/command_type.h"
#include "operator/exit_code_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cicadamux
{

using query_cell = std::variant<std::string, std::int64_t, double>;
using query_row = std::vector<query_cell>;

struct query_table {
    std::string title;
    std::vector<std::string> columns;
    std::vector<query_row> rows; ///< Each with as many cells as there are columns.
};

/** A part of the fleet that gave no answer. */
struct missing_part {
    std::string host; ///< Empty: a whole data centre.
    std::string dataCenter;
    std::string problem; ///< Such as `no answer in time`.
};

/** One fault of a change, or of a policy that is compared. */
struct change_fault {
    std::string path;
    std::string problem;
    std::string allowed;
};

/** One value that a change alters. */
struct value_difference {
    std::string path; ///< Such as `operations[hold].retries`.
    std::string before; ///< JSON; empty where there was nothing.
    std::string after; ///< JSON; empty where there is nothing.
};

/** One generation of an object, and the write that made it. */
struct named_generation {
    std::string kind;
    std::string name;
    std::uint64_t generation = 0;
    std::string operationId;
};

struct query_result {
    query_status status = query_status::ok;
    std::string summary; ///< A sentence.
    std::vector<query_table> tables;
    std::vector<missing_part> missing;
    std::optional<parse_fault> parseFault; ///< For a query that isn't understood.
    std::vector<change_fault> faults; ///< For `refused`.
    std::vector<value_difference> differences; ///< What a change alters.
    std::optional<named_generation> change; ///< What this change wrote, or tried to.
    std::optional<named_generation> base; ///< For a preview: the generation that it was made from.
    std::optional<named_generation> other; ///< For `conflict`: the change that came first.
    std::optional<clock_ms> reach; ///< How far back the answer reaches.
};

/** An answer can't be read. */
class query_result_error : public error
{
public:
    using error::error;
};

/** Writes the JSON form. */
std::string formatResultJson(const query_result &result);

/** Reads the JSON form. @throws query_result_error */
query_result parseResultJson(std::string_view json);

/** Writes a difference in a line, such as `ranks[browse].effort: 10 -> 5`. */
std::string formatDifference(const value_difference &difference);

/** Writes text for people: tables, then what is missing, then the summary. */
std::string formatResultText(const query_result &result);

} // namespace cicadamux
