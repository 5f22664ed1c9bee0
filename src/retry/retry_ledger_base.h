/** @file retry_ledger_base.h The allowance of extra attempts, held by the daemon that holds a call. */

#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace cicadamux
{

/** Recognises a backend server's own retry: the same call again under the same parent. */
struct child_key {
    std::uint64_t hash = 0; ///< Over service, operation, method, target and body.

    bool operator==(const child_key &) const = default;
};

/** @return The key of a call that a backend server makes. */
child_key makeChildKey(std::string_view service, std::string_view operation, std::string_view method, std::string_view target, std::string_view body);

/** How much of what is left a child gets. */
enum class lent_part : std::uint8_t {
    half, ///< Rounded up; for the calls of a backend server, which may make several at a time.
    all, ///< For the attempts of one call, which are made one after another.
    none ///< For an attempt at a service that calls no other; the part would be lost with its answer.
};

/** What a child call may take along. */
struct child_grant {
    bool allowed = false; ///< False: a repeat, and the allowance is empty; refuse as `retries_exhausted`.
    bool isRepeat = false; ///< An extra attempt was drawn for it.
    std::uint32_t part = 0; ///< Extra attempts that travel with the child.
};

/**
 * Keeps the allowances of all calls held by this daemon. Thread-safe.
 * The sum of extra attempts below a root never exceeds the root's allowance: what a child takes is taken from its parent,
 * what it doesn't spend comes back with its answer, and an answer that is lost counts as spent.
 */
class retry_ledger
{
public:
    retry_ledger();
    ~retry_ledger();
    retry_ledger(const retry_ledger &) = delete;
    retry_ledger &operator=(const retry_ledger &) = delete;

    /** Begins to hold a call with the allowance that it brought. */
    void open(call_id call, std::uint32_t allowance);

    /** Draws one extra attempt for the call itself. @return Whether there was one. */
    bool spend(call_id call);

    /** Lends a part of a held call's allowance to a child. A child that was opened before counts as a repeat. */
    child_grant openChild(call_id parent, child_key key, lent_part lent = lent_part::half);

    /** Takes back what a child didn't spend; 0 if its answer was lost. The child's key stays known until the parent closes. */
    void closeChild(call_id parent, std::uint32_t part, std::uint32_t unspent);

    /** @return What is left now; 0 for a call that isn't held. */
    std::uint32_t left(call_id call) const;

    /** Stops holding a call. @return What it didn't spend, to be carried back with the answer. */
    std::uint32_t close(call_id call);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
