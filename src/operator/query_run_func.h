/** @file query_run_func.h Running one query: what its steps share. */

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

constexpr std::string_view localPrefix = "local "; ///< Begins a question that one daemon answers alone.

/** One query on its way. */
struct query_run {
    std::shared_ptr<const operator_hooks> hooks;
    std::string line; ///< As asked.
    query_handler handler;

    void finish(const query_result &result) const
    {
        handler(formatResultJson(result));
    }
};

/** One daemon's answer, read. */
struct member_answer {
    member_record member;
    query_result result;
};

/** What came back from the fleet. */
struct fleet_answers {
    std::vector<member_answer> answers;
    std::vector<missing_part> missing;
};

/** Reads the parts; what can't be read counts as missing. */
fleet_answers readParts(const std::vector<asked_part> &parts);

/** @return The members of the view that aren't dead, of one service and data centre (empty: all). */
std::vector<member_record> membersOf(const operator_hooks &hooks, std::string_view service, std::string_view dataCenter);

/** @return The name of a rank in force; its number if it has none, `-` for an invalid one. */
std::string rankName(const operator_hooks &hooks, int rank);

/** Makes an answer that is only a status and a sentence. */
query_result makeAnswer(query_status status, std::string summary);

// Queries of this daemon alone.
query_result showMembers(const show_members_command &wanted, const operator_hooks &hooks);
query_result showPolicy(const show_policy_command &wanted, const operator_hooks &hooks);
query_result showHelp();
query_result comparePolicy(const compare_policy_command &wanted, const operator_hooks &hooks);

// Parts that each daemon answers of itself.
query_result localRefusals(const show_refusals_command &wanted, const operator_hooks &hooks);
query_result localWhy(const why_refused_command &wanted, const operator_hooks &hooks);
query_result localUpstreams(const show_upstreams_command &wanted, const operator_hooks &hooks);
query_result localLimits(const show_limits_command &wanted, const operator_hooks &hooks);
query_result localInForce(const show_in_force_command &wanted, const operator_hooks &hooks);
query_result localDrain(const drain_command &wanted, const operator_hooks &hooks);

// Queries of the fleet; each calls the run's handler once.
void fleetRefusals(const show_refusals_command &wanted, query_run run);
void fleetWhy(const why_refused_command &wanted, query_run run);
void fleetUpstreams(const show_upstreams_command &wanted, query_run run);
void fleetLimits(const show_limits_command &wanted, query_run run);
void fleetInForce(const show_in_force_command &wanted, query_run run);
void fleetDrain(const drain_command &wanted, query_run run);

/** Makes a change: read, edit, check, show, write conditionally, settle. */
void runChange(change_command wanted, query_run run);

} // namespace cicadamux::detail
