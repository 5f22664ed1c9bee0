/** @file configuration_base.h The policy objects in force on a daemon; their generations never decrease. */

#pragma once

#include "core/clock_type.h"
#include "policy/policy_base.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/** Identifies one generation of a policy object. */
struct object_generation {
    std::string kind;
    std::string name;
    std::uint64_t generation = 0;
    std::uint64_t operation = 0; ///< Hash of the operation id, which distinguishes two writes of the same generation; 0 if not stated.

    bool operator==(const object_generation &) const = default;
};

/** A policy object as daemons exchange it. */
struct configuration_object {
    std::string kind;
    std::string name;
    std::uint64_t generation = 0;
    std::string value; ///< JSON text, as stored in the platform.
};

/** Outcome of offering an object. */
enum class offer_result : std::uint8_t {
    applied, ///< The generation is higher than the one in force; the object is in force now.
    same, ///< Already in force.
    stale, ///< The generation is lower than the one in force; rejected and logged.
    conflicting, ///< Same generation, different write; every daemon keeps the one with the greater operation id.
    invalid ///< Malformed, of an unknown kind, misnamed or beyond the capacity; the configuration stays unchanged.
};

/** Counts of offered objects by outcome, for metrics. */
struct configuration_counters {
    std::uint64_t applied = 0;
    std::uint64_t stale = 0; ///< Rejected for a lower generation.
    std::uint64_t conflicting = 0;
    std::uint64_t invalid = 0;
};

/** Called after a new policy set has been put in force. */
using policy_hook = std::function<void(std::shared_ptr<const policy_set>)>;

/** Thread-safe. Readers of the policy set use the RCU snapshot that the hook publishes. */
class configuration
{
public:
    explicit configuration(policy_hook changed);
    ~configuration();
    configuration(const configuration &) = delete;
    configuration &operator=(const configuration &) = delete;

    /** Puts an object from the platform, a peer or a file in force if it is newer. */
    offer_result offer(const configuration_object &object);

    /** @return A digest over (kind, name, generation, operation id) of all objects; it is equal for equal configurations. */
    std::uint64_t digest() const;

    /** @return The generations in force. */
    std::vector<object_generation> generations() const;

    /** @return The object in force; nothing if there is none. */
    std::optional<configuration_object> object(std::string_view kind, std::string_view name) const;

    /** @return At most `maxCount` objects in force that the peer lacks or has at a lower generation. */
    std::vector<configuration_object> newerThan(std::span<const object_generation> theirs, std::size_t maxCount) const;

    /** @return The objects named in `named` that are newer here than the given generations. */
    std::vector<configuration_object> newerAmong(std::span<const object_generation> named) const;

    /** @return The objects of the peer that this daemon lacks or has at a lower generation. */
    std::vector<object_generation> objectsToPull(std::span<const object_generation> theirs) const;

    std::shared_ptr<const policy_set> policies() const;

    configuration_counters counters() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
