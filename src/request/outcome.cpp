/** @file outcome.cpp Names, HTTP statuses and JSON bodies of call outcomes. */

#include "request/outcome_type.h"

#include <boost/json.hpp>

#include <array>

namespace cicadamux
{

namespace
{
struct reason_row {
    std::string_view name;
    call_outcome outcome;
    unsigned status;
};

constexpr std::size_t reasonCount = static_cast<std::size_t>(outcome_reason::count);

constexpr std::array<reason_row, reasonCount> reasonTable = {{
    {"none", call_outcome::answered, 200},          {"bad_request", call_outcome::not_run, 400},     {"too_large", call_outcome::not_run, 413},
    {"no_policy", call_outcome::not_run, 404},      {"no_upstream", call_outcome::not_run, 503},     {"overloaded", call_outcome::not_run, 503},
    {"queue_timeout", call_outcome::not_run, 503},  {"deadline_passed", call_outcome::not_run, 503}, {"retries_exhausted", call_outcome::not_run, 429},
    {"shed", call_outcome::not_run, 503},           {"draining", call_outcome::not_run, 503},        {"cancelled", call_outcome::not_run, 503},
    {"parent_gone", call_outcome::not_run, 503},    {"ticket_required", call_outcome::not_run, 400}, {"ticket_invalid", call_outcome::not_run, 400},
    {"ticket_expired", call_outcome::not_run, 503}, {"daemon_busy", call_outcome::not_run, 503},     {"connection_lost", call_outcome::unknown, 504},
    {"answer_broken", call_outcome::unknown, 504},  {"answer_timeout", call_outcome::unknown, 504},  {"ticket_home_gone", call_outcome::unknown, 504},
    {"no_route", call_outcome::not_run, 404},
}};

const reason_row &rowOf(outcome_reason reason)
{
    return reasonTable.at(static_cast<std::size_t>(reason));
}
} // namespace

call_outcome outcomeOf(outcome_reason reason)
{
    return rowOf(reason).outcome;
}

unsigned statusOf(outcome_reason reason)
{
    return rowOf(reason).status;
}

std::string_view toString(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::answered:
        return "answered";
    case call_outcome::not_run:
        return "not-run";
    case call_outcome::unknown:
        break;
    }
    return "unknown";
}

std::string_view toString(outcome_reason reason)
{
    return rowOf(reason).name;
}

std::optional<outcome_reason> parseReason(std::string_view name)
{
    for (std::size_t index = 0; index < reasonCount; ++index) {
        if (reasonTable.at(index).name == name) {
            return static_cast<outcome_reason>(index);
        }
    }
    return std::nullopt;
}

std::string formatRefusal(const refusal_detail &detail, root_id root, rank_id rank)
{
    boost::json::object body;
    body["outcome"] = toString(outcomeOf(detail.reason));
    body["reason"] = toString(detail.reason);
    body["root"] = toHex(root.value);
    body["service"] = detail.service;
    body["operation"] = detail.operation;
    body["daemon"] = detail.host;
    body["data_center"] = detail.dataCenter;
    body["rank"] = rank.isValid() ? static_cast<int>(rank.value) : -1;
    body["rank_admitted"] = detail.rankAdmitted;
    return boost::json::serialize(body);
}

} // namespace cicadamux
