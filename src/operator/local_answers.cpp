/** @file local_answers.cpp One daemon's replies to queries of the fleet, from its own state. */

#include "operator/query_run_func.h"

#include "policy/policy_type.h"

#include <map>

namespace cicadamux::detail
{

namespace
{
std::string groupOf(const refusal_key &key, refusal_grouping by, const operator_hooks &hooks)
{
    switch (by) {
    case refusal_grouping::rank:
        return rankName(hooks, key.rank.value);
    case refusal_grouping::call_class:
        return key.callClass;
    case refusal_grouping::service:
        return key.service;
    case refusal_grouping::data_center:
        return hooks.dataCenter;
    case refusal_grouping::reason:
        break;
    }
    return key.reason == outcome_reason::none ? "other" : std::string(toString(key.reason));
}

query_row whyRow(const refusal_record &record, const operator_hooks &hooks)
{
    return {record.at.count,
            record.host.empty() ? hooks.host : record.host,
            record.dataCenter.empty() ? hooks.dataCenter : record.dataCenter,
            record.service,
            record.operation,
            record.callClass,
            rankName(hooks, record.rank.value),
            std::string(toString(record.reason)),
            rankName(hooks, record.rankAdmitted),
            std::int64_t{record.queueLength},
            std::int64_t{record.limit},
            record.waited.count};
}

std::string servedService(const operator_hooks &hooks)
{
    const auto view = hooks.view();
    for (const member_record &member : *view) {
        if (member.host == hooks.host) {
            return member.service;
        }
    }
    return {};
}

std::string upstreamState(const upstream_state &state)
{
    if (state.info.draining) {
        return "draining";
    }
    if (state.ejected) {
        return "ejected";
    }
    return state.weight < 1.0 ? "cold" : "serving";
}

/** @return The name of an object in the query language: its service, or `ranks`. */
std::string objectName(const object_generation &object)
{
    return object.kind == rankTableKind ? "ranks" : object.name;
}
} // namespace

query_result localRefusals(const show_refusals_command &query, const operator_hooks &hooks)
{
    const refusal_summary summary = hooks.refusals->summarize(query.service, query.span, hooks.wallNow());
    std::map<std::string, std::uint64_t> groups;
    for (const refusal_count &count : summary.counts) {
        groups[groupOf(count.key, query.by, hooks)] += count.count;
    }
    query_table table{"refusals", {"group", "refused"}, {}};
    for (const auto &[group, count] : groups) {
        table.rows.push_back({group, static_cast<std::int64_t>(count)});
    }
    query_result result = makeResult(query_status::ok, "counted at " + hooks.host);
    result.tables.push_back(std::move(table));
    result.reach = summary.reach;
    return result;
}

query_result localWhy(const why_refused_command &query, const operator_hooks &hooks)
{
    const refusal_trace trace = hooks.refusals->trace(query.root, hooks.wallNow());
    query_result result = makeResult(trace.records.empty() ? query_status::not_found : query_status::ok, "records of " + hooks.host);
    result.reach = trace.reach;
    query_table table{"refusals of " + toHex(query.root.value),
                      {"time_ms", "host", "data_center", "service", "operation", "class", "rank", "reason", "rank_admitted", "queue", "limit", "waited_ms"},
                      {}};
    for (const refusal_record &record : trace.records) {
        table.rows.push_back(whyRow(record, hooks));
    }
    result.tables.push_back(std::move(table));
    return result;
}

query_result localUpstreams(const show_upstreams_command &query, const operator_hooks &hooks)
{
    query_table table{"upstreams as " + hooks.host + " sees them", {"service", "host", "data_center", "state", "in_flight", "weight", "slots"}, {}};
    for (const upstream_state &state : hooks.upstreams()) {
        if (query.service.empty() || state.info.service == query.service) {
            table.rows.push_back({state.info.service,
                                  state.info.host,
                                  state.info.dataCenter,
                                  upstreamState(state),
                                  std::int64_t{state.inFlight},
                                  state.weight,
                                  std::int64_t{state.info.slots}});
        }
    }
    query_result result = makeResult(query_status::ok, std::to_string(table.rows.size()) + " upstreams");
    result.tables.push_back(std::move(table));
    return result;
}

query_result localLimits(const show_limits_command & /*query*/, const operator_hooks &hooks)
{
    query_table table{
        "limits", {"host", "data_center", "service", "limit", "in_use", "waiting", "rank_admitted", "sub_level", "moved_because", "moved_ago_ms"}, {}};
    if (const std::optional<gate_snapshot> gate = hooks.gate()) {
        const bool hasMoved = gate->limitMovedAt > clock_ms{};
        const query_cell movedAgo = hasMoved ? query_cell((hooks.steadyNow() - gate->limitMovedAt).count) : query_cell(std::string());
        table.rows.push_back({hooks.host,
                              hooks.dataCenter,
                              servedService(hooks),
                              std::int64_t{gate->limit},
                              std::int64_t{gate->inUse},
                              std::int64_t{gate->waiting},
                              rankName(hooks, gate->level.rank.value),
                              std::int64_t{gate->level.subLevel},
                              gate->limitReason,
                              movedAgo});
    }
    query_result result = makeResult(query_status::ok, "limit of " + hooks.host);
    result.tables.push_back(std::move(table));
    return result;
}

query_result localInForce(const show_in_force_command &query, const operator_hooks &hooks)
{
    query_table table{"in force", {"object", "generation"}, {}};
    for (const object_generation &object : hooks.generations()) {
        const std::string name = objectName(object);
        const bool isPolicy = object.kind == rankTableKind || object.kind == servicePolicyKind;
        if (isPolicy && (query.object.empty() || query.object == name)) {
            table.rows.push_back({name, static_cast<std::int64_t>(object.generation)});
        }
    }
    query_result result = makeResult(query_status::ok, "in force at " + hooks.host);
    result.tables.push_back(std::move(table));
    return result;
}

query_result localDrain(const drain_command &query, const operator_hooks &hooks)
{
    if (query.host != hooks.host) {
        return makeResult(query_status::not_found, "this daemon is " + hooks.host);
    }
    hooks.setDraining(query.draining);
    return makeResult(query_status::ok, query.host + (query.draining ? " takes no new work" : " takes new work"));
}

} // namespace cicadamux::detail
