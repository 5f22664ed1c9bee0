/** @file query_run_func.h Context and shared functions of a running query. */

#pragma once

#include "operator/command_type.h"
#include "operator/fleet_ask_func.h"
#include "operator/operator_hooks_type.h"
#include "operator/query_func.h"
#include "operator/query_result_type.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cicadamux::detail
{

constexpr std::string_view localPrefix = "local "; ///< Prefix of a query that a daemon answers from its own state only.

/** One running query. */
struct query_run {
    std::shared_ptr<const operator_hooks> hooks;
    std::string line; ///< As received.
    query_handler handler;

    void finish(const query_result &result) const
    {
        handler(formatResultJson(result));
    }
};

/** Parsed reply of one daemon. */
struct member_answer {
    member_record member;
    query_result result;
};

/** Replies of the fleet, and the members without a valid one. */
struct fleet_answers {
    std::vector<member_answer> answers;
    std::vector<missing_answer> missing;
};

/** Parses the replies; a malformed one counts as missing. */
fleet_answers parseReplies(const std::vector<member_reply> &replies);

/** @return The members of the view that aren't dead, optionally only those of one service or data centre (empty: all). */
std::vector<member_record> membersOf(const operator_hooks &hooks, std::string_view service, std::string_view dataCenter);

/** @return The name of a rank in force; its number if the rank table doesn't have it; `-` for an invalid rank. */
std::string rankName(const operator_hooks &hooks, int rank);

/** @return A result with only a status and a summary. */
query_result makeResult(query_status status, std::string summary);

// Queries that the queried daemon answers alone.
query_result showMembers(const show_members_command &query, const operator_hooks &hooks);
query_result showPolicy(const show_policy_command &query, const operator_hooks &hooks);
query_result showHelp();
query_result comparePolicy(const compare_policy_command &query, const operator_hooks &hooks);

// Replies of one daemon to a query of the fleet, from its own state.
query_result localRefusals(const show_refusals_command &query, const operator_hooks &hooks);
query_result localWhy(const why_refused_command &query, const operator_hooks &hooks);
query_result localUpstreams(const show_upstreams_command &query, const operator_hooks &hooks);
query_result localLimits(const show_limits_command &query, const operator_hooks &hooks);
query_result localInForce(const show_in_force_command &query, const operator_hooks &hooks);
query_result localDrain(const drain_command &query, const operator_hooks &hooks);

// Queries that are sent to the fleet; each calls the run's handler once.
void fleetRefusals(const show_refusals_command &query, query_run run);
void fleetWhy(const why_refused_command &query, query_run run);
void fleetUpstreams(const show_upstreams_command &query, query_run run);
void fleetLimits(const show_limits_command &query, query_run run);
void fleetInForce(const show_in_force_command &query, query_run run);
void fleetDrain(const drain_command &query, query_run run);

/** Runs a change or its preview: reads the object, edits and checks it, writes it conditionally, and resolves conflicts. */
void runChange(change_command change, query_run run);

} // namespace cicadamux::detail
