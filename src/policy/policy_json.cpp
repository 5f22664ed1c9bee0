/** @file policy_json.cpp Conversion of policy objects from and to JSON; docs/INTERFACE.md describes the format. */

#include "policy/policy_func.h"

#include "policy/policy_reader_base.h"

#include <boost/json.hpp>

#include <limits>
#include <set>

namespace cicadamux
{

namespace
{
using detail::policy_reader;
using detail::presence;

constexpr double maxEffort = 1'000'000.0; ///< Maximum effort of one rank.
constexpr std::string_view strictKind = "strict";
constexpr std::string_view lateOkKind = "late-ok";
constexpr auto maxGeneration = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

std::string pathOf(std::string_view list, std::size_t index)
{
    return std::string(list) + '[' + std::to_string(index) + "].";
}

/** Reads a list of objects; `readOne` receives a reader and returns an element with a unique `name`. */
template<typename Element, typename Read>
std::vector<Element> readList(policy_reader &parent, std::string_view key, std::size_t maximum, std::vector<policy_fault> &faults, Read readOne)
{
    std::vector<Element> elements;
    const boost::json::array *source = parent.list(key, 1, maximum);
    if (source == nullptr) {
        return elements;
    }
    std::set<std::string> names;
    for (std::size_t index = 0; index < source->size(); ++index) {
        const auto *object = (*source)[index].if_object();
        if (object == nullptr) {
            faults.push_back({std::string(key) + '[' + std::to_string(index) + ']', "wrong type", "an object"});
            continue;
        }
        policy_reader reader(*object, pathOf(key, index), faults);
        Element element = readOne(reader);
        if (!names.insert(element.name).second && !element.name.empty()) {
            reader.fault("name", "duplicate", "a name that no other element of the list has");
        }
        reader.reportUnknownKeys();
        elements.push_back(std::move(element));
    }
    return elements;
}

rank_rule readRank(policy_reader &reader)
{
    rank_rule rank;
    rank.name = reader.name("name");
    rank.isProtected = reader.flag("protected");
    rank.effort = reader.number("effort", 0.0, maxEffort, rank.effort);
    return rank;
}

clock_ms readSpan(policy_reader &reader, std::string_view key, presence keyPresence, std::int64_t defaultValue)
{
    const std::uint64_t count = reader.wholeNumber(key, keyPresence, {1, static_cast<std::uint64_t>(maxDeadline), static_cast<std::uint64_t>(defaultValue)});
    return {static_cast<std::int64_t>(count)};
}

operation_rule readOperation(policy_reader &reader)
{
    operation_rule rule;
    rule.name = reader.name("name");
    rule.callClass = reader.name("class");
    rule.rankName = reader.name("rank");
    rule.passesThrough = reader.names("passes_through", maxPassesThrough);
    rule.deadline = readSpan(reader, "deadline_ms", presence::required, 1);
    rule.lateOk = reader.isSecondChoice("deadline_kind", strictKind, lateOkKind);
    rule.lateLimit = readSpan(reader, "late_limit_ms", presence::optional, defaultLateLimit);
    rule.retries = static_cast<std::uint32_t>(reader.wholeNumber("retries", presence::optional, {0, maxRetryAllowance, 0}));
    rule.atMostOnce = reader.flag("at_most_once");
    if (rule.lateOk && rule.lateLimit.count < rule.deadline.count) {
        reader.fault("late_limit_ms", "out of range", "at least deadline_ms, to " + std::to_string(maxDeadline));
    }
    return rule;
}

/** Adds a fault for each protected rank below an unprotected one: refusal goes by rank order, and protected ranks must be refused last. */
void checkProtectedFirst(const std::vector<rank_rule> &ranks, std::vector<policy_fault> &faults)
{
    bool hasUnprotected = false;
    for (std::size_t index = 0; index < ranks.size(); ++index) {
        if (ranks[index].isProtected && hasUnprotected) {
            faults.push_back({pathOf("ranks", index) + "protected", "out of order", "protected ranks stand before all others"});
        }
        hasUnprotected = hasUnprotected || !ranks[index].isProtected;
    }
}

void throwIfFaulty(std::vector<policy_fault> faults)
{
    if (!faults.empty()) {
        throw policy_error(std::move(faults));
    }
}

/** Formats whole numbers without an exponent: 10 instead of 1E1. */
boost::json::value formatNumber(double number)
{
    const auto whole = static_cast<std::int64_t>(number);
    return static_cast<double>(whole) == number ? boost::json::value(whole) : boost::json::value(number);
}

boost::json::object formatOperation(const operation_rule &rule)
{
    boost::json::object json;
    json["name"] = rule.name;
    json["class"] = rule.callClass;
    json["rank"] = rule.rankName;
    boost::json::array &services = json["passes_through"].emplace_array();
    for (const std::string &service : rule.passesThrough) {
        services.emplace_back(service);
    }
    json["deadline_ms"] = rule.deadline.count;
    json["deadline_kind"] = rule.lateOk ? lateOkKind : strictKind;
    if (rule.lateOk || rule.lateLimit.count != defaultLateLimit) {
        json["late_limit_ms"] = rule.lateLimit.count;
    }
    json["retries"] = rule.retries;
    json["at_most_once"] = rule.atMostOnce;
    return json;
}
} // namespace

rank_table parseRankTable(std::string_view json)
{
    const boost::json::object document = detail::parsePolicyDocument(json);
    std::vector<policy_fault> faults;
    policy_reader reader(document, "", faults);
    rank_table table;
    table.generation = reader.wholeNumber("generation", presence::required, {1, maxGeneration, 1});
    table.operationId = reader.operationId("operation_id");
    table.ranks = readList<rank_rule>(reader, "ranks", maxRanks, faults, readRank);
    checkProtectedFirst(table.ranks, faults);
    reader.reportUnknownKeys();
    throwIfFaulty(std::move(faults));
    return table;
}

service_policy parseServicePolicy(std::string_view json)
{
    const boost::json::object document = detail::parsePolicyDocument(json);
    std::vector<policy_fault> faults;
    policy_reader reader(document, "", faults);
    service_policy policy;
    policy.generation = reader.wholeNumber("generation", presence::required, {1, maxGeneration, 1});
    policy.operationId = reader.operationId("operation_id");
    policy.service = reader.name("service");
    policy.operations = readList<operation_rule>(reader, "operations", maxOperations, faults, readOperation);
    reader.reportUnknownKeys();
    throwIfFaulty(std::move(faults));
    return policy;
}

std::string formatRankTable(const rank_table &table)
{
    boost::json::object json;
    json["generation"] = table.generation;
    json["operation_id"] = table.operationId;
    boost::json::array &ranks = json["ranks"].emplace_array();
    for (const rank_rule &rank : table.ranks) {
        ranks.push_back({{"name", rank.name}, {"protected", rank.isProtected}, {"effort", formatNumber(rank.effort)}});
    }
    return boost::json::serialize(json);
}

std::string formatServicePolicy(const service_policy &policy)
{
    boost::json::object json;
    json["generation"] = policy.generation;
    json["operation_id"] = policy.operationId;
    json["service"] = policy.service;
    boost::json::array &operations = json["operations"].emplace_array();
    for (const operation_rule &rule : policy.operations) {
        operations.push_back(formatOperation(rule));
    }
    return boost::json::serialize(json);
}

} // namespace cicadamux
