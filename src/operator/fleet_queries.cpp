/** @file fleet_queries.cpp Queries that are answered from the replies of many daemons. */

#include "operator/query_run_func.h"

#include <algorithm>
#include <map>

namespace cicadamux::detail
{

namespace
{
constexpr double msPerSecond = 1'000.0;

std::string makeLocalQuery(const query_run &run)
{
    return std::string(localPrefix) + run.line;
}

query_status statusFor(const fleet_answers &fleet)
{
    return fleet.missing.empty() ? query_status::ok : query_status::partial;
}

std::string describeAnswered(const fleet_answers &fleet)
{
    return std::to_string(fleet.answers.size()) + " of " + std::to_string(fleet.answers.size() + fleet.missing.size()) + " daemons answered";
}

std::string secondsText(clock_ms span)
{
    return std::to_string(static_cast<std::int64_t>(static_cast<double>(span.count) / msPerSecond)) + " s";
}

/** @return The shortest reach of all answers; beyond it, the data of at least one daemon is missing. */
std::optional<clock_ms> shortestReach(const fleet_answers &fleet)
{
    std::optional<clock_ms> shortest;
    for (const member_answer &answer : fleet.answers) {
        if (answer.result.reach) {
            shortest = shortest ? std::min(*shortest, *answer.result.reach) : *answer.result.reach;
        }
    }
    return shortest;
}

/** Concatenates the rows of the first table of each answer. */
query_result concatenateTables(fleet_answers fleet)
{
    query_result result = makeResult(statusFor(fleet), describeAnswered(fleet));
    result.missing = std::move(fleet.missing);
    result.reach = shortestReach(fleet);
    for (member_answer &answer : fleet.answers) {
        if (answer.result.tables.empty()) {
            continue;
        }
        query_table &table = answer.result.tables.front();
        if (result.tables.empty()) {
            result.tables.push_back({table.title, table.columns, {}});
        }
        if (table.columns == result.tables.front().columns) {
            std::ranges::move(table.rows, std::back_inserter(result.tables.front().rows));
        }
    }
    return result;
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

std::string_view groupColumn(refusal_grouping by)
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

query_result mergeRefusals(const show_refusals_command &query, fleet_answers fleet)
{
    query_table table{"refusals of the last " + secondsText(query.span), {std::string(groupColumn(query.by)), "refused", "per_second"}, {}};
    std::int64_t sum = 0;
    const double seconds = std::max(1.0, static_cast<double>(query.span.count) / msPerSecond);
    for (const auto &[group, count] : sumGroups(fleet)) {
        table.rows.push_back({group, count, static_cast<double>(count) / seconds});
        sum += count;
    }
    std::ranges::stable_sort(table.rows, std::greater<>(), [](const query_row &row) {
        return std::get<std::int64_t>(row[1]);
    });
    query_result result = makeResult(statusFor(fleet), std::to_string(sum) + " refused; " + describeAnswered(fleet));
    result.reach = shortestReach(fleet);
    if (result.reach && *result.reach < query.span) {
        result.summary += "; the counts of at least one daemon reach back only " + secondsText(*result.reach);
    }
    result.missing = std::move(fleet.missing);
    result.tables.push_back(std::move(table));
    return result;
}

/** Describes a refusal in a sentence. @param row A row of the table of localWhy(). */
std::string describeRefusal(const query_row &row)
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

query_result mergeWhy(const why_refused_command &query, fleet_answers fleet)
{
    const bool isComplete = fleet.missing.empty();
    query_result result = concatenateTables(std::move(fleet));
    const bool found = !result.tables.empty() && !result.tables.front().rows.empty();
    if (!found) {
        result.tables.clear();
        result.status = isComplete ? query_status::not_found : query_status::partial;
        result.summary = "no daemon that answered remembers a refusal of " + toHex(query.root.value) + "; their records reach back "
            + secondsText(result.reach.value_or(clock_ms{})) + " or more";
        return result;
    }
    constexpr std::size_t columns = 12;
    auto &rows = result.tables.front().rows;
    std::ranges::stable_sort(rows);
    std::string sentences;
    for (const query_row &row : rows) {
        if (row.size() == columns) {
            sentences += (sentences.empty() ? "" : "; then ") + describeRefusal(row);
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

void fleetRefusals(const show_refusals_command &query, query_run run)
{
    auto hooks = run.hooks;
    const std::string line = makeLocalQuery(run);
    askFleet(hooks, membersOf(*hooks, {}, query.dataCenter), line, [query, run = std::move(run)](const std::vector<member_reply> &replies) {
        run.finish(mergeRefusals(query, parseReplies(replies)));
    });
}

void fleetWhy(const why_refused_command &query, query_run run)
{
    auto hooks = run.hooks;
    const std::string line = makeLocalQuery(run);
    askFleet(hooks, membersOf(*hooks, {}, {}), line, [query, run = std::move(run)](const std::vector<member_reply> &replies) {
        run.finish(mergeWhy(query, parseReplies(replies)));
    });
}

void fleetUpstreams(const show_upstreams_command &query, query_run run)
{
    auto hooks = run.hooks;
    const auto member = findHost(*hooks, query.host.empty() ? hooks->host : query.host);
    if (!member) {
        run.finish(makeResult(query_status::not_found, "the view has no host " + query.host));
        return;
    }
    const std::string line = makeLocalQuery(run);
    askFleet(hooks, {*member}, line, [run = std::move(run)](const std::vector<member_reply> &replies) {
        run.finish(concatenateTables(parseReplies(replies)));
    });
}

void fleetLimits(const show_limits_command &query, query_run run)
{
    auto hooks = run.hooks;
    std::vector<member_record> members = membersOf(*hooks, query.service, {});
    std::erase_if(members, [](const member_record &member) {
        return member.server == server_state::absent;
    });
    const std::string line = makeLocalQuery(run);
    askFleet(hooks, std::move(members), line, [run = std::move(run)](const std::vector<member_reply> &replies) {
        run.finish(concatenateTables(parseReplies(replies)));
    });
}

void fleetDrain(const drain_command &query, query_run run)
{
    auto hooks = run.hooks;
    const auto member = findHost(*hooks, query.host);
    if (!member) {
        run.finish(makeResult(query_status::not_found, "the view has no host " + query.host));
        return;
    }
    const std::string line = makeLocalQuery(run);
    askFleet(hooks, {*member}, line, [run = std::move(run)](const std::vector<member_reply> &replies) {
        fleet_answers fleet = parseReplies(replies);
        if (!fleet.answers.empty()) {
            run.finish(fleet.answers.front().result);
            return;
        }
        query_result result = makeResult(query_status::unknown, "the daemon did not answer; it may or may not have applied the command");
        result.missing = std::move(fleet.missing);
        run.finish(result);
    });
}

} // namespace cicadamux::detail
