/** @file configuration.cpp Puts policy objects in force and rejects lower generations. */

#include "configuration/configuration_base.h"

#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "core/log_func.h"
#include "policy/policy_func.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <tuple>
#include <utility>
#include <variant>

namespace cicadamux
{

namespace
{
constexpr std::size_t maxObjects = 4'096; ///< Capacity; objects of further services are rejected.
constexpr std::size_t maxReplyBytes = 1'500'000; ///< Size of the values in one reply to a peer; the last value may exceed it.

using object_key = std::pair<std::string, std::string>; ///< Kind and name.

/** A parsed policy object. */
struct parsed_object {
    std::variant<rank_table, service_policy> policy;
    std::string name; ///< Name stated in the policy itself.
    std::uint64_t generation = 0;
    std::string operationId;
};

/** An object in force. */
struct held_object {
    configuration_object object;
    std::string operationId;
};

std::optional<parsed_object> parse(const configuration_object &object)
{
    if (object.kind == rankTableKind) {
        rank_table table = parseRankTable(object.value);
        const std::uint64_t generation = table.generation;
        std::string operationId = table.operationId;
        return parsed_object{std::move(table), std::string(rankTableName), generation, std::move(operationId)};
    }
    if (object.kind == servicePolicyKind) {
        service_policy policy = parseServicePolicy(object.value);
        const std::uint64_t generation = policy.generation;
        std::string name = policy.service;
        std::string operationId = policy.operationId;
        return parsed_object{std::move(policy), std::move(name), generation, std::move(operationId)};
    }
    return std::nullopt;
}

void logRejection(std::string_view event, const configuration_object &object, std::string_view reason)
{
    logEvent(log_level::warning, event, {{"kind", object.kind}, {"name", object.name}, {"generation", object.generation}, {"reason", reason}});
}

/** Parses an object; logs the reason if it is invalid. */
std::optional<parsed_object> parseOrLog(const configuration_object &object)
{
    try {
        auto parsed = parse(object);
        if (!parsed) {
            logRejection("configuration_invalid", object, "unknown_kind");
            return std::nullopt;
        }
        if (parsed->name != object.name || parsed->generation == 0) {
            logRejection("configuration_invalid", object, "name_or_generation_mismatch");
            return std::nullopt;
        }
        return parsed;
    } catch (const error &fault) {
        logRejection("configuration_invalid", object, fault.what());
        return std::nullopt;
    }
}

std::uint64_t operationHash(std::string_view operationId)
{
    return std::max<std::uint64_t>(1, hashBytes(operationId));
}

/** Whether a peer that has `theirs` lacks the object in force. */
bool isNewer(const held_object &held, const object_generation &theirs)
{
    if (held.object.generation != theirs.generation) {
        return held.object.generation > theirs.generation;
    }
    return theirs.operation != 0 && theirs.operation != operationHash(held.operationId);
}
} // namespace

struct configuration::state {
    policy_hook changed;
    mutable std::mutex mutex; ///< Guards the members below, except for `publishMutex`.
    std::mutex publishMutex; ///< Keeps the calls of the hook in order; locked before `mutex`.
    std::map<object_key, held_object> objects;
    std::shared_ptr<const policy_set> policies = std::make_shared<const policy_set>();
    std::uint64_t digest = 0;
    configuration_counters counters;

