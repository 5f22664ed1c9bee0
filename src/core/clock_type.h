/** @file clock_type.h Time points and durations in whole milliseconds, and the clocks that return them. */

#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace cicadamux
{

/** A time point on a monotonic or wall clock, or a duration between two time points, in milliseconds. */
struct clock_ms {
    std::int64_t count = 0; ///< Milliseconds.

    constexpr auto operator<=>(const clock_ms &) const = default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14 on each comparison

    constexpr clock_ms operator+(clock_ms other) const
    {
        return {count + other.count};
    }

    constexpr clock_ms operator-(clock_ms other) const
    {
        return {count - other.count};
    }

    constexpr clock_ms &operator+=(clock_ms other)
    {
        count += other.count;
        return *this;
    }
};

/** Returns the current time; tests inject a simulated clock. */
using clock_source = std::function<clock_ms()>;

/**
 * Reads the process's monotonic clock.
 * @return Milliseconds since an arbitrary epoch that is fixed for the whole process.
 */
clock_ms steadyNow();

/**
 * Reads the wall clock, which may jump; the sidecar uses it only for logs and answers to operators.
 * @return Milliseconds since the Unix epoch.
 */
clock_ms wallNow();

/** Replaces the wall clock of the whole process, for tests with jumps; an empty source restores the system's. Not thread-safe. */
void setWallClock(clock_source source);

} // namespace cicadamux
