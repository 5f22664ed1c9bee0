/** @file command_type.h Commands of the query language as typed values. */

#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "core/id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cicadamux
{

/** Attribute by which refusals are counted. */
enum class refusal_grouping : std::uint8_t { reason, rank, call_class, service, data_center };

struct show_refusals_command {
    std::string service; ///< Empty: all.
    std::string dataCenter; ///< Empty: all.
    clock_ms span{300'000};
    refusal_grouping by = refusal_grouping::reason;
};

struct why_refused_command {
    root_id root;
};

struct show_members_command {
    std::string service; ///< Empty: all.
    std::string dataCenter; ///< Empty: all.
};

struct show_upstreams_command {
    std::string service; ///< Empty: all.
    std::string host; ///< Daemon whose routing is shown; empty: the queried one.
};

struct show_limits_command {
    std::string service; ///< Empty: all.
};

struct show_policy_command {
    std::string service; ///< Empty: ranks and all services.
};

struct compare_policy_command {
    std::string service;
    std::string json;
};

struct show_in_force_command {
    std::string object; ///< A service or `ranks`; empty: all objects.
    std::uint64_t generation = 0; ///< 0: the highest that any daemon reports.
};

struct drain_command {
    std::string host;
    bool draining = true; ///< False: undrain.
};

struct help_command {
    std::string about; ///< First word of the commands to explain; empty: all.
};

/** Change of one value of a rank; exactly one optional is set. */
struct rank_edit {
    std::string rank;
    std::optional<double> effort;
    std::optional<bool> isProtected;
};

/** Change of one value of an operation; exactly one optional is set. */
struct operation_edit {
    std::string service;
    std::string operation;
    std::optional<std::string> rankName;
    std::optional<std::string> callClass;
    std::optional<clock_ms> deadline;
    std::optional<bool> lateOk;
    std::optional<clock_ms> lateLimit;
    std::optional<std::uint32_t> retries;
    std::optional<bool> atMostOnce;
    std::optional<std::vector<std::string>> passesThrough;
};

/** Replacement of a whole object, or a new one. */
struct object_edit {
    bool isRankTable = false;
    std::string json;
};

struct change_command {
    std::variant<rank_edit, operation_edit, object_edit> edit;
    std::optional<std::uint64_t> fromGeneration; ///< Generation that the operator has seen; a different one is a conflict.
    bool previewOnly = false; ///< Shows the differences and writes nothing.
};

using command = std::variant<show_refusals_command,
                             why_refused_command,
                             show_members_command,
                             show_upstreams_command,
                             show_limits_command,
                             show_policy_command,
                             compare_policy_command,
                             show_in_force_command,
                             drain_command,
                             help_command,
                             change_command>;

/** Error in a line, and its position. */
struct parse_fault {
    std::size_t position = 0; ///< Byte offset in the line; the line's length if a word is missing at its end.
    std::string word; ///< The word at the position; empty at the end of the line.
    std::string problem; ///< `unknown word`, `missing word`, `malformed value` or `malformed line`.
    std::vector<std::string> expected; ///< What is allowed at the position.
    std::string nearest; ///< The most similar allowed word; empty if none is similar.
};

/** A line isn't a valid command. */
class parse_error : public error
{
public:
    explicit parse_error(parse_fault fault);

    const parse_fault &fault() const
    {
        return m_fault;
    }

private:
    parse_fault m_fault;
};

} // namespace cicadamux
