/** @file query_run.cpp Shared functions of running queries. */

#include "operator/query_run_func.h"

namespace cicadamux::detail
{

fleet_answers parseReplies(const std::vector<member_reply> &replies)
{
    fleet_answers read;
    for (const member_reply &reply : replies) {
        if (!reply.json) {
            read.missing.push_back({reply.member.host, reply.member.dataCenter, "no answer in time"});
            continue;
        }
        try {
            read.answers.push_back({reply.member, parseResultJson(*reply.json)});
        } catch (const query_result_error &exception) {
            read.missing.push_back({reply.member.host, reply.member.dataCenter, exception.what()});
        }
    }
    return read;
}

std::vector<member_record> membersOf(const operator_hooks &hooks, std::string_view service, std::string_view dataCenter)
{
    std::vector<member_record> selected;
    const auto view = hooks.view();
    for (const member_record &member : *view) {
        const bool isSelected = (service.empty() || member.service == service) && (dataCenter.empty() || member.dataCenter == dataCenter);
        if (isSelected && member.state != member_state::dead) {
            selected.push_back(member);
        }
    }
    return selected;
}

std::string rankName(const operator_hooks &hooks, int rank)
{
    const auto policies = hooks.policies();
    if (rank < 0 || rank == rank_id::invalid().value) {
        return "-";
    }
    const auto index = static_cast<std::size_t>(rank);
    return index < policies->ranks().size() ? policies->ranks()[index].name : std::to_string(rank);
}

query_result makeResult(query_status status, std::string summary)
{
    query_result result;
    result.status = status;
    result.summary = std::move(summary);
    return result;
}

} // namespace cicadamux::detail
