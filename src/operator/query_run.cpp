/** @file query_run.cpp What the steps of a query share. */

#include "operator/query_run_func.h"

namespace cicadamux::detail
{

fleet_answers readParts(const std::vector<asked_part> &parts)
{
    fleet_answers read;
    for (const asked_part &part : parts) {
        if (!part.json) {
            read.missing.push_back({part.member.host, part.member.dataCenter, "no answer in time"});
            continue;
        }
        try {
            read.answers.push_back({part.member, parseResultJson(*part.json)});
        } catch (const query_result_error &malformed) {
            read.missing.push_back({part.member.host, part.member.dataCenter, malformed.what()});
        }
    }
    return read;
}

std::vector<member_record> membersOf(const operator_hooks &hooks, std::string_view service, std::string_view dataCenter)
{
    std::vector<member_record> chosen;
    const auto view = hooks.view();
    for (const member_record &member : *view) {
        const bool fits = (service.empty() || member.service == service) && (dataCenter.empty() || member.dataCenter == dataCenter);
        if (fits && member.state != member_state::dead) {
            chosen.push_back(member);
        }
    }
    return chosen;
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

query_result makeAnswer(query_status status, std::string summary)
{
    query_result result;
    result.status = status;
    result.summary = std::move(summary);
    return result;
}

} // namespace cicadamux::detail
