/** @file policy_base.h A set of policy objects, such as those in force. */

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

/** The rule of an operation and its resolved rank. */
struct resolved_operation {
    const operation_rule *rule = nullptr; ///< Valid for the lifetime of the policy_set.
    rank_id rank;
    bool isProtected = false;
};

/** An immutable set of policy objects; a change creates a new set. */
class policy_set
{
public:
    /** @return A copy with the rank table replaced. */
    std::shared_ptr<const policy_set> withRankTable(rank_table table) const;

    /** @return A copy with the policy of its service added or replaced. */
    std::shared_ptr<const policy_set> withService(service_policy policy) const;

    /** @return A copy without the policy of this service. */
    std::shared_ptr<const policy_set> withoutService(std::string_view service) const;

    /**
     * Finds the rule of an operation.
     * @return Nothing if the service, the operation or its rank is unknown.
     */
    std::optional<resolved_operation> find(std::string_view service, std::string_view operation) const;

    /** @return The ranks, most urgent first. */
    std::span<const rank_rule> ranks() const;

    /** @return The rank with this name, or an invalid id. */
    rank_id rankOf(std::string_view rankName) const;

    const rank_table &rankTable() const;

    /** @return The policies by service name. */
    const std::map<std::string, service_policy, std::less<>> &services() const;

private:
    rank_table m_ranks;
    std::map<std::string, service_policy, std::less<>> m_services;
};

} // namespace cicadamux
