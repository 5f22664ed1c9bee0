/** @file policy_func.h Policy objects as JSON, and the check of a whole set. */

#pragma once

#include "policy/policy_base.h"

#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/**
 * Parses the value of the `rank_table` object (docs/INTERFACE.md).
 * @throws policy_error with all faults at once.
 */
rank_table parseRankTable(std::string_view json);

/**
 * Parses the value of a `service_policy` object (docs/INTERFACE.md).
 * @throws policy_error with all faults at once.
 */
service_policy parseServicePolicy(std::string_view json);

/** Writes what parseRankTable() reads. */
std::string formatRankTable(const rank_table &table);

/** Writes what parseServicePolicy() reads. */
std::string formatServicePolicy(const service_policy &policy);

/**
 * Checks what can be wrong between objects: unknown ranks, unknown services in `passes_through`, and operations
 * that pass through an at-most-once operation's service without being at-most-once themselves while they retry.
 * @return All faults; empty if the set can be used.
 */
std::vector<policy_fault> checkPolicySet(const policy_set &set);

} // namespace cicadamux
