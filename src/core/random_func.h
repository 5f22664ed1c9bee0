/** @file random_func.h Random numbers. */

#pragma once

#include <cstdint>
#include <functional>

namespace cicadamux
{

/** Returns 64 random bits; tests replace it with a seeded one. */
using random_source = std::function<std::uint64_t()>;

/** Draws from a fast generator of the calling thread. Not for secrets. */
std::uint64_t threadRandom();

/** Draws from the system's generator, for identifiers that must not be guessed. */
std::uint64_t secureRandom();

} // namespace cicadamux
