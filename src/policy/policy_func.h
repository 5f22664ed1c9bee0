/** @file policy_func.h Conversion of policy objects from and to JSON, and consistency checks of a policy set. */

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

/** @return JSON that parseRankTable() reads. */
std::string formatRankTable(const rank_table &table);

/** @return JSON that parseServicePolicy() reads. */
std::string formatServicePolicy(const service_policy &policy);

/**
 * Checks consistency across objects. Faults are unknown ranks, unknown services in `passes_through`, and operations with
 * retries that pass through a service with an at-most-once operation without being at-most-once themselves.
 * @return All faults; empty if the set is valid.
 */
std::vector<policy_fault> checkPolicySet(const policy_set &set);

} // namespace cicadamux
