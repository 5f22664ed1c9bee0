/** @file seeds_func.h Number of seeds of randomised tests. */

#pragma once

#include <cstdint>

namespace cicadamux::test
{

/**
 * Scales the number of seeds of a randomised test by the environment variable CICADAMUX_SEED_FACTOR (default 1).
 * Tests use the seeds 1, 2, 3 and so on, so that a longer run includes those of a shorter one.
 * @param usual Number of seeds without the variable.
 */
std::uint64_t seedCount(std::uint64_t usual);

} // namespace cicadamux::test
