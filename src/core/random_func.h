/** @file random_func.h Random number generators. */

#pragma once

#include <cstdint>
#include <functional>

namespace cicadamux
{

/** Returns 64 random bits; tests inject a seeded generator. */
using random_source = std::function<std::uint64_t()>;

/** Draws from a fast thread-local generator. Not for secrets. */
std::uint64_t threadRandom();

/** Draws from the operating system's generator, for identifiers that must not be guessable. */
std::uint64_t secureRandom();

} // namespace cicadamux
