/** @file policy_edit_func.h Edits of policy objects, pure of any input or output. */

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

/** The object that a change concerns. */
struct edited_object {
    std::string kind;
    std::string name;
};

/** A change can't be applied because what it names isn't there. */
class edit_target_error : public error
{
public:
    using error::error;
};

/** One policy object of either kind. */
using policy_object = std::variant<rank_table, service_policy>;

/** @return What a change concerns. @throws policy_error if its JSON has faults. */
edited_object targetOf(const change_command &wanted);

/** Reads an object's value. @throws policy_error */
policy_object parseObject(std::string_view kind, std::string_view json);

std::string formatObject(const policy_object &object);

std::uint64_t generationOf(const policy_object &object);
const std::string &operationIdOf(const policy_object &object);

/** Names the write that made an object. */
void nameWrite(policy_object &object, std::uint64_t generation, std::string operationId);

/** @return The object that is in force; one of generation 0 and without contents if there is none. */
policy_object objectInForce(const policy_set &set, const edited_object &target);

/**
 * Applies a change.
 * @param base The object before; generation 0 if there is none.
 * @throws edit_target_error if the rank, service or operation doesn't exist; policy_error if its JSON has faults.
 */
policy_object applyEdit(const change_command &wanted, const policy_object &base);

/** @return All faults of an object, alone and together with the rest of a set. */
std::vector<change_fault> checkObject(const policy_object &object, const policy_set &set);

/** @return The values in which two JSON objects differ, but for generation and operation id. An empty text is no object. */
std::vector<value_difference> compareObjects(std::string_view before, std::string_view after);

std::vector<change_fault> toChangeFaults(std::span<const policy_fault> faults);

} // namespace cicadamux::detail
