/** @file policy_edit_func.h Edits of policy objects, without input or output. */

#pragma once

#include "operator/command_type.h"
#include "operator/query_result_type.h"
#include "policy/policy_base.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cicadamux::detail
{

/** Kind and name of the object that a change edits. */
struct edited_object {
    std::string kind;
    std::string name;
};

/** The rank, service or operation that a change names doesn't exist. */
class edit_target_error : public error
{
public:
    using error::error;
};

/** A rank table or a service's policy. */
using policy_object = std::variant<rank_table, service_policy>;

/** @return The object that a change edits. @throws policy_error if the change's JSON has faults. */
edited_object targetOf(const change_command &change);

/** Parses the JSON form of an object. @throws policy_error */
policy_object parseObject(std::string_view kind, std::string_view json);

std::string formatObject(const policy_object &object);

std::uint64_t generationOf(const policy_object &object);
const std::string &operationIdOf(const policy_object &object);

/** Sets the generation and the operation id of an object. */
void setWriteIdentity(policy_object &object, std::uint64_t generation, std::string operationId);

/** @return The object in force; an empty one of generation 0 if there is none. */
policy_object objectInForce(const policy_set &set, const edited_object &target);

/**
 * Applies a change.
 * @param base The object before the change; of generation 0 if there is none.
 * @throws edit_target_error if the rank, service or operation doesn't exist; policy_error if its JSON has faults.
 */
policy_object applyEdit(const change_command &change, const policy_object &base);

/** @return All faults of an object, on its own and together with the other objects of a set. */
std::vector<change_fault> checkObject(const policy_object &object, const policy_set &set);

/** @return The values in which two JSON objects differ, except generation and operation id. An empty text stands for a missing object. */
std::vector<value_difference> compareObjects(std::string_view before, std::string_view after);

std::vector<change_fault> toChangeFaults(std::span<const policy_fault> faults);

} // namespace cicadamux::detail
