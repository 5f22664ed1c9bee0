/** @file clock_type.h The project's clock: instants and spans in whole milliseconds. */

#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace cicadamux
{

/** An instant on a daemon's monotonic clock, or a span between two of them, in milliseconds. */
struct clock_ms {
    std::int64_t count = 0; ///< Milliseconds.

    constexpr auto operator<=>(const clock_ms &) const = default; // NOLINT(modernize-use-nullptr): false alarm of clang-tidy 14 at each comparison

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

/** Returns the current instant; tests replace it. */
using clock_source = std::function<clock_ms()>;

/**
 * Reads the process's monotonic clock.
 * @return Milliseconds since an arbitrary start that is the same for the whole process.
 */
clock_ms steadyNow();

/**
 * Reads the wall clock, for logs and for incarnations only.
 * @return Milliseconds since the Unix epoch.
 */
clock_ms wallNow();

} // namespace cicadamux
