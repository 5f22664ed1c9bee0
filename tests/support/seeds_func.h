/** @file seeds_func.h How long randomised tests run. */

#pragma once

#include <cstdint>

namespace cicadamux::test
{

/**
 * Number of seeds of a randomised test: `usual` times the environment's CICADAMUX_SEED_FACTOR (default 1).
 * Seeds are 1, 2, 3 and so on, so that a longer run contains the shorter one.
 */
std::uint64_t seedCount(std::uint64_t usual);

} // namespace cicadamux::test
