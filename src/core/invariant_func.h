/** @file invariant_func.h Promises that the program checks of itself while it runs. */

#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace cicadamux
{

/** The promises that are checked; docs/PROOFS.md says what each one means. */
enum class invariant : std::uint8_t {
    rank_order, ///< No call is admitted or kept while a more urgent one is refused or waits.
    limit_held, ///< Slots in use never exceed the concurrency limit.
    slot_accounting, ///< Each admitted call gives back its slot exactly once.
    retry_bound, ///< Extra attempts of a root never exceed its allowance.
    at_most_once, ///< A ticket runs once at most.
    not_run_truth, ///< A call that was said to be not run was never sent.
    answer_identity, ///< An answer goes to the call that it answers.
    version_monotonic, ///< A configuration object never goes back to a lower generation.
    draining_idle, ///< A draining backend server is sent no new work.
    incarnation_monotonic, ///< A member never goes back to an earlier incarnation.
    count ///< Number of invariants; names none.
};

/** @return The name used in logs and metrics, such as `rank_order`. */
std::string_view toString(invariant which);

/** Called for each violation; a daemon logs it and goes on, a test throws. */
using invariant_hook = std::function<void(invariant which, std::string_view detail)>;

/** Replaces what happens at a violation, for the whole process. The default only counts. */
void setInvariantHook(invariant_hook hook);

/** Checks a promise: counts and reports a violation if it doesn't hold. */
void checkInvariant(bool holds, invariant which, std::string_view detail);

/** @return How many violations this process has seen of one promise. */
std::uint64_t invariantViolations(invariant which);

} // namespace cicadamux
