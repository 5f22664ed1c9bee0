/** @file policy_check.cpp Consistency checks across policy objects. */

#include "policy/policy_func.h"

#include <algorithm>

namespace cicadamux
{

namespace
{
bool hasAtMostOnce(const service_policy &policy)
{
    return std::ranges::any_of(policy.operations, &operation_rule::atMostOnce);
}

std::string listRanks(const policy_set &set)
{
    std::string text = "one of";
    for (const rank_rule &rank : set.ranks()) {
        text += ' ' + rank.name;
    }
    return set.ranks().empty() ? "a rank of the rank table, which is empty" : text;
}

/**
 * Whether a retry of the root could repeat an at-most-once call. A retried root repeats every call below it,
 * unless the root is at-most-once itself and its own ticket prevents the repetition.
 */
bool repeatsAtMostOnce(const operation_rule &rule, const service_policy &below)
{
    return rule.retries > 0 && !rule.atMostOnce && hasAtMostOnce(below);
}

void checkPassesThrough(const policy_set &set, const operation_rule &rule, const std::string &path, std::vector<policy_fault> &faults)
{
    for (std::size_t index = 0; index < rule.passesThrough.size(); ++index) {
        const std::string &service = rule.passesThrough[index];
        const std::string at = path + "passes_through[" + std::to_string(index) + ']';
        const auto below = set.services().find(service);
        if (below == set.services().end()) {
            faults.push_back({at, "unknown service " + service, "a service that has a policy"});
        } else if (repeatsAtMostOnce(rule, below->second)) {
            faults.push_back({at, "a retry would repeat an at-most-once operation of " + service, "retries 0, or at_most_once true"});
        }
    }
}

void checkService(const policy_set &set, const service_policy &policy, std::vector<policy_fault> &faults)
{
    for (std::size_t index = 0; index < policy.operations.size(); ++index) {
        const operation_rule &rule = policy.operations[index];
        const std::string path = policy.service + ".operations[" + std::to_string(index) + "].";
        if (!set.rankOf(rule.rankName).isValid()) {
            faults.push_back({path + "rank", "unknown rank " + rule.rankName, listRanks(set)});
        }
        checkPassesThrough(set, rule, path, faults);
    }
}
} // namespace

std::vector<policy_fault> checkPolicySet(const policy_set &set)
{
    std::vector<policy_fault> faults;
    for (const auto &[service, policy] : set.services()) {
        checkService(set, policy, faults);
    }
    return faults;
}

} // namespace cicadamux
