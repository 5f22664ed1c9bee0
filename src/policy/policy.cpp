/** @file policy.cpp A set of policy objects. */

#include "policy/policy_base.h"

#include <algorithm>

namespace cicadamux
{

namespace
{
std::string describeFaults(const std::vector<policy_fault> &faults)
{
    std::string text = "policy refused:";
    for (const policy_fault &fault : faults) {
        text += ' ' + fault.path + ": " + fault.problem + " (allowed: " + fault.allowed + ");";
    }
    return text;
}
} // namespace

policy_error::policy_error(std::vector<policy_fault> found)
    : error(describeFaults(found))
    , m_faults(std::move(found))
{
}

const std::vector<policy_fault> &policy_error::faults() const
{
    return m_faults;
}

std::shared_ptr<const policy_set> policy_set::withRankTable(rank_table table) const
{
    auto changed = std::make_shared<policy_set>(*this);
    changed->m_ranks = std::move(table);
    return changed;
}

std::shared_ptr<const policy_set> policy_set::withService(service_policy policy) const
{
    auto changed = std::make_shared<policy_set>(*this);
    std::string service = policy.service;
    changed->m_services.insert_or_assign(std::move(service), std::move(policy));
    return changed;
}

std::shared_ptr<const policy_set> policy_set::withoutService(std::string_view service) const
{
    auto changed = std::make_shared<policy_set>(*this);
    const auto found = changed->m_services.find(service);
    if (found != changed->m_services.end()) {
        changed->m_services.erase(found);
    }
    return changed;
}

std::optional<resolved_operation> policy_set::find(std::string_view service, std::string_view operation) const
{
    const auto policy = m_services.find(service);
    if (policy == m_services.end()) {
        return std::nullopt;
    }
    const auto &operations = policy->second.operations;
    const auto rule = std::ranges::find(operations, operation, &operation_rule::name);
    if (rule == operations.end()) {
        return std::nullopt;
    }
    const rank_id rank = rankOf(rule->rankName);
    if (!rank.isValid()) {
        return std::nullopt;
    }
    return resolved_operation{&*rule, rank, m_ranks.ranks[rank.value].isProtected};
}

std::span<const rank_rule> policy_set::ranks() const
{
    return m_ranks.ranks;
}

rank_id policy_set::rankOf(std::string_view rankName) const
{
    const auto found = std::ranges::find(m_ranks.ranks, rankName, &rank_rule::name);
    if (found == m_ranks.ranks.end()) {
        return rank_id::invalid();
    }
    return rank_id{static_cast<std::uint8_t>(found - m_ranks.ranks.begin())};
}

const rank_table &policy_set::rankTable() const
{
    return m_ranks;
}

const std::map<std::string, service_policy, std::less<>> &policy_set::services() const
{
    return m_services;
}

} // namespace cicadamux
