/** @file command_table.cpp Table of the query language's commands. */

#include "operator/command_table.h"

#include "operator/value_parser_func.h"

#include <algorithm>
#include <array>

namespace cicadamux::detail
{

namespace
{
refusal_grouping groupingOf(const matched_values &values)
{
    const std::string &key = values.text("KEY");
    if (key == "rank") {
        return refusal_grouping::rank;
    }
    if (key == "class") {
        return refusal_grouping::call_class;
    }
    if (key == "service") {
        return refusal_grouping::service;
    }
    return key == "data-center" ? refusal_grouping::data_center : refusal_grouping::reason;
}

command buildRefusals(const matched_values &values)
{
    show_refusals_command query{values.text("SERVICE"), values.text("DATA-CENTER"), {}, groupingOf(values)};
    query.span = parseSpan(values.text("SPAN")).value_or(show_refusals_command().span);
    return query;
}

command buildWhy(const matched_values &values)
{
    return why_refused_command{root_id{fromHex(values.text("ROOT")).value_or(0)}};
}

command buildMembers(const matched_values &values)
{
    return show_members_command{values.text("SERVICE"), values.text("DATA-CENTER")};
}

command buildUpstreams(const matched_values &values)
{
    return show_upstreams_command{values.text("SERVICE"), values.text("HOST")};
}

command buildLimits(const matched_values &values)
{
    return show_limits_command{values.text("SERVICE")};
}

command buildPolicy(const matched_values &values)
{
    return show_policy_command{values.text("SERVICE")};
}

command buildCompare(const matched_values &values)
{
    return compare_policy_command{values.text("SERVICE"), values.text("JSON")};
}

command buildInForce(const matched_values &values)
{
    return show_in_force_command{values.text("OBJECT"), parseUnsigned(values.text("COUNT")).value_or(0)};
}

command buildDrain(const matched_values &values)
{
    return drain_command{values.text("HOST"), true};
}

command buildUndrain(const matched_values &values)
{
    return drain_command{values.text("HOST"), false};
}

command buildHelp(const matched_values & /*values*/)
{
    return help_command{};
}

bool isYes(const matched_values &values)
{
    return values.text("YES-NO") == "yes";
}

command makeChange(std::variant<rank_edit, operation_edit, object_edit> edit)
{
    change_command change;
    change.edit = std::move(edit);
    return change;
}

command buildEffort(const matched_values &values)
{
    rank_edit edit;
    edit.rank = values.text("RANK");
    edit.effort = parseNumber(values.text("NUMBER"));
    return makeChange(edit);
}

command buildProtected(const matched_values &values)
{
    rank_edit edit;
    edit.rank = values.text("RANK");
    edit.isProtected = isYes(values);
    return makeChange(edit);
}

/** Builds the change of one operation; `fill` sets the new value. */
template<typename Fill>
command buildOperation(const matched_values &values, Fill fill)
{
    const std::string &path = values.text("SERVICE/OPERATION");
    const auto slash = path.find('/');
    operation_edit edit;
    edit.service = path.substr(0, slash);
    edit.operation = path.substr(slash + 1);
    fill(edit);
    return makeChange(std::move(edit));
}

command buildRank(const matched_values &values)
{
    return buildOperation(values, [&values](operation_edit &edit) {
        edit.rankName = values.text("RANK");
    });
}

command buildClass(const matched_values &values)
{
    return buildOperation(values, [&values](operation_edit &edit) {
        edit.callClass = values.text("CLASS");
    });
}

command buildDeadline(const matched_values &values)
{
    return buildOperation(values, [&values](operation_edit &edit) {
        edit.deadline = parseSpan(values.text("SPAN"));
    });
}

command buildDeadlineKind(const matched_values &values)
{
    return buildOperation(values, [&values](operation_edit &edit) {
        edit.lateOk = values.text("KIND") == "late-ok";
    });
}

command buildLateLimit(const matched_values &values)
{
    return buildOperation(values, [&values](operation_edit &edit) {
        edit.lateLimit = parseSpan(values.text("SPAN"));
    });
}

command buildRetries(const matched_values &values)
{
    return buildOperation(values, [&values](operation_edit &edit) {
        constexpr std::uint64_t maxRetries = 1'000'000; // Above every allowed value, so that the policy check refuses it.
        edit.retries = static_cast<std::uint32_t>(std::min(parseUnsigned(values.text("COUNT")).value_or(maxRetries), maxRetries));
    });
}

command buildAtMostOnce(const matched_values &values)
{
    return buildOperation(values, [&values](operation_edit &edit) {
        edit.atMostOnce = isYes(values);
    });
}

command buildPassesThrough(const matched_values &values)
{
    return buildOperation(values, [&values](operation_edit &edit) {
        edit.passesThrough = parseServiceList(values.text("SERVICES"));
    });
}

command buildReplacePolicy(const matched_values &values)
{
    return makeChange(object_edit{false, values.text("JSON")});
}

command buildReplaceRanks(const matched_values &values)
{
    return makeChange(object_edit{true, values.text("JSON")});
}

// clang-format off
constexpr std::array<command_row, 23> rows = { {
    { "show refusals [for SERVICE] [in DATA-CENTER] [last SPAN] [by KEY]", "Counts the refused calls of the whole fleet; by default those of the last 5m, by reason", "show refusals for pitchdesk last 5m by rank", buildRefusals },
    { "why refused ROOT", "Explains why a request was refused: by which daemon, with which limit, queue length and admitted rank", "why refused 00f3a1b2c4d5e6f7", buildWhy },
    { "show members [for SERVICE] [in DATA-CENTER]", "Lists the fleet's members as the queried daemon sees them, and which are draining", "show members for pitchdesk", buildMembers },
    { "show upstreams [for SERVICE] [at HOST]", "Shows the state of the upstreams in the routing of one daemon: cold, draining, ejected", "show upstreams for feebox at host-a1", buildUpstreams },
    { "show limits [for SERVICE]", "Shows the current concurrency limits of the gates and the reason of their last change", "show limits for pitchdesk", buildLimits },
    { "show policy [SERVICE]", "Shows the ranks and policies in force at the queried daemon", "show policy pitchdesk", buildPolicy },
    { "compare policy SERVICE JSON", "Checks a service's policy and shows how it differs from the one in force; writes nothing", "compare policy feebox {\"generation\":1,\"operation_id\":\"x\",\"service\":\"feebox\",\"operations\":[{\"name\":\"pay\",\"class\":\"fee\",\"rank\":\"urgent\",\"deadline_ms\":2000}]}", buildCompare },
    { "show in-force [OBJECT] [generation COUNT]", "Shows in which data centres an object is in force, as reported by their daemons", "show in-force pitchdesk generation 4", buildInForce },
    { "set rank RANK effort NUMBER", "Changes a rank's share of the capacity that the protected ranks leave", "set rank browse effort 5", buildEffort },
    { "set rank RANK protected YES-NO", "Changes whether a rank is protected, that is, refused only after all others", "set rank late-ok protected no", buildProtected },
    { "set operation SERVICE/OPERATION rank RANK", "Changes an operation's rank", "set operation mapview/browse rank browse", buildRank },
    { "set operation SERVICE/OPERATION class CLASS", "Changes an operation's class", "set operation mapview/browse class map", buildClass },
    { "set operation SERVICE/OPERATION deadline SPAN", "Changes the deadline of calls whose caller states none", "set operation pitchdesk/hold deadline 2s", buildDeadline },
    { "set operation SERVICE/OPERATION deadline-kind KIND", "Changes whether an answer is still accepted after the deadline", "set operation archivo-tol/lookup deadline-kind late-ok", buildDeadlineKind },
    { "set operation SERVICE/OPERATION late-limit SPAN", "Changes the time limit of a late-ok call", "set operation archivo-tol/lookup late-limit 60s", buildLateLimit },
    { "set operation SERVICE/OPERATION retries COUNT", "Changes how many extra attempts a whole request may make", "set operation mapview/browse retries 2", buildRetries },
    { "set operation SERVICE/OPERATION at-most-once YES-NO", "Changes whether calls run at most once and need a ticket", "set operation feebox/pay at-most-once yes", buildAtMostOnce },
    { "set operation SERVICE/OPERATION passes-through SERVICES", "Changes the list of services that a request calls, at any depth", "set operation pitchdesk/hold passes-through feebox,mapview", buildPassesThrough },
    { "replace policy JSON", "Writes a service's whole policy, replacing the present one if there is one", "replace policy {\"generation\":1,\"operation_id\":\"x\",\"service\":\"feebox\",\"operations\":[{\"name\":\"pay\",\"class\":\"fee\",\"rank\":\"urgent\",\"deadline_ms\":2000}]}", buildReplacePolicy },
    { "replace ranks JSON", "Replaces the whole rank table", "replace ranks {\"generation\":1,\"operation_id\":\"x\",\"ranks\":[{\"name\":\"urgent\",\"protected\":true,\"effort\":100}]}", buildReplaceRanks },
    { "drain HOST", "Stops a host's daemon from taking new work, until undrain or its restart", "drain host-a1", buildDrain },
    { "undrain HOST", "Lets a drained host's daemon take new work again", "undrain host-a1", buildUndrain },
    { "help", "Lists all commands", "help", buildHelp },
} };
// clang-format on
} // namespace

void matched_values::add(std::string_view placeholder, std::string value)
{
    m_values.push_back({placeholder, std::move(value)});
}

const std::string &matched_values::text(std::string_view placeholder) const
{
    static const std::string absent;
    const auto found = std::ranges::find(m_values, placeholder, &matched_value::placeholder);
    return found == m_values.end() ? absent : found->value;
}

bool matched_values::has(std::string_view placeholder) const
{
    return std::ranges::find(m_values, placeholder, &matched_value::placeholder) != m_values.end();
}

std::span<const command_row> commandRows()
{
    return rows;
}

} // namespace cicadamux::detail
