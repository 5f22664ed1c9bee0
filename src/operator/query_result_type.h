/** @file query_result_type.h Result of a query. */

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

/** A host or data centre without an answer. */
struct missing_answer {
    std::string host; ///< Empty for a whole data centre.
    std::string dataCenter;
    std::string problem; ///< Such as `no answer in time`.
};

/** One fault of a change or of a compared policy. */
struct change_fault {
    std::string path;
    std::string problem;
    std::string allowed;
};

/** One value that a change alters. */
struct value_difference {
    std::string path; ///< Such as `operations[hold].retries`.
    std::string before; ///< JSON; empty if the value is new.
    std::string after; ///< JSON; empty if the value is removed.
};

/** One generation of an object, with the operation id of its write. */
struct named_generation {
    std::string kind;
    std::string name;
    std::uint64_t generation = 0;
    std::string operationId;
};

struct query_result {
    query_status status = query_status::ok;
    std::string summary; ///< One sentence.
    std::vector<query_table> tables;
    std::vector<missing_answer> missing;
    std::optional<parse_fault> parseFault; ///< For an invalid query.
    std::vector<change_fault> faults; ///< For `refused`.
    std::vector<value_difference> differences; ///< Values that a change alters.
    std::optional<named_generation> change; ///< Generation that this change wrote or tried to write.
    std::optional<named_generation> base; ///< For a preview: the generation on which it is based.
    std::optional<named_generation> other; ///< For `conflict`: the change that was made first.
    std::optional<clock_ms> reach; ///< How far back the data of the answer reaches.
};

/** An answer is malformed. */
class query_result_error : public error
{
public:
    using error::error;
};

/** Formats a result as JSON. */
std::string formatResultJson(const query_result &result);

/** Parses the JSON form. @throws query_result_error */
query_result parseResultJson(std::string_view json);

/** Formats a difference as one line, such as `ranks[browse].effort: 10 -> 5`. */
std::string formatDifference(const value_difference &difference);

/** Formats a result as text: tables, differences, faults, missing answers, and the summary at the end. */
std::string formatResultText(const query_result &result);

} // namespace cicadamux
