/** @file invariant.cpp Counts and reports invariant violations. */

#include "core/invariant_func.h"

#include <array>
#include <atomic>
#include <mutex>

namespace cicadamux
{

namespace
{
constexpr std::size_t invariantCount = static_cast<std::size_t>(invariant::count);

std::array<std::atomic<std::uint64_t>, invariantCount> violations;
std::mutex hookMutex;
invariant_hook activeHook;

void reportViolation(invariant which, std::string_view detail)
{
    violations[static_cast<std::size_t>(which)].fetch_add(1, std::memory_order_relaxed);
    invariant_hook hook;
    {
        const std::lock_guard lock(hookMutex);
        hook = activeHook;
    }
    if (hook) {
        hook(which, detail);
    }
}
} // namespace

std::string_view toString(invariant which)
{
    constexpr std::array<std::string_view, invariantCount> names = {
        "rank_order",
        "limit_held",
        "slot_accounting",
        "retry_bound",
        "at_most_once",
        "not_run_truth",
        "answer_identity",
        "version_monotonic",
        "draining_idle",
        "incarnation_monotonic",
    };
    return names.at(static_cast<std::size_t>(which));
}

void setInvariantHook(invariant_hook hook)
{
    const std::lock_guard lock(hookMutex);
    activeHook = std::move(hook);
}

void checkInvariant(bool holds, invariant which, std::string_view detail)
{
    if (!holds) {
        reportViolation(which, detail);
    }
}

std::uint64_t invariantViolations(invariant which)
{
    return violations.at(static_cast<std::size_t>(which)).load(std::memory_order_relaxed);
}

} // namespace cicadamux
