/** @file fleet_queries.cpp Queries that are answered by many daemons. */

#include "operator/query_run_func.h"

#include <algorithm>
#include <map>

namespace cicadamux::detail
{

namespace
{
constexpr double msPerSecond = 1'000.0;

std::string localLine(const query_run &run)
{
    return std::string(localPrefix) + run.line;
}

query_status statusFor(const fleet_answers &fleet)
{
    return fleet.missing.empty() ? query_status::ok : query_status::partial;
}

std::string answeredPart(const fleet_answers &fleet)
{
    return std::to_string(fleet.answers.size()) + " of " + std::to_string(fleet.answers.size() + fleet.missing.size()) + " daemons answered";
}

std::string secondsText(clock_ms span)
{
    return std::to_string(static_cast<std::int64_t>(static_cast<double>(span.count) / msPerSecond)) + " s";
}

/** The least reach of all answers: further back, at least one daemon remembers nothing. */
std::optional<clock_ms> leastReach(const fleet_answers &fleet)
{
    std::optional<clock_ms> least;
    for (const member_answer &answer : fleet.answers) {
        if (answer.result.reach) {
            least = least ? std::min(*least, *answer.result.reach) : *answer.result.reach;
        }
    }
    return least;
}

/** Puts the rows of each answer's first table below each other. */
query_result joinTables(fleet_answers fleet)
{
    query_result joined = makeAnswer(statusFor(fleet), answeredPart(fleet));
    joined.missing = std::move(fleet.missing);
    joined.reach = leastReach(fleet);
    for (member_answer &answer : fleet.answers) {
        if (answer.result.tables.empty()) {
            continue;
        }
        query_table &table = answer.result.tables.front();
        if (joined.tables.empty()) {
            joined.tables.push_back({table.title, table.columns, {}});
        }
        if (table.columns == joined.tables.front().columns) {
            std::ranges::move(table.rows, std::back_inserter(joined.tables.front().rows));
        }
    }
    return joined;
}

std::map<std::string, std::int64_t> sumGroups(const fleet_answers &fleet)
{
    std::map<std::string, std::int64_t> sums;
    for (const member_answer &answer : fleet.answers) {
        for (const query_table &table : answer.result.tables) {
            for (const query_row &row : table.rows) {
                const auto *group = row.empty() ? nullptr : std::get_if<std::string>(row.data());
                const auto *count = row.size() < 2 ? nullptr : std::get_if<std::int64_t>(&row[1]);
                if (group != nullptr && count != nullptr) {
                    sums[*group] += *count;
                }
            }
        }
    }
    return sums;
}

std::string_view columnOf(refusal_grouping by)
{
    switch (by) {
    case refusal_grouping::reason:
        return "reason";
    case refusal_grouping::rank:
        return "rank";
    case refusal_grouping::call_class:
        return "class";
    case refusal_grouping::service:
        return "service";
    case refusal_grouping::data_center:
        break;
    }
    return "data_center";
}

query_result mergeRefusals(const show_refusals_command &wanted, fleet_answers fleet)
{
    query_table table{"refusals of the last " + secondsText(wanted.span), {std::string(columnOf(wanted.by)), "refused", "per_second"}, {}};
    std::int64_t sum = 0;
    const double seconds = std::max(1.0, static_cast<double>(wanted.span.count) / msPerSecond);
    for (const auto &[group, count] : sumGroups(fleet)) {
        table.rows.push_back({group, count, static_cast<double>(count) / seconds});
        sum += count;
    }
    std::ranges::stable_sort(table.rows, std::greater<>(), [](const query_row &row) {
        return std::get<std::int64_t>(row[1]);
    });
    query_result result = makeAnswer(statusFor(fleet), std::to_string(sum) + " refused; " + answeredPart(fleet));
    result.reach = leastReach(fleet);
    if (result.reach && *result.reach < wanted.span) {
        result.summary += "; at one daemon at least, the counts reach back only " + secondsText(*result.reach);
    }
    result.missing = std::move(fleet.missing);
    result.tables.push_back(std::move(table));
    return result;
}

/** Says in a sentence what a record tells. @param row Of localWhy(). */
std::string explainRow(const query_row &row)
{
    enum column : std::uint8_t { time, host, data_center, service, operation, call_class, rank, reason, admitted, queue, limit, waited };
    const auto text = [&row](column which) {
        const auto *found = std::get_if<std::string>(&row[which]);
        return found != nullptr ? *found : std::string("?");
    };
    const auto number = [&row](column which) {
        const auto *found = std::get_if<std::int64_t>(&row[which]);
        return found != nullptr ? *found : std::int64_t{0};
    };
    std::string sentence
        = text(host) + " in " + text(data_center) + " refused " + text(service) + '/' + text(operation) + " (rank " + text(rank) + "): " + text(reason);
    if (number(limit) > 0) {
        sentence += "; its gate had a limit of " + std::to_string(number(limit)) + " calls, " + std::to_string(number(queue)) + " waited, the call had waited "
            + std::to_string(number(waited)) + " ms, and it admitted ranks down to " + text(admitted);
    } else if (text(admitted) != "-") {
        sentence += "; refused early by the levels of the gates ahead, which admitted ranks down to " + text(admitted);
    }
    if (text(admitted) != "-" && text(admitted) == text(rank)) {
        sentence += " and of that rank only a part";
    }
    return sentence;
}

query_result mergeWhy(const why_refused_command &wanted, fleet_answers fleet)
{
    const bool complete = fleet.missing.empty();
    query_result result = joinTables(std::move(fleet));
    const bool found = !result.tables.empty() && !result.tables.front().rows.empty();
    if (!found) {
        result.tables.clear();
        result.status = complete ? query_status::not_found : query_status::partial;
        result.summary = "no daemon that answered remembers a refusal of " + toHex(wanted.root.value) + "; their records reach back "
            + secondsText(result.reach.value_or(clock_ms{})) + " or more";
        return result;
    }
    constexpr std::size_t columns = 12;
    auto &rows = result.tables.front().rows;
    std::ranges::stable_sort(rows);
    std::string sentences;
    for (const query_row &row : rows) {
        if (row.size() == columns) {
            sentences += (sentences.empty() ? "" : "; then ") + explainRow(row);
        }
    }
    result.summary = sentences;
    return result;
}

std::optional<member_record> findHost(const operator_hooks &hooks, std::string_view host)
{
    const std::vector<member_record> members = membersOf(hooks, {}, {});
    const auto found = std::ranges::find(members, host, &member_record::host);
    return found == members.end() ? std::nullopt : std::optional(*found);
}
} // namespace

void fleetRefusals(const show_refusals_command &wanted, query_run run)
{
    auto hooks = run.hooks;
    const std::string line = localLine(run);
    askFleet(hooks, membersOf(*hooks, {}, wanted.dataCenter), line, [wanted, run = std::move(run)](const std::vector<asked_part> &parts) {
        run.finish(mergeRefusals(wanted, readParts(parts)));
    });
}

void fleetWhy(const why_refused_command &wanted, query_run run)
{
    auto hooks = run.hooks;
    const std::string line = localLine(run);
    askFleet(hooks, membersOf(*hooks, {}, {}), line, [wanted, run = std::move(run)](const std::vector<asked_part> &parts) {
        run.finish(mergeWhy(wanted, readParts(parts)));
    });
}

void fleetUpstreams(const show_upstreams_command &wanted, query_run run)
{
    auto hooks = run.hooks;
    const auto member = findHost(*hooks, wanted.host.empty() ? hooks->host : wanted.host);
    if (!member) {
        run.finish(makeAnswer(query_status::not_found, "the view has no host " + wanted.host));
        return;
    }
    const std::string line = localLine(run);
    askFleet(hooks, {*member}, line, [run = std::move(run)](const std::vector<asked_part> &parts) {
        run.finish(joinTables(readParts(parts)));
    });
}

void fleetLimits(const show_limits_command &wanted, query_run run)
{
    auto hooks = run.hooks;
    std::vector<member_record> members = membersOf(*hooks, wanted.service, {});
    std::erase_if(members, [](const member_record &member) {
        return member.server == server_state::absent;
    });
    const std::string line = localLine(run);
    askFleet(hooks, std::move(members), line, [run = std::move(run)](const std::vector<asked_part> &parts) {
        run.finish(joinTables(readParts(parts)));
    });
}

void fleetDrain(const drain_command &wanted, query_run run)
{
    auto hooks = run.hooks;
    const auto member = findHost(*hooks, wanted.host);
    if (!member) {
        run.finish(makeAnswer(query_status::not_found, "the view has no host " + wanted.host));
        return;
    }
    const std::string line = localLine(run);
    askFleet(hooks, {*member}, line, [run = std::move(run)](const std::vector<asked_part> &parts) {
        fleet_answers fleet = readParts(parts);
        if (!fleet.answers.empty()) {
            run.finish(fleet.answers.front().result);
            return;
        }
        query_result result = makeAnswer(query_status::unknown, "the daemon gave no answer; it may or may not have taken the word");
        result.missing = std::move(fleet.missing);
        run.finish(result);
    });
}

} // namespace cicadamux::detail
