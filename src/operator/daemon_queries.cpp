/** @file daemon_queries.cpp Queries that the queried daemon answers alone, from its own state. */

#include "operator/query_run_func.h"

#include "operator/command_table.h"
#include "operator/policy_edit_func.h"
#include "policy/policy_func.h"

namespace cicadamux::detail
{

namespace
{
constexpr std::int64_t msPerSecond = 1'000;

std::string stateName(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        break;
    }
    return "dead";
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text;
}

query_table ranksTable(const rank_table &ranks)
{
    query_table table{"ranks, generation " + std::to_string(ranks.generation), {"rank", "name", "protected", "effort"}, {}};
    for (std::size_t index = 0; index < ranks.ranks.size(); ++index) {
        const rank_rule &rank = ranks.ranks[index];
        table.rows.push_back({static_cast<std::int64_t>(index), rank.name, std::string(rank.isProtected ? "yes" : "no"), rank.effort});
    }
    return table;
}

query_table policyTable(const service_policy &policy)
{
    query_table table{policy.service + ", generation " + std::to_string(policy.generation) + ", operation id " + policy.operationId,
                      {"operation", "class", "rank", "deadline_ms", "kind", "late_limit_ms", "retries", "at_most_once", "passes_through"},
                      {}};
    for (const operation_rule &rule : policy.operations) {
        table.rows.push_back({rule.name,
                              rule.callClass,
                              rule.rankName,
                              rule.deadline.count,
                              std::string(rule.lateOk ? "late-ok" : "strict"),
                              rule.lateLimit.count,
                              std::int64_t{rule.retries},
                              std::string(rule.atMostOnce ? "yes" : "no"),
                              joinNames(rule.passesThrough)});
    }
    return table;
}
} // namespace

query_result showMembers(const show_members_command &query, const operator_hooks &hooks)
{
    const std::vector<member_record> members = membersOf(hooks, query.service, query.dataCenter);
    const std::uint64_t digest = hooks.configurationDigest();
    query_table table{
        "members as " + hooks.host + " sees them", {"host", "data_center", "state", "service", "server", "slots", "serving_s", "configuration"}, {}};
    for (const member_record &member : members) {
        table.rows.push_back({member.host,
                              member.dataCenter,
                              stateName(member.state),
                              member.service,
                              std::string(toString(member.server)),
                              std::int64_t{member.slots},
                              member.servingFor.count / msPerSecond,
                              std::string(member.configurationDigest == digest ? "same" : "other")});
    }
    query_result result = makeResult(query_status::ok, std::to_string(members.size()) + " members");
    result.tables.push_back(std::move(table));
    return result;
}

query_result showPolicy(const show_policy_command &query, const operator_hooks &hooks)
{
    const auto policies = hooks.policies();
    query_result result = makeResult(query_status::ok, "in force at " + hooks.host);
    if (query.service.empty()) {
        result.tables.push_back(ranksTable(policies->rankTable()));
    }
    for (const auto &[service, policy] : policies->services()) {
        if (query.service.empty() || query.service == service) {
            result.tables.push_back(policyTable(policy));
        }
    }
    return result.tables.empty() ? makeResult(query_status::not_found, "no policy of " + query.service + " is in force at " + hooks.host) : result;
}

query_result comparePolicy(const compare_policy_command &query, const operator_hooks &hooks)
{
    const auto policies = hooks.policies();
    const auto present = policies->services().find(query.service);
    const std::string before = present == policies->services().end() ? "" : formatServicePolicy(present->second);
    query_result result = makeResult(query_status::ok, "compared with what is in force at " + hooks.host + "; nothing was written");
    try {
        service_policy policy = parseServicePolicy(query.json);
        if (policy.service != query.service) {
            throw policy_error({{"service", "names another service", query.service}});
        }
        result.differences = compareObjects(before, formatServicePolicy(policy));
        result.faults = toChangeFaults(checkPolicySet(*policies->withService(std::move(policy))));
    } catch (const policy_error &exception) {
        result.faults = toChangeFaults(exception.faults());
    }
    if (!result.faults.empty()) {
        result.status = query_status::refused;
        result.summary = "the policy has faults; nothing was written";
    }
    return result;
}

query_result showHelp()
{
    query_table table{"commands", {"command", "meaning"}, {}};
    for (const command_row &row : commandRows()) {
        table.rows.push_back({std::string(row.grammar), std::string(row.help)});
    }
    query_result result = makeResult(query_status::ok, "a change may begin with `preview` and end with `from generation N`");
    result.tables.push_back(std::move(table));
    return result;
}

} // namespace cicadamux::detail
