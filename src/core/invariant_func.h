/** @file invariant_func.h Invariants that the program checks at run time. */

#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace cicadamux
{

/** The invariants that are checked; docs/PROOFS.md describes each of them. */
enum class invariant : std::uint8_t {
    rank_order, ///< No call is admitted or kept queued while a more urgent one is refused or waits.
    limit_held, ///< Slots in use never exceed the concurrency limit.
    slot_accounting, ///< Each admitted call releases its slot exactly once.
    retry_bound, ///< Extra attempts for a root request never exceed its retry allowance.
    at_most_once, ///< A ticket is executed at most once.
    not_run_truth, ///< A call reported as not run was never sent to a backend server.
    answer_identity, ///< A response is delivered only to the call it belongs to.
    version_monotonic, ///< A configuration object never reverts to a lower generation.
    draining_idle, ///< A draining backend server gets no new calls.
    incarnation_monotonic, ///< A member never reverts to an earlier incarnation.
    count ///< Number of invariants.
};

/** @return The name used in logs and metrics, such as `rank_order`. */
std::string_view toString(invariant which);

/** Called on each violation; a daemon logs it and continues, a test throws. */
using invariant_hook = std::function<void(invariant which, std::string_view detail)>;

/** Sets the hook called on violations, for the whole process. Without a hook, violations are only counted. */
void setInvariantHook(invariant_hook hook);

/** Counts a violation and calls the hook if `holds` is false. */
void checkInvariant(bool holds, invariant which, std::string_view detail);

/** @return The number of violations of one invariant in this process. */
std::uint64_t invariantViolations(invariant which);

} // namespace cicadamux
