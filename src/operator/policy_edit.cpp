/** @file policy_edit.cpp Edits of policy objects. */

#include "operator/policy_edit_func.h"

#include "policy/policy_func.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace cicadamux::detail
{

namespace
{
namespace json = boost::json;

using flat_values = std::map<std::string, std::string>;

/** @return The name of a list element in paths: its `name` if it has one, else its index. */
std::string elementName(const json::value &element, std::size_t index)
{
    if (element.is_object()) {
        if (const json::value *name = element.get_object().if_contains("name"); name != nullptr && name->is_string()) {
            return std::string(name->get_string());
        }
    }
    return std::to_string(index);
}

bool holdsObjects(const json::array &list)
{
    return std::ranges::any_of(list, [](const json::value &element) {
        return element.is_object();
    });
}

/** Collects the values of a document by path. A list of scalars is one value; for a list of objects, the order of its elements is a value too. */
void flatten(const json::value &value, const std::string &path, flat_values &into)
{
    if (value.is_object()) {
        for (const auto &pair : value.get_object()) {
            flatten(pair.value(), (path.empty() ? "" : path + '.') + std::string(pair.key()), into);
        }
    } else if (value.is_array() && holdsObjects(value.get_array())) {
        std::string order;
        for (std::size_t index = 0; index < value.get_array().size(); ++index) {
            const std::string name = elementName(value.get_array()[index], index);
            order += (order.empty() ? "" : ",") + name;
            std::string elementPath = path;
            elementPath.append("[").append(name).append("]");
            flatten(value.get_array()[index], elementPath, into);
        }
        into[path] = order;
    } else {
        into[path] = json::serialize(value);
    }
}

flat_values flattenText(std::string_view text)
{
    flat_values values;
    if (!text.empty()) {
        flatten(json::parse(json::string_view(text.data(), text.size())), "", values);
    }
    values.erase("generation");
    values.erase("operation_id");
    return values;
}

void editRank(const rank_edit &edit, rank_table &table)
{
    const auto rank = std::ranges::find(table.ranks, edit.rank, &rank_rule::name);
    if (rank == table.ranks.end()) {
        throw edit_target_error("no rank is named " + edit.rank);
    }
    rank->effort = edit.effort.value_or(rank->effort);
    rank->isProtected = edit.isProtected.value_or(rank->isProtected);
}

void editOperation(const operation_edit &edit, service_policy &policy)
{
    const auto rule = std::ranges::find(policy.operations, edit.operation, &operation_rule::name);
    if (rule == policy.operations.end()) {
        throw edit_target_error("no policy has the operation " + edit.service + '/' + edit.operation);
    }
    rule->rankName = edit.rankName.value_or(rule->rankName);
    rule->callClass = edit.callClass.value_or(rule->callClass);
    rule->deadline = edit.deadline.value_or(rule->deadline);
    rule->lateOk = edit.lateOk.value_or(rule->lateOk);
    rule->lateLimit = edit.lateLimit.value_or(rule->lateLimit);
    rule->retries = edit.retries.value_or(rule->retries);
    rule->atMostOnce = edit.atMostOnce.value_or(rule->atMostOnce);
    rule->passesThrough = edit.passesThrough.value_or(rule->passesThrough);
}

policy_object parseEdit(const object_edit &edit)
{
    return edit.isRankTable ? policy_object(parseRankTable(edit.json)) : policy_object(parseServicePolicy(edit.json));
}
} // namespace

edited_object targetOf(const change_command &change)
{
    if (std::holds_alternative<rank_edit>(change.edit)) {
        return {std::string(rankTableKind), std::string(rankTableName)};
    }
    if (const auto *operation = std::get_if<operation_edit>(&change.edit)) {
        return {std::string(servicePolicyKind), operation->service};
    }
    const policy_object parsed = parseEdit(std::get<object_edit>(change.edit));
    if (const auto *policy = std::get_if<service_policy>(&parsed)) {
        return {std::string(servicePolicyKind), policy->service};
    }
    return {std::string(rankTableKind), std::string(rankTableName)};
}

policy_object parseObject(std::string_view kind, std::string_view text)
{
    return kind == rankTableKind ? policy_object(parseRankTable(text)) : policy_object(parseServicePolicy(text));
}

std::string formatObject(const policy_object &object)
{
    const auto *table = std::get_if<rank_table>(&object);
    return table != nullptr ? formatRankTable(*table) : formatServicePolicy(std::get<service_policy>(object));
}

std::uint64_t generationOf(const policy_object &object)
{
    return std::visit(
        [](const auto &value) {
            return value.generation;
        },
        object);
}

const std::string &operationIdOf(const policy_object &object)
{
    return std::visit(
        [](const auto &value) -> const std::string & {
            return value.operationId;
        },
        object);
}

void setWriteIdentity(policy_object &object, std::uint64_t generation, std::string operationId)
{
    std::visit(
        [&](auto &value) {
            value.generation = generation;
            value.operationId = std::move(operationId);
        },
        object);
}

policy_object objectInForce(const policy_set &set, const edited_object &target)
{
    if (target.kind == rankTableKind) {
        return set.rankTable();
    }
    const auto found = set.services().find(target.name);
    if (found != set.services().end()) {
        return found->second;
    }
    service_policy absent;
    absent.service = target.name;
    return absent;
}

policy_object applyEdit(const change_command &change, const policy_object &base)
{
    policy_object edited = base;
    if (const auto *rank = std::get_if<rank_edit>(&change.edit)) {
        editRank(*rank, std::get<rank_table>(edited));
    } else if (const auto *operation = std::get_if<operation_edit>(&change.edit)) {
        editOperation(*operation, std::get<service_policy>(edited));
    } else {
        edited = parseEdit(std::get<object_edit>(change.edit));
    }
    return edited;
}

std::vector<change_fault> checkObject(const policy_object &object, const policy_set &set)
{
    try {
        if (const auto *table = std::get_if<rank_table>(&object)) {
            return toChangeFaults(checkPolicySet(*set.withRankTable(parseRankTable(formatRankTable(*table)))));
        }
        return toChangeFaults(checkPolicySet(*set.withService(parseServicePolicy(formatServicePolicy(std::get<service_policy>(object))))));
    } catch (const policy_error &exception) {
        return toChangeFaults(exception.faults());
    }
}

std::vector<value_difference> compareObjects(std::string_view before, std::string_view after)
{
    const flat_values oldValues = flattenText(before);
    const flat_values newValues = flattenText(after);
    std::vector<value_difference> differences;
    for (const auto &[path, value] : oldValues) {
        const auto found = newValues.find(path);
        if (found == newValues.end() || found->second != value) {
            differences.push_back({path, value, found == newValues.end() ? "" : found->second});
        }
    }
    for (const auto &[path, value] : newValues) {
        if (!oldValues.contains(path)) {
            differences.push_back({path, "", value});
        }
    }
    return differences;
}

std::vector<change_fault> toChangeFaults(std::span<const policy_fault> faults)
{
    std::vector<change_fault> converted;
    converted.reserve(faults.size());
    for (const policy_fault &fault : faults) {
        converted.push_back({fault.path, fault.problem, fault.allowed});
    }
    return converted;
}

} // namespace cicadamux::detail
