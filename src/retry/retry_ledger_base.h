/** @file retry_ledger_base.h Allowances of extra attempts of the calls held by a daemon. */

#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace cicadamux
{

/** Identifies a call of a backend server. The same key again under the same parent is the backend server's own retry. */
struct child_key {
    std::uint64_t hash = 0; ///< Over service, operation, method, target and body.

    bool operator==(const child_key &) const = default;
};

child_key makeChildKey(std::string_view service, std::string_view operation, std::string_view method, std::string_view target, std::string_view body);

/** Part of the remaining allowance that a child call gets. */
enum class allowance_share : std::uint8_t {
    half, ///< Rounded up; for calls of a backend server, which may make several concurrently.
    all, ///< For the attempts of one call, which are made sequentially.
    none ///< For an attempt at a service that makes no calls; a part would only be lost with a lost answer.
};

/** Result of opening a child call. */
struct child_grant {
    bool allowed = false; ///< False for a repeat without allowance left, and for an unknown parent; refuse as `retries_exhausted`.
    bool isRepeat = false; ///< Whether the child call counts as an extra attempt.
    std::uint32_t allowance = 0; ///< Extra attempts passed to the child call.
};

/**
 * Keeps the allowances of all calls held by this daemon. Thread-safe.
 * The extra attempts in a call tree never exceed the allowance of its root: a child call's part is deducted from its
 * parent, the unspent rest is returned with its answer, and the part of a child call whose answer is lost counts as spent.
 */
class retry_ledger
{
public:
    retry_ledger();
    ~retry_ledger();
    retry_ledger(const retry_ledger &) = delete;
    retry_ledger &operator=(const retry_ledger &) = delete;

    /** Adds a call with the allowance received with it. */
    void open(call_id call, std::uint32_t allowance);

    /** Spends one extra attempt of the call itself. @return Whether one remained. */
    bool spend(call_id call);

    /** Lends a part of the parent's allowance to a child call. A key that was opened before counts as a repeat. */
    child_grant openChild(call_id parent, child_key key, allowance_share lent = allowance_share::half);

    /** Returns the unspent rest of a child call's allowance; 0 if its answer was lost. The key stays recorded until the parent closes. */
    void closeChild(call_id parent, std::uint32_t allowance, std::uint32_t unspent);

    /** @return The remaining allowance; 0 for an unknown call. */
    std::uint32_t remaining(call_id call) const;

    /** Removes a call. @return Its unspent allowance, to be returned with the answer. */
    std::uint32_t close(call_id call);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