    offer_result offer(const configuration_object &object, parsed_object parsed);
    offer_result compare(const held_object &held, const parsed_object &parsed) const;
    static bool takesPrecedence(const held_object &held, const configuration_object &object, const parsed_object &parsed);
    void put(const configuration_object &object, parsed_object parsed);
    void recomputeDigest();
};

offer_result configuration::state::compare(const held_object &held, const parsed_object &parsed) const
{
    if (parsed.generation > held.object.generation) {
        return offer_result::applied;
    }
    if (parsed.generation < held.object.generation) {
        return offer_result::stale;
    }
    if (parsed.operationId != held.operationId) {
        return offer_result::conflicting;
    }
    const bool isEqual = std::holds_alternative<rank_table>(parsed.policy) ? std::get<rank_table>(parsed.policy) == policies->rankTable()
                                                                           : std::get<service_policy>(parsed.policy) == policies->services().at(parsed.name);
    return isEqual ? offer_result::same : offer_result::conflicting;
}

bool configuration::state::takesPrecedence(const held_object &held, const configuration_object &object, const parsed_object &parsed)
{
    return std::tie(parsed.operationId, object.value) > std::tie(held.operationId, held.object.value);
}

void configuration::state::put(const configuration_object &object, parsed_object parsed)
{
    held_object &held = objects[{object.kind, object.name}];
    checkInvariant(parsed.generation >= held.object.generation, invariant::version_monotonic, object.name);
    held.object = object;
    held.object.generation = parsed.generation;
    held.operationId = std::move(parsed.operationId);
    if (auto *table = std::get_if<rank_table>(&parsed.policy)) {
        policies = policies->withRankTable(std::move(*table));
    } else {
        policies = policies->withService(std::move(std::get<service_policy>(parsed.policy)));
    }
    recomputeDigest();
}

void configuration::state::recomputeDigest()
{
    std::uint64_t sum = 0;
    for (const auto &[key, held] : objects) {
        std::uint64_t hash = hashBytes(key.first);
        hash = hashBytes(key.second, hash);
        hash = hashNumber(held.object.generation, hash);
        sum = hashNumber(operationHash(held.operationId), hashNumber(sum, hash));
    }
    digest = sum;
}

offer_result configuration::state::offer(const configuration_object &object, parsed_object parsed)
{
    const auto found = objects.find({object.kind, object.name});
    if (found == objects.end()) {
        if (objects.size() >= maxObjects) {
            logRejection("configuration_invalid", object, "too_many_objects");
            return offer_result::invalid;
        }
        put(object, std::move(parsed));
        return offer_result::applied;
    }
    const offer_result result = compare(found->second, parsed);
    if (result == offer_result::stale) {
        logRejection("configuration_stale", object, "lower_generation");
    }
    if (result == offer_result::conflicting) {
        logRejection("configuration_conflict", object, "same_generation_other_write");
    }
    if (result == offer_result::applied || (result == offer_result::conflicting && takesPrecedence(found->second, object, parsed))) {
        put(object, std::move(parsed));
    }
    return result;
}

configuration::configuration(policy_hook changed)
    : m_state(std::make_unique<state>())
{
    m_state->changed = std::move(changed);
}

configuration::~configuration() = default;

offer_result configuration::offer(const configuration_object &object)
{
    auto parsed = parseOrLog(object);
    const std::lock_guard order(m_state->publishMutex);
    std::shared_ptr<const policy_set> newPolicies;
    offer_result result = offer_result::invalid;
    {
        const std::lock_guard lock(m_state->mutex);
        const auto before = m_state->policies;
        if (parsed) {
            result = m_state->offer(object, std::move(*parsed));
        }
        m_state->counters.applied += result == offer_result::applied ? 1 : 0;
        m_state->counters.stale += result == offer_result::stale ? 1 : 0;
        m_state->counters.conflicting += result == offer_result::conflicting ? 1 : 0;
        m_state->counters.invalid += result == offer_result::invalid ? 1 : 0;
        if (m_state->policies != before) {
            newPolicies = m_state->policies;
        }
    }
    if (newPolicies && m_state->changed) {
        m_state->changed(newPolicies);
    }
    return result;
}

std::uint64_t configuration::digest() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->digest;
}

std::vector<object_generation> configuration::generations() const
{
    const std::lock_guard lock(m_state->mutex);
    std::vector<object_generation> result;
    result.reserve(m_state->objects.size());
    for (const auto &[key, held] : m_state->objects) {
        result.push_back({key.first, key.second, held.object.generation, operationHash(held.operationId)});
    }
    return result;
}

std::optional<configuration_object> configuration::object(std::string_view kind, std::string_view name) const
{
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->objects.find({std::string(kind), std::string(name)});
    if (found == m_state->objects.end()) {
        return std::nullopt;
    }
    return found->second.object;
}

std::vector<configuration_object> configuration::newerThan(std::span<const object_generation> theirs, std::size_t maxCount) const
{
    std::map<std::pair<std::string_view, std::string_view>, const object_generation *> known;
    for (const object_generation &generation : theirs) {
        known[{generation.kind, generation.name}] = &generation;
    }
    std::vector<configuration_object> result;
    std::size_t bytes = 0;
    const std::lock_guard lock(m_state->mutex);
    for (const auto &[key, held] : m_state->objects) {
        if (result.size() >= maxCount || bytes >= maxReplyBytes) {
            break;
        }
        const auto found = known.find({key.first, key.second});
        if (found == known.end() || isNewer(held, *found->second)) {
            bytes += held.object.value.size();
            result.push_back(held.object);
        }
    }
    return result;
}

std::vector<configuration_object> configuration::newerAmong(std::span<const object_generation> named) const
{
    std::vector<configuration_object> result;
    std::size_t bytes = 0;
    const std::lock_guard lock(m_state->mutex);
    for (const object_generation &theirs : named) {
        const auto found = m_state->objects.find({theirs.kind, theirs.name});
        if (found != m_state->objects.end() && isNewer(found->second, theirs) && bytes < maxReplyBytes) {
            bytes += found->second.object.value.size();
            result.push_back(found->second.object);
        }
    }
    return result;
}

std::vector<object_generation> configuration::objectsToPull(std::span<const object_generation> theirs) const
{
    std::vector<object_generation> result;
    const std::lock_guard lock(m_state->mutex);
    for (const object_generation &generation : theirs) {
        const auto found = m_state->objects.find({generation.kind, generation.name});
        if (found == m_state->objects.end() || found->second.object.generation < generation.generation) {
            result.push_back(generation);
            continue;
        }
        const bool isOtherWrite = generation.operation != 0 && generation.operation != operationHash(found->second.operationId);
        if (found->second.object.generation == generation.generation && isOtherWrite) {
            result.push_back(generation);
        }
    }
    return result;
}

std::shared_ptr<const policy_set> configuration::policies() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->policies;
}

configuration_counters configuration::counters() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->counters;
}

} // namespace cicadamux
