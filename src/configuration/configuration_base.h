/** @file configuration_base.h The configuration that a daemon works by: it only moves up. */

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

/** Names one generation of one policy object. */
struct object_generation {
    std::string kind;
    std::string name;
    std::uint64_t generation = 0;
    std::uint64_t operation = 0; ///< Hash of the operation id, so that two writes of one generation are told apart; 0: not stated.

    bool operator==(const object_generation &) const = default;
};

/** One policy object as it travels between daemons. */
struct configuration_object {
    std::string kind;
    std::string name;
    std::uint64_t generation = 0;
    std::string value; ///< JSON text, as in the platform.
};

/** What became of an object that was offered. */
enum class offer_result : std::uint8_t {
    applied, ///< Higher than what was in force; it is in force now.
    same, ///< Already in force.
    stale, ///< Lower than what is in force; refused, and said aloud.
    conflicting, ///< Same generation, other content; the greater operation id wins everywhere.
    invalid ///< It doesn't parse; what was in force stays.
};

/** What was offered, for metrics. */
struct configuration_counters {
    std::uint64_t applied = 0;
    std::uint64_t stale = 0; ///< Lower generations that were refused.
    std::uint64_t conflicting = 0;
    std::uint64_t invalid = 0;
};

/** Called after a new set has been put in force. */
using policy_hook = std::function<void(std::shared_ptr<const policy_set>)>;

/** Thread-safe; the set itself is read by RCU elsewhere, through the hook. */
class configuration
{
public:
    explicit configuration(policy_hook changed);
    ~configuration();
    configuration(const configuration &) = delete;
    configuration &operator=(const configuration &) = delete;

    /** Offers an object from the platform, a peer or a file. */
    offer_result offer(const configuration_object &object);

    /** @return A digest over all (kind, name, generation, operation id): equal digests, equal configurations. */
    std::uint64_t digest() const;

    /** @return What is in force. */
    std::vector<object_generation> generations() const;

    /** @return The object in force, for a peer that lags; nothing if there is none. */
    std::optional<configuration_object> object(std::string_view kind, std::string_view name) const;

    /** @return The objects in force that the other side lacks or has at a lower generation, at most `most`. */
    std::vector<configuration_object> newerThan(std::span<const object_generation> theirs, std::size_t most) const;

    /** @return Those of the named objects that are newer here than the other side's. */
    std::vector<configuration_object> newerOf(std::span<const object_generation> named) const;

    /** @return The objects that the other side has and this one lacks or has at a lower generation. */
    std::vector<object_generation> lackedOf(std::span<const object_generation> theirs) const;

    std::shared_ptr<const policy_set> policies() const;

    configuration_counters counters() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
