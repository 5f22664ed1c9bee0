/** @file policy_base.h The aggregate of all policy objects that a daemon works by. */

#pragma once

#include "policy/policy_type.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace cicadamux
{

/** An operation's rule together with the rank that it resolves to. */
struct resolved_operation {
    const operation_rule *rule = nullptr; ///< Valid while the policy_set lives.
    rank_id rank;
    bool isProtected = false;
};

/** An immutable set of policy objects; a change makes a new set. */
class policy_set
{
public:
    /** @return A copy with this rank table in place of the present one. */
    std::shared_ptr<const policy_set> withRankTable(rank_table table) const;

    /** @return A copy with this service's policy added or replaced. */
    std::shared_ptr<const policy_set> withService(service_policy policy) const;

    /** @return A copy without this service's policy. */
    std::shared_ptr<const policy_set> withoutService(std::string_view service) const;

    /**
     * Finds the rule for an operation.
     * @return Nothing if the service, the operation or its rank has no rule.
     */
    std::optional<resolved_operation> find(std::string_view service, std::string_view operation) const;

    /** @return The ranks, the most urgent first. */
    std::span<const rank_rule> ranks() const;

    /** @return The rank of this name, or an invalid one. */
    rank_id rankOf(std::string_view rankName) const;

    const rank_table &rankTable() const;

    /** @return The policies by the name of their service. */
    const std::map<std::string, service_policy, std::less<>> &services() const;

private:
    rank_table m_ranks;
    std::map<std::string, service_policy, std::less<>> m_services;
};

} // namespace cicadamux
